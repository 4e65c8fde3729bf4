package ctl

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/account"
)

// fakeAccounts is an AccountStore in memory.
type fakeAccounts struct {
	accounts  []*account.Account
	changeErr error
	changes   []account.Change
}

func (f *fakeAccounts) Accounts(context.Context) (*account.Directory, uint64, error) {
	d, err := account.NewDirectory(f.accounts)
	return d, 7, err
}

func (f *fakeAccounts) Change(ctx context.Context, change account.Change) (*account.Account, uint64, error) {
	f.changes = append(f.changes, change)
	if f.changeErr != nil {
		return nil, 0, f.changeErr
	}
	d, _, err := f.Accounts(ctx)
	if err != nil {
		return nil, 0, err
	}
	a, err := change.Apply(d)
	return a, 8, err
}

func newFakeAccounts() *fakeAccounts {
	return &fakeAccounts{accounts: []*account.Account{
		{Name: "zeta"},
		{Name: "acme", Keys: []account.Digest{account.DigestOf("secret-1"), account.DigestOf("secret-2")}, Limit: account.Limit{PerSecond: 5.5, Burst: 10}},
		{Name: "one", Keys: []account.Digest{account.DigestOf("secret-3")}},
	}}
}

// runAccount runs an account command and returns what it prints and its error.
func runAccount(t *testing.T, store *fakeAccounts, input string, args ...string) (string, error) {
	var out strings.Builder
	root := Command(func([]string) AccountStore { return store }, nil)
	root.Writer, root.Reader = &out, strings.NewReader(input)
	err := root.Run(t.Context(), append([]string{"ibistrayctl", "account", "--control", "10.0.0.1:80"}, args...))
	assert.Assert(t, !strings.Contains(out.String(), "secret"), "a key is printed")
	if err != nil {
		assert.Assert(t, !strings.Contains(err.Error(), "secret"), "a key is in an error")
	}
	return out.String(), err
}

func TestAccountCommands(t *testing.T) {
	file := filepath.Join(t.TempDir(), "key")
	assert.NilError(t, os.WriteFile(file, []byte("secret-4\r\n"), 0o600))
	digest := account.DigestOf("secret-1").String()
	cases := map[string]struct {
		args  string
		input string
		code  int
		want  string // in the output
	}{
		"list":                       {"list", "", ExitOK, "acme     2     of the route  5.5"},
		"show":                       {"show acme", "", ExitOK, digest},
		"show unknown":               {"show nobody", "", ExitNotFound, ""},
		"key from input":             {"add-key acme", "secret-4\n", ExitOK, account.DigestOf("secret-4").String()},
		"key from file":              {"add-key acme --key-file " + file, "", ExitOK, account.DigestOf("secret-4").String()},
		"key as argument":            {"add-key acme secret-4", "", ExitUsage, ""},
		"no key":                     {"add-key acme", "\n", ExitUsage, ""},
		"two lines":                  {"add-key acme", "secret-4\nsecret-5\n", ExitUsage, ""},
		"no file":                    {"add-key acme --key-file /no/such/file", "", ExitUsage, ""},
		"key of another":             {"add-key acme", "secret-3", ExitUsage, ""},
		"key removed":                {"remove-key acme", "secret-2\n", ExitOK, digest},
		"key removed by digest":      {"remove-key acme --digest " + digest[:6], "", ExitOK, account.DigestOf("secret-2").String()},
		"key that is not there":      {"remove-key acme", "secret-9\n", ExitNotFound, ""},
		"digest that is not there":   {"remove-key acme --digest 000000", "", ExitNotFound, ""},
		"empty digest":               {"remove-key acme --digest=", "", ExitUsage, ""},
		"digest and file":            {"remove-key acme --digest 00 --key-file " + file, "", ExitUsage, ""},
		"last key":                   {"remove-key one", "secret-3\n", ExitUsage, ""},
		"last key let go":            {"remove-key one --last", "secret-3\n", ExitOK, "one"},
		"limit":                      {"set-limit acme --per-second 2.5 --burst 7", "", ExitOK, "2.5"},
		"limit withdrawn":            {"set-limit acme --per-second 0 --burst 0", "", ExitOK, "no limit"},
		"half a limit":               {"set-limit acme --per-second 2", "", ExitUsage, ""},
		"negative limit":             {"set-limit acme --per-second=-1 --burst 7", "", ExitUsage, ""},
		"limit that is no number":    {"set-limit acme --per-second NaN --burst 7", "", ExitUsage, ""},
		"priority":                   {"set-priority acme 4", "", ExitOK, "4"},
		"priority out of range":      {"set-priority acme 10", "", ExitUsage, ""},
		"priority that is no number": {"set-priority acme high", "", ExitUsage, ""},
		"output format":              {"--output yaml list", "", ExitUsage, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			out, err := runAccount(t, newFakeAccounts(), c.input, strings.Fields(c.args)...)
			assert.Equal(t, ExitCode(err), c.code, "%v", err)
			assert.Assert(t, strings.Contains(out, c.want), out)
		})
	}
}

func TestAccountErrorsSayWhatToDo(t *testing.T) {
	cases := map[string]struct {
		err    error
		code   int
		advice string
	}{
		"conflict":    {&account.ConflictError{Written: 8, InForce: 9}, ExitConflict, "account show"},
		"unavailable": {account.ErrUnavailable, ExitUnavailable, "run the same command again"},
		"last key":    {account.ErrLastKey, ExitUsage, "--last"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			store := newFakeAccounts()
			store.changeErr = c.err
			_, err := runAccount(t, store, "secret-4", "add-key", "acme")
			assert.Equal(t, ExitCode(err), c.code)
			assert.Assert(t, strings.Contains(NextStep(err), c.advice))
			assert.Equal(t, len(store.changes), 1)
		})
	}
}

func TestAccountsAsJSON(t *testing.T) {
	out, err := runAccount(t, newFakeAccounts(), "", "--output", "json", "show", "zeta")
	assert.NilError(t, err)
	assert.Equal(t, strings.Join(strings.Fields(out), ""), `{"name":"zeta","key_digests":[],"per_second":0,"burst":0,"version":7}`)
}
