package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Config configures a run of the demo.
type Config struct {
	BinDir    string // folder of the built programs
	Contracts string // folder of the contract documents
	Out       io.Writer
	Serve     bool // keep the processes running without programs until the context ends
}

const (
	// timeLimit bounds a run.
	timeLimit = 45 * time.Second
	// stopReserve is the part of it that is kept for stopping the processes.
	stopReserve = 2 * stopTimeout
	// releaseTimeout bounds the wait for the engine memory of ended programs.
	releaseTimeout = 5 * time.Second
	// applyInterval is the time between two tries to apply a contract.
	applyInterval = 200 * time.Millisecond
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
	c, err := newCluster(config.BinDir, dataDir, demoTuning)
	if err != nil {
		return err
	}
	defer c.killAll()
	if err := play(ctx, c, config); err != nil {
		if ctx.Err() != nil { // interrupted: there is nothing to look into
			c.killAll()
			return errors.Join(err, os.RemoveAll(dataDir))
		}
		c.printProblems(config.Out)
		fmt.Fprintf(config.Out, "the logs and data are kept in %s\n", dataDir)
		return err
	}
	for _, err := range c.stop() {
		fmt.Fprintf(config.Out, "warning: %v\n", err)
	}
	return os.RemoveAll(dataDir)
}

// play starts the processes, runs the programs and checks what they did.
func play(ctx context.Context, c *cluster, config Config) error {
	limited, cancel := context.WithTimeout(ctx, timeLimit-stopReserve)
	defer cancel()
	p, err := newProbe()
	if err != nil {
		return err
	}
	defer p.http.CloseIdleConnections()
	book := newLedger(config.Out, time.Now(), limited.Done())
	book.say("starting %d processes in %s", len(c.processes()), c.dataDir)
	if err := c.start(limited, p); err != nil {
		return err
	}
	book.say("%d entries are ready", len(c.nodes))
	if err := applyContracts(limited, c, config.Contracts, book); err != nil {
		return err
	}
	if config.Serve {
		serve(ctx, c, book)
		return nil
	}
	results, err := runUsers(limited, c, p, book)
	if err != nil {
		return err
	}
	return check(limited, c, p, book, results)
}

// serve prints how to reach the system and waits until the context ends.
func serve(ctx context.Context, c *cluster, book *ledger) {
	fmt.Fprintf(book.out, "\nentries        %s\n", strings.Join(c.bases(), " "))
	fmt.Fprintf(book.out, "operator's key %s\n", c.keyFile())
	for _, customer := range []string{customerRepair, customerWharf} {
		fmt.Fprintf(book.out, "customer key   ik_%s%s\n", customer, keySuffix)
	}
	fmt.Fprintln(book.out, "interrupt to stop")
	<-ctx.Done()
}

// applyContracts applies every contract document with the operators' tool. It
// tries again while no entry can take a change.
func applyContracts(ctx context.Context, c *cluster, folder string, book *ledger) error {
	files, err := filepath.Glob(filepath.Join(folder, "*.yaml"))
	if err != nil || len(files) == 0 {
		return fmt.Errorf("no contracts in %s", folder)
	}
	for _, file := range files {
		if err := applyContract(ctx, c, file, book); err != nil {
			return err
		}
	}
	return nil
}

func applyContract(ctx context.Context, c *cluster, file string, book *ledger) error {
	for {
		cmd := exec.CommandContext(ctx, filepath.Join(c.binDir, "ibistrayctl"),
			"--server", strings.Join(c.bases(), ","),
			"--operator-key-file", c.keyFile(),
			"contract", "apply", "--change-id", filepath.Base(file), file)
		output, err := cmd.CombinedOutput()
		text := strings.TrimSpace(string(output))
		if err == nil {
			book.say("%s", text)
			return nil
		}
		select {
		case <-time.After(applyInterval):
		case <-ctx.Done():
			return fmt.Errorf("apply %s: %w: %s", file, err, text)
		}
	}
}

// runUsers runs all programs side by side and kills processes meanwhile.
func runUsers(ctx context.Context, c *cluster, p *probe, book *ledger) ([]result, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	all := users()
	results := make([]result, len(all))
	var wg sync.WaitGroup
	for i, u := range all {
		wg.Go(func() {
			results[i] = u.run(ctx, c.bases(), book)
			if err := results[i].outcome.Err; err != nil {
				cancel(err)
			}
		})
	}
	err := injectFaults(ctx, c, p, book)
	if err != nil {
		cancel(err)
	}
	wg.Wait()
	for _, r := range results {
		err = errors.Join(err, r.outcome.Err)
	}
	return results, err
}

// printProblems prints the last warnings and errors of each process.
func (c *cluster) printProblems(out io.Writer) {
	for _, p := range c.processes() {
		lines := p.lastProblems(logLines)
		if len(lines) == 0 {
			continue
		}
		fmt.Fprintf(out, "--- %s\n", p.log)
		for _, line := range lines {
			fmt.Fprintln(out, line)
		}
	}
}
