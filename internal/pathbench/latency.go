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
	latencyRounds      = 8
	sequentialCalls    = 100  // calls of a round on each path, one at a time
	concurrentCalls    = 1000 // calls of a round on each path, concurrentInFlight at a time
	concurrentInFlight = 200
	latencyMaxTokens   = 16
	latencyCustomers   = 50
	warmupCalls        = 200
	maxShownErrors     = 3
)

// Quantiles holds the median and the 99th percentile of the latencies of many calls.
type Quantiles struct {
	P50, P99 time.Duration
}

// PathLatency is the result for one path to the engine.
type PathLatency struct {
	FirstOutput, Total Quantiles
	Rate               float64 // successful calls per second
}

// Comparison holds the results for calls through the system and for direct calls of
// an engine, at one number of calls in flight. The rounds of both paths alternate.
type Comparison struct {
	InFlight       int
	Calls          int // on each path, including failed ones
	System, Direct PathLatency
	Errors         int
	FirstErrors    []error // at most maxShownErrors
}

// pathMeasurement accumulates the calls on one path over all rounds.
type pathMeasurement struct {
	samples []Sample
	elapsed time.Duration
	errs    []error
}

// MakeCalls makes n calls, numbered from 1, with up to inFlight at a time. It
// returns the samples of the calls that succeeded, the time that all calls took,
// and the errors of the others.
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

func (m *pathMeasurement) run(n, inFlight int, call func(i int) (Sample, error)) {
	samples, elapsed, errs := MakeCalls(n, inFlight, call)
	m.samples = append(m.samples, samples...)
	m.elapsed += elapsed
	m.errs = append(m.errs, errs...)
}

func (m *pathMeasurement) latency() PathLatency {
	firstOutput := make([]time.Duration, len(m.samples))
	total := make([]time.Duration, len(m.samples))
	for i, s := range m.samples {
		firstOutput[i] = s.FirstOutput
		total[i] = s.Total
	}
	return PathLatency{
		FirstOutput: quantiles(firstOutput),
		Total:       quantiles(total),
		Rate:        float64(len(m.samples)) / m.elapsed.Seconds(),
	}
}

func quantiles(values []time.Duration) Quantiles {
	if len(values) == 0 {
		return Quantiles{}
	}
	slices.Sort(values)
	return Quantiles{P50: values[len(values)/2], P99: values[len(values)*99/100]}
}

// Compare measures calls through the system and direct calls of the engines in
// alternating rounds. It returns an error if all calls of a path fail.
func Compare(c *Cluster, caller *Caller, inFlight, callsPerRound int) (Comparison, error) {
	var system, direct pathMeasurement
	systemCall := func(i int) (Sample, error) {
		entryURL := c.EntryURLs[i%len(c.EntryURLs)]
		return caller.CallNewProgram(entryURL, Customer(i%latencyCustomers), latencyMaxTokens)
	}
	directCall := func(i int) (Sample, error) {
		return caller.CallEngine(c.EngineURLs[i%len(c.EngineURLs)], latencyMaxTokens)
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

		FirstErrors: errs[:min(len(errs), maxShownErrors)],
	}, nil
}

// MeasureLatency starts three processes with the roles entry and control, and three
// engines with sidecars. It compares calls through the system with direct calls at
// 1 and at 200 calls in flight, and prints the results and the resources used.
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
	_, _, errs := MakeCalls(warmupCalls, 10, func(i int) (Sample, error) {
		return caller.CallNewProgram(c.EntryURLs[i%len(c.EntryURLs)], Customer(i%latencyCustomers), latencyMaxTokens)
	})
	if len(errs) > 0 {
		fmt.Fprintf(out, "warm-up: %d of %d calls failed, the first: %v\n", len(errs), warmupCalls, errs[0])
	}
	for _, size := range []struct{ inFlight, calls int }{{1, sequentialCalls}, {concurrentInFlight, concurrentCalls}} {
		if err := measurePath(ctx, c, caller, size.inFlight, size.calls, out); err != nil {
			return err
		}
	}
	return nil
}

func measurePath(ctx context.Context, c *Cluster, caller *Caller, inFlight, calls int, out io.Writer) error {
	before, err := readResourceTotals(ctx, c, caller)
	if err != nil {
		return err
	}
	result, err := Compare(c, caller, inFlight, calls)
	if err != nil {
		return err
	}
	after, err := readResourceTotals(ctx, c, caller)
	if err != nil {
		return err
	}
	printComparison(out, result)
	printResourcesPerCall(out, after.sub(before), result.Calls)
	return nil
}
