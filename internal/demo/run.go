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
	BinDir       string // folder of the built programs
	ContractsDir string // folder of the contract documents
	Out          io.Writer
	Serve        bool // keep the processes running without programs until the context ends
}

const (
	// timeLimit bounds a run.
	timeLimit = 45 * time.Second
	// stopReserve is the part of it that is kept for stopping the processes.
	stopReserve = 10 * time.Second
	// releaseTimeout bounds the wait for the engine memory of ended programs.
	releaseTimeout = 5 * time.Second
	// logLines is the number of lines of each log that a failure prints.
	logLines = 15
)

// Run runs the demo. It returns an error when a program did not finish in
// order, whole, and with each booking done once. No process is left behind.
// The calling goroutine must be locked to its thread for the whole run, since
// the kernel ends the processes with the thread that started them.
func Run(ctx context.Context, config Config) error {
	dataDir, err := os.MkdirTemp("", "ibistray-demo-")
	if err != nil {
		return fmt.Errorf("make the data folder: %w", err)
	}
	c, err := newCluster(config.BinDir, dataDir)
	if err != nil {
		return err
	}
	defer c.Close()
	if err := play(ctx, c, config); err != nil {
		if ctx.Err() != nil { // interrupted: there is nothing to look into
			c.Close()
			return errors.Join(err, os.RemoveAll(dataDir))
		}
		c.PrintWarnings(config.Out, logLines)
		fmt.Fprintf(config.Out, "the logs and data are kept in %s\n", dataDir)
		return err
	}
	for _, err := range c.Stop() {
		fmt.Fprintf(config.Out, "warning: %v\n", err)
	}
	return os.RemoveAll(dataDir)
}

// play starts the processes, runs the programs and checks what they did.
func play(ctx context.Context, c *localcluster.Cluster, config Config) error {
	limited, cancel := context.WithTimeout(ctx, timeLimit-stopReserve)
	defer cancel()
	book := newLedger(config.Out, time.Now(), limited.Done())
	book.say("starting %d processes in %s", len(c.Processes()), c.DataDir())
	if err := c.Start(limited); err != nil {
		return err
	}
	book.say("%d entries are ready", len(c.Nodes))
	if err := applyContracts(limited, c, config.ContractsDir, book); err != nil {
		return err
	}
	if config.Serve {
		serve(ctx, c, book)
		return nil
	}
	results, err := runUsers(limited, c, book)
	if err != nil {
		return err
	}
	return check(limited, c, book, results)
}

// serve prints how to reach the system and waits until the context ends.
func serve(ctx context.Context, c *localcluster.Cluster, book *ledger) {
	fmt.Fprintf(book.out, "\nentries        %s\n", strings.Join(c.EntryURLs(), " "))
	fmt.Fprintf(book.out, "operator's key %s\n", c.KeyFile())
	for _, customer := range []string{customerRepair, customerWharf} {
		fmt.Fprintf(book.out, "customer key   ik_%s%s\n", customer, keySuffix)
	}
	fmt.Fprintln(book.out, "interrupt to stop")
	<-ctx.Done()
}

// applyContracts applies every contract document with the operators' tool. It
// tries again while no entry can take a change.
func applyContracts(ctx context.Context, c *localcluster.Cluster, folder string, book *ledger) error {
	files, err := filepath.Glob(filepath.Join(folder, "*.yaml"))
	if err != nil || len(files) == 0 {
		return fmt.Errorf("no contracts in %s", folder)
	}
	for _, file := range files {
		text, err := c.ApplyContract(ctx, file)
		if err != nil {
			return err
		}
		book.say("%s", text)
	}
	return nil
}

// runUsers runs all programs side by side and kills processes meanwhile.
func runUsers(ctx context.Context, c *localcluster.Cluster, book *ledger) ([]result, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	all := users()
	results := make([]result, len(all))
	var wg sync.WaitGroup
	for i, u := range all {
		wg.Go(func() {
			results[i] = u.run(ctx, c.EntryURLs(), book)
			if err := results[i].outcome.Err; err != nil {
				cancel(err)
			}
		})
	}
	err := injectFaults(ctx, c, c.Probe, book)
	if err != nil {
		cancel(err)
	}
	wg.Wait()
	for _, r := range results {
		err = errors.Join(err, r.outcome.Err)
	}
	return results, err
}
