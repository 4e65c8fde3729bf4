package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestQuickRunKeepsItsBounds(t *testing.T) {
	var out bytes.Buffer
	err := run(&out, true, "", "../../KNOWN-RED.txt")
	assert.NilError(t, err, out.String())
}

// TestBurstCollapsesWithoutTheGate shows that the load on the ledger of the wharf is one
// that the gate answers.
func TestBurstCollapsesWithoutTheGate(t *testing.T) {
	load := ledgerLoads()[1]
	without := simulateLedger(load, 1, newFixedSender)
	with := simulateLedger(load, 1, newGatedSender)
	for _, kind := range load.kinds {
		got := without.results[kind.name].share()
		assert.Assert(t, got < minTimely/2, "%s: %.2f in time without", kind.name, got)
		got = with.results[kind.name].share()
		assert.Assert(t, got >= minTimely, "%s: %.2f in time with", kind.name, got)
	}
}

func TestRunsAreDeterministic(t *testing.T) {
	sc := scenario{deploy: hoseRepair(), variant: combined(), load: 1.5, faults: true}
	a, b := simulate(sc, 7), simulate(sc, 7)
	assert.DeepEqual(t, a.latencies, b.latencies)
	assert.Equal(t, a.recomputed, b.recomputed)
	assert.Equal(t, a.vain, b.vain)
	assert.Equal(t, a.retries, b.retries)
}

func TestBrokenBoundFailsUnlessKnown(t *testing.T) {
	name := filepath.Join(t.TempDir(), "known")
	assert.NilError(t, os.WriteFile(name, []byte("# comment\npolicybench a/b: seen 0.5, issue 6\n"), 0o600))
	known, err := readKnownRed(name)
	assert.NilError(t, err)
	checks := []check{{id: "a/b", got: 0.5, limit: 0.4, atMost: true}, {id: "c", got: 1, limit: 1}}
	assert.NilError(t, report(&bytes.Buffer{}, checks, known))
	assert.Assert(t, errors.Is(report(&bytes.Buffer{}, checks, nil), errBroken))
}

// A full batch of equal calls takes the ideal time.
func TestEngineReachesItsIdealRate(t *testing.T) {
	sim := &simulator{}
	spec := hoseRepair().engine
	ended := 0
	e := &engine{sim: sim, spec: spec, speed: 1, done: func(*attempt) { ended++ }}
	for i := range spec.batchLimit {
		e.start(&attempt{seq: uint64(i), call: &call{prompt: 1000, output: 300}}, 0)
	}
	ideal := toDuration(float64(spec.batchLimit) * spec.idealSeconds(1000, 300))
	sim.runUntil(ideal - time.Millisecond)
	assert.Equal(t, ended, 0)
	sim.runUntil(ideal + time.Millisecond)
	assert.Equal(t, ended, spec.batchLimit)
}

func TestCacheEvictsLeastRecentlyUsedAndCountsVainHolds(t *testing.T) {
	sim := &simulator{}
	cache := newPrefixCache(sim, 100)
	var evicted []*client
	cache.evicted = func(c *client) { evicted = append(evicted, c) }
	a, b, c := &client{}, &client{}, &client{}
	for _, cl := range []*client{a, b} {
		cache.acquire(cl, 40)
		cache.finish(cl, true)
	}
	sim.runUntil(10 * time.Second)
	assert.Equal(t, cache.acquire(a, 50), int64(40))
	cache.acquire(c, 60)
	assert.Equal(t, len(evicted), 1)
	assert.Equal(t, evicted[0], b)
	assert.Equal(t, cache.vain, 400.0)
	assert.Equal(t, cache.used, int64(110))
}

func TestJainIndexComparesWithMaxMinParts(t *testing.T) {
	assert.Equal(t, jainIndex([]float64{1, 10}, []float64{1, 4}), 1.0)
	assert.Equal(t, jainIndex([]float64{10, 10}, []float64{4, 0}), 0.5)
	assert.DeepEqual(t, maxMin([]float64{1, 2, 9}, 9), []float64{1, 2, 6})
}
