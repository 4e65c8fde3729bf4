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

// Exit codes of the tool.
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

// UsageError is a wrong command line.
type UsageError struct {
	Problem string
	Fix     string
}

func (e *UsageError) Error() string {
	return e.Problem + "; " + e.Fix
}

// Command returns the tool's root command.
func Command() *cli.Command {
	return &cli.Command{
		Name:                  "ibistrayctl",
		Usage:                 "operate ibistray: contracts, programs, backend servers, load",
		Version:               version.String(),
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:    flagServer,
				Usage:   "base URLs of entries, comma-separated; the first that answers is used",
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
				Usage:   "table for people or json for programs",
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
			statusCommand(),
			topCommand(),
			explainCommand(),
			timesCommand(),
			load.Command(os.Stdout),
		},
	}
}

// ExitCode returns the exit code of an error of the tool.
func ExitCode(err error) int {
	var usage *UsageError
	var conflict *ConflictError
	var server *APIError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.Is(err, ErrUnreachable):
		return ExitUnavailable
	case errors.As(err, &server):
		return serverExitCode(server.Status)
	default:
		return ExitFailure
	}
}

func serverExitCode(status int) int {
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

// NextStep returns what an operator can do about an error, or "".
func NextStep(err error) string {
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

// session is the context of one run of a command.
type session struct {
	client *Client
	out    io.Writer
	json   bool
}

func newSession(cmd *cli.Command) (*session, error) {
	format := cmd.String(flagOutput)
	if format != outputTable && format != outputJSON {
		return nil, &UsageError{Problem: fmt.Sprintf("--%s %q is unknown", flagOutput, format), Fix: "use table or json"}
	}
	path := cmd.String(flagKeyFile)
	if path == "" {
		return nil, &UsageError{Problem: "--" + flagKeyFile + " is missing", Fix: "name a file with an operator's key"}
	}
	key, err := ReadKey(path)
	if err != nil {
		return nil, &UsageError{Problem: err.Error(), Fix: "name a file with an operator's key"}
	}
	servers := strings.Split(cmd.String(flagServer), ",")
	client, err := NewClient(servers, key)
	if err != nil {
		return nil, err
	}
	return &session{client: client, out: cmd.Root().Writer, json: format == outputJSON}, nil
}

// action is the body of a command.
type action func(ctx context.Context, s *session, cmd *cli.Command) error

// withSession makes the session of a command.
func withSession(f action) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		s, err := newSession(cmd)
		if err != nil {
			return err
		}
		return f(ctx, s, cmd)
	}
}

// watched repeats a command with --watch until it is interrupted.
func watched(f action) cli.ActionFunc {
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

// oneArgument returns the only argument of a command.
func oneArgument(cmd *cli.Command, name string) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", &UsageError{
			Problem: fmt.Sprintf("%s takes one argument", cmd.FullName()),
			Fix:     fmt.Sprintf("write %s <%s>", cmd.FullName(), name),
		}
	}
	return cmd.Args().First(), nil
}
