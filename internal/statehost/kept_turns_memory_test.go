package statehost

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime/debug"
	runtimemetrics "runtime/metrics"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/ledgerpb"
)

// liveHeap returns the bytes that the latest garbage collection found in use.
func liveHeap() int64 {
	sample := []runtimemetrics.Sample{{Name: "/gc/heap/live:bytes"}}
	runtimemetrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}

// peakHeap returns the most that garbage collections find in use while a function runs.
func peakHeap(run func()) (peak int64) {
	var sampler sync.WaitGroup
	stop := make(chan struct{})
	sampler.Go(func() {
		for {
			peak = max(peak, liveHeap())
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
			}
		}
	})
	run()
	close(stop)
	sampler.Wait()
	return peak
}

// startLimitedHost starts the only state host of a cluster on a disk, with limits.
func startLimitedHost(t *testing.T, dir string, memoryBytes int64, onFailure func(error)) *Host {
	t.Helper()
	pool := transport.NewPool(transport.DialTCPTimeout(10 * time.Millisecond))
	t.Cleanup(pool.Close)
	h, err := New(Config{
		Name: "host-a", Address: "a", FailureDomain: "domain-a", DataDir: dir, Seeds: func() []string { return []string{"a"} },
		DecodeRoutes: decodeVersion, HeartbeatInterval: time.Second, Bootstrap: true,
		MemoryBytes: memoryBytes, DiskBytes: 8 * memoryBytes,
	}, hclog.NewNullLogger(), prometheus.NewRegistry(), pool, onFailure)
	assert.NilError(t, err)
	h.Run()
	return h
}

func keptTurn(n, inputBytes int) *ledgerpb.Command {
	return &ledgerpb.Command{Kind: &ledgerpb.Command_Finish{Finish: &ledgerpb.Finish{
		CallId: fmt.Sprint("turn-", n), Program: "p", Keep: true, Input: make([]byte, inputBytes), RetentionMs: 600_000,
	}}}
}

// TestKeptTurnsBeyondTheMemory guards against state hosts that hold all kept turns in memory: they
// exceeded their limit, and again when a restart or a new replica restored a snapshot.
func TestKeptTurnsBeyondTheMemory(t *testing.T) {
	const limit, kept, turnBytes = 48 << 20, 64 << 20, 32 << 10
	defer debug.SetGCPercent(debug.SetGCPercent(30))
	snapshot, err := os.Create(filepath.Join(t.TempDir(), "snapshot"))
	assert.NilError(t, err)
	defer snapshot.Close()
	peaks := make(map[string]int64)
	h := startLimitedHost(t, t.TempDir(), limit, func(err error) { t.Error(err) })
	peaks["keeping"] = peakHeap(func() {
		for n := range kept / turnBytes {
			cmd, err := proto.Marshal(keptTurn(n, turnBytes))
			assert.NilError(t, err)
			h.ledger.Apply(uint64(n), cmd)
		}
	})
	peaks["writing"] = peakHeap(func() { assert.NilError(t, h.ledger.Snapshot(snapshot)) })
	restore := func() {
		_, err := snapshot.Seek(0, io.SeekStart)
		assert.NilError(t, err)
		assert.NilError(t, h.ledger.Restore(snapshot))
	}
	peaks["installing"] = peakHeap(restore)
	stopHost(t, h)
	h = startLimitedHost(t, t.TempDir(), limit, func(err error) { t.Error(err) })
	defer stopHost(t, h)
	peaks["restoring"] = peakHeap(restore)
	assert.Equal(t, h.ledger.Stats().Bytes, int64(kept))
	for phase, peak := range peaks {
		t.Logf("%s: at most %d MB in use", phase, peak>>20)
		assert.Check(t, peak <= limit*2/3, "%s: %d MB in use of %d", phase, peak>>20, limit>>20)
	}
}
