// Command ibistrayd is the daemon of ibistray. Its settings select the roles that it runs.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"ibistray.example/ibistray/internal/daemon"
	_ "ibistray.example/ibistray/internal/hangup" // before the first instruction of main
	"ibistray.example/ibistray/internal/httpserver"
	"ibistray.example/ibistray/internal/settings"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/internal/version"
)

// Exit codes.
const (
	exitFailure      = 1
	exitBadSetting   = 2
	exitDrainTimeout = 3
)

func main() {
	// Without a reader of the log, its lines are dropped.
	signal.Ignore(syscall.SIGPIPE)
	app := &cli.Command{
		Name:    "ibistrayd",
		Usage:   "scheduler for agent programs: entry, control and sidecar roles",
		Version: version.String(),
		Flags:   settings.Flags(),
		Action:  run,
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return fmt.Errorf("%w; ibistrayd --help lists the settings", err)
		},
		Commands: append([]*cli.Command{{
			Name:   "check-settings",
			Usage:  "check the settings and exit",
			Action: checkSettings,
		}}, hostedCommands()...),
	}
	err := app.Run(context.Background(), os.Args)
	if err == nil {
		return
	}
	errorOutput := telemetry.NewAsyncWriter(os.Stderr)
	fmt.Fprintln(errorOutput, "ibistrayd:", err)
	errorOutput.Close()
	os.Exit(exitCode(err))
}

// runError is an error that occurred after the settings were found valid.
type runError struct {
	err error
}

func (e *runError) Error() string { return e.err.Error() }
func (e *runError) Unwrap() error { return e.err }

// exitCode distinguishes errors of a running process from invalid settings: any error that
// is not a *runError occurred before the process ran.
func exitCode(err error) int {
	var runErr *runError
	switch {
	case !errors.As(err, &runErr):
		return exitBadSetting
	case errors.Is(err, context.DeadlineExceeded):
		return exitDrainTimeout
	default:
		return exitFailure
	}
}

func checkSettings(_ context.Context, cmd *cli.Command) error {
	if _, err := settings.FromCommand(cmd); err != nil {
		return err
	}
	fmt.Println("settings are valid")
	return nil
}

func run(_ context.Context, cmd *cli.Command) error {
	s, err := settings.FromCommand(cmd)
	if err != nil {
		return err
	}
	if err := serve(s); err != nil {
		return &runError{err: err}
	}
	return nil
}

// serve runs the daemon until SIGTERM or SIGINT, and then waits for running calls to end.
// A second signal or the drain timeout ends that wait.
func serve(s *settings.Settings) error {
	output := telemetry.NewAsyncWriter(os.Stderr)
	defer output.Close()
	log, err := telemetry.NewLogger("ibistrayd", s.LogLevel, output)
	if err != nil {
		return err
	}
	log = log.With("node", s.NodeID)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	running, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		<-signals
		stop()
	}()
	hclog.SetDefault(log)
	httpserver.SetLogger(log.Named("http"))
	d, err := daemon.Start(running, s, log)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	if err != nil {
		return err
	}
	select {
	case <-running.Done():
	case err := <-d.Failed():
		return fmt.Errorf("listener failed: %w", err)
	}
	ctx, cancel := drainContext(s)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	return d.Stop(ctx)
}

// drainContext returns the context that limits the wait for running calls.
func drainContext(s *settings.Settings) (context.Context, context.CancelFunc) {
	if s.DrainTimeout == 0 {
		return context.WithCancel(context.Background())
	}
	return context.WithTimeout(context.Background(), s.DrainTimeout)
}
