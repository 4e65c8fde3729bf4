package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"ibistray.example/ibistray/internal/account"
)

const (
	flagControl   = "control"
	flagKey       = "key-file"
	flagDigest    = "digest"
	flagLast      = "last"
	flagPerSecond = "per-second"
	flagBurst     = "burst"

	// maxKeyBytes limits a key that is read from a file or the standard input.
	maxKeyBytes = 64 << 10
	standardIn  = "-"
)

// AccountStore reads and changes the client accounts of a deployment with pass-through routes.
type AccountStore interface {
	// Accounts returns the accounts in force and the version of their configuration. Errors
	// wrap account.ErrUnavailable or account.ErrRejected.
	Accounts(ctx context.Context) (*account.Directory, uint64, error)
	// Change changes one account in the configuration in force and returns it with the
	// version that is in force afterwards. Errors are those of Accounts and of
	// account.Change.Apply, and *account.ConflictError.
	Change(ctx context.Context, change account.Change) (*account.Account, uint64, error)
}

// OpenAccounts returns the store of the state hosts with the given control addresses.
type OpenAccounts func(addresses []string) AccountStore

// accountSession holds the store and the output settings of one command run.
type accountSession struct {
	store AccountStore
	in    io.Reader
	out   io.Writer
	json  bool
}

type accountFunc func(ctx context.Context, s *accountSession, cmd *cli.Command) error

func accountCommand(open OpenAccounts) *cli.Command {
	with := func(f accountFunc) cli.ActionFunc {
		return func(ctx context.Context, cmd *cli.Command) error {
			s, err := newAccountSession(open, cmd)
			if err != nil {
				return err
			}
			return f(ctx, s, cmd)
		}
	}
	return &cli.Command{
		Name:  "account",
		Usage: "show and change client accounts of a deployment with pass-through routes",
		Flags: []cli.Flag{&cli.StringFlag{
			Name:    flagControl,
			Usage:   "control addresses of state hosts, comma-separated; the first one that answers is used",
			Sources: cli.EnvVars(envPrefix + "CONTROL"),
		}},
		Commands: []*cli.Command{
			{Name: "list", Usage: "list client accounts", Action: with(listAccounts)},
			{Name: "show", Usage: "show a client account and the digests of its keys", ArgsUsage: "<name>", Action: with(showAccount)},
			{
				Name: "add-key", Usage: "let clients authenticate with one more key", ArgsUsage: "<name>",
				Flags: []cli.Flag{keyFileFlag()}, Action: with(addKey),
			},
			{
				Name: "remove-key", Usage: "refuse a key from now on", ArgsUsage: "<name>",
				Flags: []cli.Flag{
					keyFileFlag(),
					&cli.StringFlag{Name: flagDigest, Usage: "first hexadecimal digits of the key's SHA-256 digest, in place of the key"},
					&cli.BoolFlag{Name: flagLast, Usage: "allow to remove the last key, so that the account is locked out"},
				},
				Action: with(removeKey),
			},
			{
				Name: "set-limit", Usage: "limit the requests of an account through all entries together", ArgsUsage: "<name>",
				Flags: []cli.Flag{
					&cli.FloatFlag{Name: flagPerSecond, Usage: "requests a second, 0 for no limit"},
					&cli.FloatFlag{Name: flagBurst, Usage: "requests on top of the rate"},
				},
				Action: with(setLimit),
			},
			{Name: "set-priority", Usage: "set the priority of an account, 0 is the most urgent", ArgsUsage: "<name> <priority>", Action: with(setPriority)},
		},
	}
}

func keyFileFlag() cli.Flag {
	return &cli.StringFlag{Name: flagKey, Value: standardIn, Usage: "file with the key, - for the standard input"}
}

func newAccountSession(open OpenAccounts, cmd *cli.Command) (*accountSession, error) {
	format := cmd.String(flagOutput)
	if format != outputTable && format != outputJSON {
		return nil, &UsageError{Problem: fmt.Sprintf("--%s %q is not supported", flagOutput, format), Fix: "use table or json"}
	}
	addresses := cmd.String(flagControl)
	if addresses == "" {
		return nil, &UsageError{Problem: "--" + flagControl + " is missing", Fix: "pass the control addresses of some state hosts"}
	}
	root := cmd.Root()
	return &accountSession{store: open(strings.Split(addresses, ",")), in: root.Reader, out: root.Writer, json: format == outputJSON}, nil
}

func listAccounts(ctx context.Context, s *accountSession, _ *cli.Command) error {
	accounts, version, err := s.store.Accounts(ctx)
	if err != nil {
		return err
	}
	if s.json {
		views := make([]accountView, 0, accounts.Len())
		for _, a := range accounts.All() {
			views = append(views, viewOf(a, version))
		}
		return printJSON(s.out, views)
	}
	t := newTable(s.out, "ACCOUNT", "KEYS", "PRIORITY", "PER SECOND", "BURST")
	for _, a := range accounts.All() {
		perSecond, burst := limitText(a.Limit)
		t.row(a.Name, len(a.FindKeys("")), priorityText(a.Priority), perSecond, burst)
	}
	return t.flush()
}

func showAccount(ctx context.Context, s *accountSession, cmd *cli.Command) error {
	name, err := oneArgument(cmd, "name")
	if err != nil {
		return err
	}
	a, version, err := s.find(ctx, name)
	if err != nil {
		return err
	}
	return s.print(a, version)
}

// find returns an account in force. Errors are those of AccountStore.Accounts and
// account.ErrUnknownAccount.
func (s *accountSession) find(ctx context.Context, name string) (*account.Account, uint64, error) {
	accounts, version, err := s.store.Accounts(ctx)
	if err != nil {
		return nil, 0, err
	}
	a := accounts.ByName(name)
	if a == nil {
		return nil, 0, fmt.Errorf("%w: %q", account.ErrUnknownAccount, name)
	}
	return a, version, nil
}

func addKey(ctx context.Context, s *accountSession, cmd *cli.Command) error {
	name, err := oneArgument(cmd, "name")
	if err != nil {
		return err
	}
	key, err := s.readKey(cmd.String(flagKey))
	if err != nil {
		return err
	}
	return s.change(ctx, account.Change{Account: name, AddKey: key})
}

func removeKey(ctx context.Context, s *accountSession, cmd *cli.Command) error {
	name, err := oneArgument(cmd, "name")
	if err != nil {
		return err
	}
	digest, err := s.keyToRemove(ctx, cmd, name)
	if err != nil {
		return err
	}
	return s.change(ctx, account.Change{Account: name, RemoveKey: &digest, AllowLast: cmd.Bool(flagLast)})
}

// keyToRemove returns the digest of the key that the command line names by its digest, or
// that is in a file or the standard input.
func (s *accountSession) keyToRemove(ctx context.Context, cmd *cli.Command, name string) (account.Digest, error) {
	if !cmd.IsSet(flagDigest) {
		key, err := s.readKey(cmd.String(flagKey))
		return account.DigestOf(key), err
	}
	prefix := cmd.String(flagDigest)
	if prefix == "" || cmd.IsSet(flagKey) {
		return account.Digest{}, &UsageError{Problem: "the key to remove is not clear", Fix: fmt.Sprintf("pass either --%s or the digits of --%s", flagKey, flagDigest)}
	}
	a, _, err := s.find(ctx, name)
	if err != nil {
		return account.Digest{}, err
	}
	switch found := a.FindKeys(prefix); len(found) {
	case 0:
		return account.Digest{}, fmt.Errorf("%w: %q has none with the digest %s", account.ErrUnknownKey, name, prefix)
	case 1:
		return found[0], nil
	}
	return account.Digest{}, &UsageError{Problem: fmt.Sprintf("several keys of %q have digests that begin with %s", name, prefix), Fix: "pass more digits"}
}

// readKey returns the key in a file or the standard input: its only line, without the line
// break. Errors never contain the key.
func (s *accountSession) readKey(path string) (string, error) {
	in := s.in
	if path != standardIn {
		file, err := os.Open(path)
		if err != nil {
			return "", &UsageError{Problem: err.Error(), Fix: "pass the path of a readable file with the key"}
		}
		defer file.Close()
		in = file
	}
	data, err := io.ReadAll(io.LimitReader(in, maxKeyBytes))
	if err != nil {
		return "", &UsageError{Problem: fmt.Sprintf("read the key: %s", err), Fix: "pass the key in a file or on the standard input"}
	}
	key := strings.TrimRight(string(data), "\r\n")
	if key == "" || strings.ContainsAny(key, "\r\n") {
		return "", &UsageError{Problem: "the input does not hold one line with a key", Fix: "pass a file with the key alone"}
	}
	return key, nil
}

func setLimit(ctx context.Context, s *accountSession, cmd *cli.Command) error {
	name, err := oneArgument(cmd, "name")
	if err != nil {
		return err
	}
	if !cmd.IsSet(flagPerSecond) || !cmd.IsSet(flagBurst) {
		return &UsageError{Problem: "the limit is not complete", Fix: fmt.Sprintf("pass --%s and --%s", flagPerSecond, flagBurst)}
	}
	limit := &account.Limit{PerSecond: cmd.Float(flagPerSecond), Burst: cmd.Float(flagBurst)}
	return s.change(ctx, account.Change{Account: name, Limit: limit})
}

func setPriority(ctx context.Context, s *accountSession, cmd *cli.Command) error {
	args := cmd.Args()
	usage := &UsageError{Problem: "set-priority takes a name and a priority", Fix: fmt.Sprintf("write %s <name> <0 to %d>", cmd.FullName(), account.MaxPriority)}
	if args.Len() != 2 {
		return usage
	}
	priority, err := strconv.Atoi(args.Get(1))
	if err != nil {
		return usage
	}
	return s.change(ctx, account.Change{Account: args.First(), Priority: &priority})
}

// change makes a change and prints the account.
func (s *accountSession) change(ctx context.Context, change account.Change) error {
	a, version, err := s.store.Change(ctx, change)
	if err != nil {
		return err
	}
	return s.print(a, version)
}

// accountView is an account as it is printed. It holds no keys.
type accountView struct {
	Name      string   `json:"name"`
	Keys      []string `json:"key_digests"` // their first digits
	Priority  *int     `json:"priority,omitempty"`
	PerSecond float64  `json:"per_second"` // 0: no limit
	Burst     float64  `json:"burst"`
	Version   uint64   `json:"version"` // of the configuration
}

func viewOf(a *account.Account, version uint64) accountView {
	view := accountView{Name: a.Name, Keys: []string{}, Priority: a.Priority, PerSecond: a.Limit.PerSecond, Burst: a.Limit.Burst, Version: version}
	for _, key := range a.FindKeys("") {
		view.Keys = append(view.Keys, key.String())
	}
	return view
}

func (s *accountSession) print(a *account.Account, version uint64) error {
	view := viewOf(a, version)
	if s.json {
		return printJSON(s.out, view)
	}
	perSecond, burst := limitText(a.Limit)
	t := newTable(s.out, "ACCOUNT", "VERSION", "PRIORITY", "PER SECOND", "BURST", "KEY DIGESTS")
	t.row(a.Name, version, priorityText(a.Priority), perSecond, burst, strings.Join(view.Keys, ","))
	return t.flush()
}

func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func priorityText(priority *int) string {
	if priority == nil {
		return "of the route"
	}
	return strconv.Itoa(*priority)
}

func limitText(l account.Limit) (perSecond, burst string) {
	if !l.Limited() {
		return "no limit", "-"
	}
	return fmt.Sprintf("%g", l.PerSecond), fmt.Sprintf("%g", l.Burst)
}

// accountExitCode returns the exit code for an error of the account commands, ExitOK for any
// other error.
func accountExitCode(err error) int {
	var conflict *account.ConflictError
	switch {
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.Is(err, account.ErrUnavailable):
		return ExitUnavailable
	case errors.Is(err, account.ErrUnknownAccount), errors.Is(err, account.ErrUnknownKey):
		return ExitNotFound
	case errors.Is(err, account.ErrKeyTaken), errors.Is(err, account.ErrLastKey), errors.Is(err, account.ErrInvalid), errors.Is(err, account.ErrRejected):
		return ExitUsage
	}
	return ExitOK
}

// accountAdvice returns advice on an error of the account commands, "" for any other error.
func accountAdvice(err error) string {
	switch accountExitCode(err) {
	case ExitConflict:
		return "look at the account in force (ibistrayctl account show) and make the change again if it is still wanted"
	case ExitUnavailable:
		return "check --control; the change may come into force: look at the account (ibistrayctl account show) and run the same command again"
	case ExitNotFound:
		return "list what exists: ibistrayctl account list, account show"
	}
	if errors.Is(err, account.ErrLastKey) {
		return "add another key first, or pass --last to lock the account out"
	}
	return ""
}
