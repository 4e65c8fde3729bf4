package pathbench

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/internal/shard"
)

func TestCallsOnReplicatedShardsSucceed(t *testing.T) {
	r, err := NewReplicas(t.TempDir(), 2)
	assert.NilError(t, err)
	defer r.Stop()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	d := &shardDriver{replicas: r, load: ShardLoad{Shards: 2}, leaders: make([]atomic.Pointer[replica.Host], 2)}
	assert.NilError(t, d.createContracts(ctx))
	for i := range 4 {
		assert.NilError(t, d.call(ctx, i))
	}
	assert.Assert(t, r.SumCounter(metricSyncs) > 0)
	assert.Assert(t, r.BytesSent.Load() > 0)
}

func TestRefusedCommandIsNotRetried(t *testing.T) {
	r, err := NewReplicas(t.TempDir(), 1)
	assert.NilError(t, err)
	defer r.Stop()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	d := &shardDriver{replicas: r, load: ShardLoad{Shards: 1}, leaders: make([]atomic.Pointer[replica.Host], 1)}
	assert.ErrorIs(t, d.call(ctx, 0), errRefused) // the customer has no contract
}

func TestMakeCallsSeparatesErrorsFromSamples(t *testing.T) {
	odd := errors.New("odd")
	samples, _, errs := MakeCalls(10, 3, func(i int) (Sample, error) {
		if i%2 == 1 {
			return Sample{}, odd
		}
		return Sample{Chunks: i}, nil
	})
	assert.Equal(t, len(samples), 5)
	assert.Equal(t, len(errs), 5)
}

func TestQuantiles(t *testing.T) {
	values := make([]time.Duration, 100)
	for i := range values {
		values[i] = time.Duration(100 - i)
	}
	assert.Equal(t, quantiles(values), Quantiles{P50: 51, P99: 100})
	assert.Equal(t, quantiles(nil), Quantiles{})
}

func TestParseMetricLine(t *testing.T) {
	name, value, ok := parseMetricLine("ibistray_refusals_total{reason=\"full up\"} 3\n")
	assert.Assert(t, ok)
	assert.Equal(t, name, "ibistray_refusals_total")
	assert.Equal(t, value, 3.0)
	_, _, ok = parseMetricLine("# HELP x y")
	assert.Assert(t, !ok)
}

func TestRecentBodiesKeepsTheNewestBodies(t *testing.T) {
	r := NewRecentBodies()
	for id := uint64(1); id <= maxRecentBodies+1; id++ {
		assert.NilError(t, r.Put(id, []byte{byte(id)}))
	}
	_, err := r.Get(1)
	assert.ErrorIs(t, err, shard.ErrNoBody)
	body, err := r.Get(2)
	assert.NilError(t, err)
	assert.DeepEqual(t, body, []byte{2})
}

func TestUsageOfRunningProcess(t *testing.T) {
	p, err := startProcess(t.TempDir(), "sleep", "/bin/sleep", []string{"60"})
	assert.NilError(t, err)
	defer p.Kill()
	u, err := p.Usage()
	assert.NilError(t, err)
	assert.Assert(t, u.PeakResidentBytes >= u.ResidentBytes)
}
