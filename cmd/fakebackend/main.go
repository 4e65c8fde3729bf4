// Command fakebackend is a fake backend server for the demo and for tests with several
// processes. It is a model engine, or a plain service if --service is set.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"ibistray.example/ibistray/internal/backendtest"
	"ibistray.example/ibistray/internal/httpserver"
)

// crashExitCode is the exit code if a request crashes the engine.
const crashExitCode = 3

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "fakebackend:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:   "fakebackend",
		Usage:  "fake model engine or plain service",
		Flags:  flags(),
		Action: run,
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	logger := hclog.New(&hclog.LoggerOptions{Name: "fakebackend", JSONFormat: true, Level: hclog.Info})
	httpserver.SetLogger(logger)
	if len(cmd.StringSlice("service")) > 0 {
		return runService(ctx, cmd, logger)
	}
	return runEngine(ctx, cmd, logger)
}

func runEngine(ctx context.Context, cmd *cli.Command, logger hclog.Logger) error {
	engine, err := backendtest.NewEngine(engineOptions(cmd, logger))
	if err != nil {
		return err
	}
	defer engine.Close()
	logger.Info("engine started", "url", engine.URL())
	select {
	case <-ctx.Done():
	case <-engine.Closed():
	}
	return nil
}

func runService(ctx context.Context, cmd *cli.Command, logger hclog.Logger) error {
	service, err := backendtest.NewService(serviceOptions(cmd))
	if err != nil {
		return err
	}
	defer service.Close()
	logger.Info("service started", "url", service.URL(), "services", cmd.StringSlice("service"))
	<-ctx.Done()
	return nil
}
