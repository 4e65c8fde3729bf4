package pathbench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Settings of the latency benchmark.
const (
	latencyRounds    = 8
	callsAlone       = 100 // of a round with one call in flight, each way
	callsTogether    = 1000
	inFlightTogether = 200
	latencyTokens    = 16
	latencyCustomers = 50
	warmCalls        = 200
	shownErrors      = 3
)

// Quantiles are latencies of many calls.
type Quantiles struct {
	P50, P99 time.Duration
}

// PathLatency is the latency of one way to the engine.
type PathLatency struct {
	FirstOutput, Total Quantiles
	Rate               float64 // calls a second
}

// Comparison is the path through the system beside the direct one, at one number
// of calls in flight. Both were measured in turns within one run.
type Comparison struct {
	InFlight       int
	Calls          int // each way
	System, Direct PathLatency
	Errors         int
	FirstErrors    []error
}

// batch is the calls of one way, over all rounds.
type batch struct {
	samples []Sample
	elapsed time.Duration
	errs    []error
}

// MakeCalls makes n calls with a number in flight and returns what succeeded.
func MakeCalls(n, inFlight int, call func(i int) (Sample, error)) (samples []Sample, elapsed time.Duration, errs []error) {
	var next atomic.Int64
	var mu sync.Mutex
	var workers sync.WaitGroup
	start := time.Now()
	for range inFlight {
		workers.Go(func() {
			for i := int(next.Add(1)); i <= n; i = int(next.Add(1)) {
				s, err := call(i)
				mu.Lock()
				if err != nil {
					errs = append(errs, err)
				} else {
					samples = append(samples, s)
				}
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	return samples, time.Since(start), errs
}

func (b *batch) run(n, inFlight int, call func(i int) (Sample, error)) {
	samples, elapsed, errs := MakeCalls(n, inFlight, call)
	b.samples = append(b.samples, samples...)
	b.elapsed += elapsed
	b.errs = append(b.errs, errs...)
}

func (b *batch) latency() PathLatency {
	first := make([]time.Duration, len(b.samples))
	whole := make([]time.Duration, len(b.samples))
	for i, s := range b.samples {
		first[i] = s.FirstOutput
		whole[i] = s.Total
	}
	return PathLatency{
		FirstOutput: quantiles(first),
		Total:       quantiles(whole),
		Rate:        float64(len(b.samples)) / b.elapsed.Seconds(),
	}
}

func quantiles(values []time.Duration) Quantiles {
	if len(values) == 0 {
		return Quantiles{}
	}
	slices.Sort(values)
	return Quantiles{P50: values[len(values)/2], P99: values[len(values)*99/100]}
}

// Compare measures both ways in turns.
func Compare(c *Cluster, caller *Caller, inFlight, callsPerRound int) (Comparison, error) {
	var system, direct batch
	systemCall := func(i int) (Sample, error) {
		entry := c.EntryURLs[i%len(c.EntryURLs)]
		return caller.CallNewProgram(entry, Customer(i%latencyCustomers), latencyTokens)
	}
	directCall := func(i int) (Sample, error) {
		return caller.CallEngine(c.EngineURLs[i%len(c.EngineURLs)], latencyTokens)
	}
	for range latencyRounds {
		direct.run(callsPerRound, inFlight, directCall)
		system.run(callsPerRound, inFlight, systemCall)
	}
	errs := append(system.errs, direct.errs...)
	if len(system.samples) == 0 || len(direct.samples) == 0 {
		return Comparison{}, errors.Join(errs...)
	}
	return Comparison{
		InFlight: inFlight,
		Calls:    callsPerRound * latencyRounds,
		System:   system.latency(),
		Direct:   direct.latency(),
		Errors:   len(errs),

		FirstErrors: errs[:min(len(errs), shownErrors)],
	}, nil
}

// MeasureLatency starts three entry and control processes and three engines with
// sidecars, and compares both ways at 1 and at 200 calls in flight.
func MeasureLatency(ctx context.Context, binDir, dir string, out io.Writer) error {
	c, err := Start(ctx, Layout{BinDir: binDir, Dir: dir, Control: 3, Engines: 3, Shards: 16})
	if err != nil {
		return err
	}
	defer c.Stop()
	caller, err := NewCaller()
	if err != nil {
		return err
	}
	for i := range latencyCustomers {
		if err := caller.ApplyContract(ctx, c.EntryURLs[0], Customer(i)); err != nil {
			return err
		}
	}
	_, _, errs := MakeCalls(warmCalls, 10, func(i int) (Sample, error) {
		return caller.CallNewProgram(c.EntryURLs[i%len(c.EntryURLs)], Customer(i%latencyCustomers), latencyTokens)
	})
	if len(errs) > 0 {
		fmt.Fprintf(out, "warm-up: %d of %d calls failed, the first: %v\n", len(errs), warmCalls, errs[0])
	}
	for _, size := range []struct{ inFlight, calls int }{{1, callsAlone}, {inFlightTogether, callsTogether}} {
		if err := measurePath(ctx, c, caller, size.inFlight, size.calls, out); err != nil {
			return err
		}
	}
	return nil
}

func measurePath(ctx context.Context, c *Cluster, caller *Caller, inFlight, calls int, out io.Writer) error {
	before, err := readCost(ctx, c, caller)
	if err != nil {
		return err
	}
	result, err := Compare(c, caller, inFlight, calls)
	if err != nil {
		return err
	}
	after, err := readCost(ctx, c, caller)
	if err != nil {
		return err
	}
	printComparison(out, result)
	printCost(out, after.sub(before), result.Calls)
	return nil
}
