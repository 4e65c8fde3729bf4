// Command capacity measures what the system spends on this machine and works
// out what it needs at its target size.
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

// measureTimeout bounds a whole measurement.
const measureTimeout = 6 * time.Minute

const (
	flagSlopes = "slopes"
	flagOnly   = "only"
)

func main() {
	// The kernel ends the measured processes with the thread that started them.
	runtime.LockOSThread()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	slopes := &cli.StringFlag{Name: flagSlopes, Value: "docs/capacity-slopes.json", Usage: "file of the measured slopes"}
	app := &cli.Command{
		Name:  "capacity",
		Usage: "measure slopes, and work out the target size from them",
		Flags: []cli.Flag{slopes},
		Commands: []*cli.Command{
			{
				Name: "measure", Usage: "measure on this machine and write the slopes", Action: measure,
				Flags: []cli.Flag{&cli.StringFlag{Name: flagOnly, Usage: "measure this part only and put it into the file: memory, bodies, groups, leaderless, ceiling, calls, announcing, open calls, changes or directory"}},
			},
			{Name: "table", Usage: "print the tables of docs/CAPACITY.md", Action: table},
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
	own, err := os.Executable()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "ibistray-capacity-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	only := cmd.String(flagOnly)
	document := capacity.Measure(ctx, capacity.Config{BinDir: filepath.Dir(own), Dir: dir, Out: os.Stdout, Only: only})
	if only == "" {
		return document.Save(cmd.String(flagSlopes))
	}
	earlier, err := capacity.Load(cmd.String(flagSlopes))
	if err != nil {
		return err
	}
	earlier.Merge(document)
	return earlier.Save(cmd.String(flagSlopes))
}

func table(_ context.Context, cmd *cli.Command) error {
	document, err := capacity.Load(cmd.String(flagSlopes))
	if err != nil {
		return err
	}
	text, err := capacity.Tables(document)
	if err != nil {
		return err
	}
	fmt.Print(text)
	return nil
}
