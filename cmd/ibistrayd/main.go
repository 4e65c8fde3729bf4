// Command ibistrayd is the daemon: its roles are chosen by settings.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"ibistray.example/ibistray/internal/daemon"
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
	app := &cli.Command{
		Name:    "ibistrayd",
		Usage:   "scheduler for agent programs: entry, control and sidecar roles",
		Version: version.String(),
		Flags:   settings.Flags(),
		Action:  run,
		Commands: []*cli.Command{{
			Name:   "check-settings",
			Usage:  "check the settings and exit",
			Action: checkSettings,
		}},
	}
	err := app.Run(context.Background(), os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "ibistrayd:", err)
	os.Exit(exitCode(err))
}

func exitCode(err error) int {
	var bad *settings.Error
	switch {
	case errors.As(err, &bad):
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

// run starts the process and stops it gracefully on SIGTERM or SIGINT. A second
// signal ends the wait for running calls.
func run(_ context.Context, cmd *cli.Command) error {
	s, err := settings.FromCommand(cmd)
	if err != nil {
		return err
	}
	log, err := telemetry.NewLogger("ibistrayd", s.LogLevel, os.Stderr)
	if err != nil {
		return err
	}
	log = log.With("node", s.NodeID)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	d, err := daemon.Start(s, log)
	if err != nil {
		return err
	}
	select {
	case <-signals:
	case err := <-d.Failed():
		return fmt.Errorf("listener ended: %w", err)
	}
	ctx, cancel := drainContext(s)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	return d.Stop(ctx)
}

func drainContext(s *settings.Settings) (context.Context, context.CancelFunc) {
	if s.DrainTimeout == 0 {
		return context.WithCancel(context.Background())
	}
	return context.WithTimeout(context.Background(), s.DrainTimeout)
}
