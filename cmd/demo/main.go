// Command demo runs the main job of the project as separate processes on this
// machine and exits with 0 when each program finished in order, whole, and with
// each booking done once. "make demo" builds the programs and runs it.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"ibistray.example/ibistray/internal/demo"
	"ibistray.example/ibistray/internal/httpserver"
)

func main() {
	// The kernel ends the demo's processes with the thread that started them.
	runtime.LockOSThread()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run both users' programs, kill an entry and a sidecar, check the outcome",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Usage: "folder of the built programs; default: the demo's own"},
			&cli.StringFlag{Name: "contracts", Value: "examples/contracts", Usage: "folder of the contract documents"},
			&cli.BoolFlag{Name: "serve", Usage: "run no programs: keep the processes running until interrupted"},
		},
		Action: run,
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	httpserver.SetLogger(hclog.NewNullLogger())
	binDir := cmd.String("bin")
	if binDir == "" {
		own, err := os.Executable()
		if err != nil {
			return err
		}
		binDir = filepath.Dir(own)
	}
	config := demo.Config{
		BinDir:    binDir,
		Contracts: cmd.String("contracts"),
		Out:       os.Stdout,
		Serve:     cmd.Bool("serve"),
	}
	if err := demo.Run(ctx, config); err != nil {
		return err
	}
	if !config.Serve {
		fmt.Println("demo ok")
	}
	return nil
}
