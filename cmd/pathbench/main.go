// Command pathbench measures the path of a call: its latency through a small
// system on loopback beside the direct one, and begins and commits of the
// customer shards. "make bench-path" builds the programs and runs it.
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

	"ibistray.example/ibistray/internal/httpserver"
	"ibistray.example/ibistray/internal/pathbench"
)

// timeout bounds the whole benchmark.
const timeout = 90 * time.Second

func main() {
	// The kernel ends the benchmark's processes with the thread that started them.
	runtime.LockOSThread()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := &cli.Command{
		Name:   "pathbench",
		Usage:  "measure the path of a call on this machine",
		Action: run,
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "pathbench:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, _ *cli.Command) error {
	httpserver.SetLogger(hclog.NewNullLogger())
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	own, err := os.Executable()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "ibistray-pathbench-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	printLoad("before")
	if err := pathbench.MeasureLatency(ctx, filepath.Dir(own), filepath.Join(dir, "latency"), os.Stdout); err != nil {
		return err
	}
	if err := pathbench.MeasureShards(ctx, filepath.Join(dir, "shards"), os.Stdout); err != nil {
		return err
	}
	printLoad("after")
	return nil
}

// printLoad prints the load averages, so that figures of a busy machine show it.
func printLoad(when string) {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return
	}
	fmt.Printf("load averages %s: %s", when, data)
}
