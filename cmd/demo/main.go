// Command demo runs ibistray as separate processes on this machine, and sends it the calls
// of the agent programs of two customers. It exits with 0 if each program finished
// completely, with its calls in order and each booking made exactly once. "make demo"
// builds the executables and runs it.
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
	// The kernel kills the started processes when the thread that started them exits
	// (Pdeathsig), so they must be started by a thread that lives as long as this process.
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
		Usage: "run the programs of both customers, kill an entry and a sidecar, and check the results",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Usage: "directory of the built executables; default: the directory of this executable"},
			&cli.StringFlag{Name: "contracts", Value: "examples/contracts", Usage: "directory of the contract documents"},
			&cli.BoolFlag{Name: "serve", Usage: "run no programs, but keep the processes running until interrupted"},
		},
		Action: run,
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	httpserver.SetLogger(hclog.NewNullLogger())
	binDir := cmd.String("bin")
	if binDir == "" {
		executable, err := os.Executable()
		if err != nil {
			return err
		}
		binDir = filepath.Dir(executable)
	}
	config := demo.Config{
		BinDir:       binDir,
		ContractsDir: cmd.String("contracts"),
		Out:          os.Stdout,
		Serve:        cmd.Bool("serve"),
	}
	if err := demo.Run(ctx, config); err != nil {
		return err
	}
	if !config.Serve {
		fmt.Println("demo ok")
	}
	return nil
}
