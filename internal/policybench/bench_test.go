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

func TestQuickRunMeetsBounds(t *testing.T) {
	var out bytes.Buffer
	err := run(&out, true, "", "../../KNOWN-RED.txt")
	assert.NilError(t, err, out.String())
}

// TestGateKeepsProgramsOnTimeInABurst checks that the burst on the program ledger of the
// wharf needs the gate: without it, less than half of the required share of programs is
// in time. With it, the share is reached.
func TestGateKeepsProgramsOnTimeInABurst(t *testing.T) {
	load := ledgerLoads()[1]
	withoutGate := simulateLedger(load, 1, newFixedSender)
	withGate := simulateLedger(load, 1, newGatedSender)
	for _, kind := range load.kinds {
		share := withoutGate.results[kind.name].onTimeShare()
		assert.Assert(t, share < minOnTimeShare/2, "%s: share in time without the gate: %.2f", kind.name, share)
		share = withGate.results[kind.name].onTimeShare()
		assert.Assert(t, share >= minOnTimeShare, "%s: share in time with the gate: %.2f", kind.name, share)
	}
}

func TestEqualSeedsGiveEqualResults(t *testing.T) {
	sc := scenario{deployment: hoseRepair(), variant: combined(), load: 1.5, faults: true}
	a, b := simulate(sc, 7), simulate(sc, 7)
	assert.DeepEqual(t, a.latencies, b.latencies)
	assert.Equal(t, a.recomputedTokens, b.recomputedTokens)
	assert.Equal(t, a.unusedTokenSeconds, b.unusedTokenSeconds)
	assert.Equal(t, a.retries, b.retries)
}

func TestViolatedBoundFailsUnlessKnown(t *testing.T) {
	path := filepath.Join(t.TempDir(), "known")
	assert.NilError(t, os.WriteFile(path, []byte("# comment\npolicybench a/b: seen 0.5, issue 6\n"), 0o600))
	known, err := readKnownViolations(path)
	assert.NilError(t, err)
	checks := []check{{id: "a/b", measured: 0.5, limit: 0.4, atMost: true}, {id: "c", measured: 1, limit: 1}}
	assert.NilError(t, reportChecks(&bytes.Buffer{}, checks, known))
	assert.Assert(t, errors.Is(reportChecks(&bytes.Buffer{}, checks, nil), errBoundsViolated))
}

// TestFullBatchTakesTheIdealTime checks that a full batch of equal calls ends exactly
// after its ideal engine time.
func TestFullBatchTakesTheIdealTime(t *testing.T) {
	sim := &simulator{}
	spec := hoseRepair().engine
	finished := 0
	e := &engine{sim: sim, spec: spec, speed: 1, onDone: func(*attempt) { finished++ }}
	for i := range spec.batchLimit {
		e.start(&attempt{seq: uint64(i), call: &call{promptTokens: 1000, outputTokens: 300}}, 0)
	}
	ideal := toDuration(float64(spec.batchLimit) * spec.idealSeconds(1000, 300))
	sim.runUntil(ideal - time.Millisecond)
	assert.Equal(t, finished, 0)
	sim.runUntil(ideal + time.Millisecond)
	assert.Equal(t, finished, spec.batchLimit)
}

func TestCacheEvictsLeastRecentlyUsedAndCountsUnusedTime(t *testing.T) {
	sim := &simulator{}
	cache := newPrefixCache(sim, 100)
	var evicted []*client
	cache.onEvict = func(c *client) { evicted = append(evicted, c) }
	a, b, c := &client{}, &client{}, &client{}
	for _, cl := range []*client{a, b} {
		cache.acquire(cl, 40)
		cache.release(cl, true)
	}
	sim.runUntil(10 * time.Second)
	assert.Equal(t, cache.acquire(a, 50), int64(40))
	cache.acquire(c, 60)
	assert.Equal(t, len(evicted), 1)
	assert.Equal(t, evicted[0], b)
	assert.Equal(t, cache.unusedTokenSeconds, 400.0)
	assert.Equal(t, cache.used, int64(110))
}

func TestJainIndexComparesWithMaxMinShares(t *testing.T) {
	assert.Equal(t, jainIndex([]float64{1, 10}, []float64{1, 4}), 1.0)
	assert.Equal(t, jainIndex([]float64{10, 10}, []float64{4, 0}), 0.5)
	assert.DeepEqual(t, maxMinShares([]float64{1, 2, 9}, 9), []float64{1, 2, 6})
}
