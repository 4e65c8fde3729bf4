package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"ibistray.example/ibistray/internal/localcluster"
)

// Config configures a run of the demo.
type Config struct {
	BinDir       string // directory of the built executables
	ContractsDir string // directory of the contract documents
	Out          io.Writer
	Serve        bool // run no programs, but keep the processes running until the context ends
}

const (
	// runTimeout is the maximum duration of a run.
	runTimeout = 45 * time.Second
	// stopReserve is the part of timeLimit that is reserved for stopping the processes.
	stopReserve = 10 * time.Second
	// releaseTimeout is how long the engines may take to release the cached prefixes of
	// ended programs.
	releaseTimeout = 5 * time.Second
	// logLines is the number of lines that a failure prints of each log.
	logLines = 15
)

// Run runs the demo. It returns an error if a program did not finish with its calls in
// order and its history complete, or if a booking was not made exactly once. All
// processes have exited when it returns. The calling goroutine must be locked to its
// thread for the whole run, since the kernel kills the processes when the thread that
// started them ends.
func Run(ctx context.Context, config Config) error {
	dataDir, err := os.MkdirTemp("", "ibistray-demo-")
	if err != nil {
		return fmt.Errorf("create the data directory: %w", err)
	}
	c, err := newCluster(config.BinDir, dataDir)
	if err != nil {
		return err
	}
	defer c.Close()
	if err := runInCluster(ctx, c, config); err != nil {
		if ctx.Err() != nil { // interrupted: the logs are not needed for a diagnosis
			c.Close()
			return errors.Join(err, os.RemoveAll(dataDir))
		}
		c.PrintWarnings(config.Out, logLines)
		fmt.Fprintf(config.Out, "logs and data are kept in %s\n", dataDir)
		return err
	}
	for _, err := range c.Stop() {
		fmt.Fprintf(config.Out, "warning: %v\n", err)
	}
	return os.RemoveAll(dataDir)
}

// runInCluster starts the processes, runs the programs and checks what they did.
func runInCluster(ctx context.Context, c *localcluster.Cluster, config Config) error {
	runCtx, cancel := context.WithTimeout(ctx, runTimeout-stopReserve)
	defer cancel()
	obs := newObserver(config.Out, time.Now(), runCtx.Done())
	obs.printf("starting %d processes in %s", len(c.Processes()), c.DataDir())
	if err := c.Start(runCtx); err != nil {
		return err
	}
	obs.printf("%d entries are ready", len(c.Nodes))
	if err := applyContracts(runCtx, c, config.ContractsDir, obs); err != nil {
		return err
	}
	if config.Serve {
		serve(ctx, c, obs)
		return nil
	}
	results, err := runPrograms(runCtx, c, obs)
	if err != nil {
		return err
	}
	return check(runCtx, c, obs, results)
}

// serve prints the addresses and keys of the system and waits until the context ends.
func serve(ctx context.Context, c *localcluster.Cluster, obs *observer) {
	fmt.Fprintf(obs.out, "\nentries        %s\n", strings.Join(c.EntryURLs(), " "))
	fmt.Fprintf(obs.out, "operator's key %s\n", c.KeyFile())
	for _, customer := range []string{customerRepair, customerWharf} {
		fmt.Fprintf(obs.out, "customer key   ik_%s%s\n", customer, keySuffix)
	}
	fmt.Fprintln(obs.out, "interrupt to stop")
	<-ctx.Done()
}

// applyContracts applies every contract document in a directory with ibistrayctl. It
// retries until it succeeds or the context ends.
func applyContracts(ctx context.Context, c *localcluster.Cluster, dir string, obs *observer) error {
	files, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil || len(files) == 0 {
		return fmt.Errorf("no contract documents (*.yaml) in %s", dir)
	}
	for _, file := range files {
		output, err := c.ApplyContract(ctx, file)
		if err != nil {
			return err
		}
		obs.printf("%s", output)
	}
	return nil
}

// runPrograms runs all programs concurrently and injects the faults meanwhile. If a
// program or the fault injection fails, it cancels the other programs.
func runPrograms(ctx context.Context, c *localcluster.Cluster, obs *observer) ([]result, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	programs := demoPrograms()
	results := make([]result, len(programs))
	var wg sync.WaitGroup
	for i, p := range programs {
		wg.Go(func() {
			results[i] = p.run(ctx, c.EntryURLs(), obs)
			if err := results[i].outcome.Err; err != nil {
				cancel(err)
			}
		})
	}
	err := injectFaults(ctx, c, c.Probe, obs)
	if err != nil {
		cancel(err)
	}
	wg.Wait()
	for _, r := range results {
		err = errors.Join(err, r.outcome.Err)
	}
	return results, err
}
