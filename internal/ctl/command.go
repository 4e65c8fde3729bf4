package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"ibistray.example/ibistray/internal/load"
	"ibistray.example/ibistray/internal/version"
)

// Exit codes of ibistrayctl.
const (
	ExitOK              = 0
	ExitFailure         = 1
	ExitUsage           = 2
	ExitConflict        = 3
	ExitUnavailable     = 4
	ExitUnauthenticated = 5
	ExitNotFound        = 6
)

const (
	flagServer  = "server"
	flagKeyFile = "operator-key-file"
	flagOutput  = "output"
	flagWatch   = "watch"
	envPrefix   = "IBISTRAYCTL_"

	outputTable = "table"
	outputJSON  = "json"
)

const watchInterval = 2 * time.Second

// UsageError reports an invalid command line or input file. Fix says what to do.
type UsageError struct {
	Problem string
	Fix     string
}

func (e *UsageError) Error() string {
	return e.Problem + "; " + e.Fix
}

// Command returns the root command of ibistrayctl. openAccounts is used by the commands for
// client accounts, decodeRoutes by those for configurations of pass-through routes.
func Command(openAccounts OpenAccounts, decodeRoutes DecodeRoutes) *cli.Command {
	return &cli.Command{
		Name:                  "ibistrayctl",
		Usage:                 "operate ibistray: contracts, programs, backend servers, load",
		Version:               version.String(),
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:    flagServer,
				Usage:   "base URLs of entries, comma-separated; the first one that answers is used",
				Value:   "http://127.0.0.1:7101",
				Sources: cli.EnvVars(envPrefix + "SERVER"),
			},
			&cli.StringFlag{
				Name:    flagKeyFile,
				Usage:   "file with an operator's key",
				Sources: cli.EnvVars(envPrefix + "OPERATOR_KEY_FILE"),
			},
			&cli.StringFlag{
				Name:    flagOutput,
				Usage:   "output format: table (for people) or json (for programs)",
				Value:   outputTable,
				Sources: cli.EnvVars(envPrefix + "OUTPUT"),
			},
		},
		Commands: []*cli.Command{
			contractCommand(),
			programCommand(),
			serverCommand(),
			replicaCommand(),
			stopCommand(),
			quarantineCommand(),
			keyCommand(),
			accountCommand(openAccounts),
			routesCommand(decodeRoutes),
			statusCommand(),
			topCommand(),
			explainCommand(),
			timesCommand(),
			load.Command(os.Stdout),
		},
	}
}

// ExitCode returns the process exit code for an error that a command returned.
func ExitCode(err error) int {
	var usage *UsageError
	var conflict *ConflictError
	var apiErr *APIError
	if code := accountExitCode(err); code != ExitOK {
		return code
	}
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.Is(err, ErrUnreachable):
		return ExitUnavailable
	case errors.As(err, &apiErr):
		return exitCodeForStatus(apiErr.Status)
	default:
		return ExitFailure
	}
}

func exitCodeForStatus(status int) int {
	switch status {
	case 400, 422:
		return ExitUsage
	case 401, 403:
		return ExitUnauthenticated
	case 404:
		return ExitNotFound
	case 409:
		return ExitConflict
	case 503, 504:
		return ExitUnavailable
	default:
		return ExitFailure
	}
}

// NextStep returns advice for the operator on an error that a command returned, or "".
func NextStep(err error) string {
	if advice := accountAdvice(err); advice != "" {
		return advice
	}
	switch ExitCode(err) {
	case ExitConflict:
		return "read what is in force (ibistrayctl contract show, stop list) and base the change on it; a resend keeps its --change-id"
	case ExitUnavailable:
		return "check the address (--server) and whether a majority of the control processes runs (ibistrayctl status); a change may be sent again with the same --change-id"
	case ExitUnauthenticated:
		return "check --operator-key-file; the entry reads its keys from its own --operator-key-file at start"
	case ExitNotFound:
		return "list what exists: ibistrayctl contract list, server list, stop list, quarantine list"
	default:
		return ""
	}
}

// session holds the API client and the output settings of one command run.
type session struct {
	client *Client
	out    io.Writer
	json   bool
}

func newSession(cmd *cli.Command) (*session, error) {
	format := cmd.String(flagOutput)
	if format != outputTable && format != outputJSON {
		return nil, &UsageError{Problem: fmt.Sprintf("--%s %q is not supported", flagOutput, format), Fix: "use table or json"}
	}
	path := cmd.String(flagKeyFile)
	if path == "" {
		return nil, &UsageError{Problem: "--" + flagKeyFile + " is missing", Fix: "pass the path of a file with an operator's key"}
	}
	key, err := ReadKey(path)
	if err != nil {
		return nil, &UsageError{Problem: err.Error(), Fix: "pass the path of a file with an operator's key"}
	}
	entryURLs := strings.Split(cmd.String(flagServer), ",")
	client, err := NewClient(entryURLs, key)
	if err != nil {
		return nil, err
	}
	return &session{client: client, out: cmd.Root().Writer, json: format == outputJSON}, nil
}

// commandFunc runs a command that calls the administration API.
type commandFunc func(ctx context.Context, s *session, cmd *cli.Command) error

// withSession returns an action that creates a session and runs f with it.
func withSession(f commandFunc) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		s, err := newSession(cmd)
		if err != nil {
			return err
		}
		return f(ctx, s, cmd)
	}
}

// watchable returns an action that runs f with a session. With --watch it runs f every
// watchInterval until f fails or the command is interrupted.
func watchable(f commandFunc) cli.ActionFunc {
	return withSession(func(ctx context.Context, s *session, cmd *cli.Command) error {
		for {
			if err := f(ctx, s, cmd); err != nil {
				return err
			}
			if !cmd.Bool(flagWatch) {
				return nil
			}
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(watchInterval):
				fmt.Fprintln(s.out)
			}
		}
	})
}

func watchFlag() cli.Flag {
	return &cli.BoolFlag{Name: flagWatch, Usage: "repeat until interrupted"}
}

// oneArgument returns the only argument of a command. Any other number of arguments is
// a *UsageError, which shows name as the placeholder of the argument.
func oneArgument(cmd *cli.Command, name string) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", &UsageError{
			Problem: fmt.Sprintf("%s takes one argument", cmd.FullName()),
			Fix:     fmt.Sprintf("write %s <%s>", cmd.FullName(), name),
		}
	}
	return cmd.Args().First(), nil
}
