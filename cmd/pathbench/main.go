// Command pathbench measures the latency of calls through a small system on the loopback
// interface, compared with calls sent directly to an engine, and the rate at which customer
// shards begin and commit calls. "make bench-path" builds the executables and runs it.
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

// benchmarkTimeout limits the whole benchmark.
const benchmarkTimeout = 90 * time.Second

func main() {
	// The kernel kills the started processes when the thread that started them exits
	// (Pdeathsig), so they must be started by a thread that lives as long as this process.
	runtime.LockOSThread()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := &cli.Command{
		Name:   "pathbench",
		Usage:  "measure the latency and throughput of calls on this machine",
		Action: run,
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "pathbench:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, _ *cli.Command) error {
	httpserver.SetLogger(hclog.NewNullLogger())
	ctx, cancel := context.WithTimeout(ctx, benchmarkTimeout)
	defer cancel()
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "ibistray-pathbench-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	printLoad("before")
	if err := pathbench.MeasureLatency(ctx, filepath.Dir(executable), filepath.Join(dir, "latency"), os.Stdout); err != nil {
		return err
	}
	if err := pathbench.MeasureShards(ctx, filepath.Join(dir, "shards"), os.Stdout); err != nil {
		return err
	}
	printLoad("after")
	return nil
}

// printLoad prints the load averages, which show whether the machine was busy with other
// work during the measurement.
func printLoad(when string) {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return
	}
	fmt.Printf("load averages %s: %s", when, data)
}
