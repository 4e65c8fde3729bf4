// Command capacity measures the resource use of the system on this machine and computes
// from it the resources that the system needs at its target size.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"ibistray.example/ibistray/internal/capacity"
	"ibistray.example/ibistray/internal/httpserver"
)

// measureTimeout limits a whole measurement.
const measureTimeout = 6 * time.Minute

const (
	flagSlopes = "slopes"
	flagOnly   = "only"
)

func main() {
	// The kernel kills the measured processes when the thread that started them exits
	// (Pdeathsig), so they must be started by a thread that lives as long as this process.
	runtime.LockOSThread()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	slopes := &cli.StringFlag{Name: flagSlopes, Value: "docs/capacity-slopes.json", Usage: "file with the measured slopes, the resources used per call, program, process and so on"}
	app := &cli.Command{
		Name:  "capacity",
		Usage: "measure slopes, and compute from them the resources needed at the target size",
		Flags: []cli.Flag{slopes},
		Commands: []*cli.Command{
			{
				Name: "measure", Usage: "measure the slopes on this machine and write them to the file", Action: measure,
				Flags: []cli.Flag{&cli.StringFlag{Name: flagOnly, Usage: "measure only this part and merge it into the file: memory, bodies, groups, leaderless, ceiling, calls, announcing, open calls, changes or directory"}},
			},
			{Name: "table", Usage: "print the tables of docs/CAPACITY.md", Action: printTables},
		},
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func measure(ctx context.Context, cmd *cli.Command) error {
	httpserver.SetLogger(hclog.NewNullLogger())
	ctx, cancel := context.WithTimeout(ctx, measureTimeout)
	defer cancel()
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "ibistray-capacity-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	only := cmd.String(flagOnly)
	measured := capacity.Measure(ctx, capacity.Config{BinDir: filepath.Dir(executable), Dir: dir, Out: os.Stdout, Part: only})
	if only == "" {
		return measured.Save(cmd.String(flagSlopes))
	}
	saved, err := capacity.Load(cmd.String(flagSlopes))
	if err != nil {
		return err
	}
	saved.Merge(measured)
	return saved.Save(cmd.String(flagSlopes))
}

func printTables(_ context.Context, cmd *cli.Command) error {
	report, err := capacity.Load(cmd.String(flagSlopes))
	if err != nil {
		return err
	}
	tables, err := capacity.Tables(report)
	if err != nil {
		return err
	}
	fmt.Print(tables)
	return nil
}
