package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/load"
	"ibistray.example/ibistray/internal/localcluster"
)

const (
	benchTokens      = 8
	benchConcurrency = "max_concurrent_calls: 2000"
	benchDigits      = 3
)

// BenchmarkPath measures one model call at an engine itself ("direct") and
// through caller, entry, shard, sidecar and engine as separate processes
// ("path"), with 1 and 200 calls in flight. The difference is the latency that
// the system adds.
func BenchmarkPath(b *testing.B) {
	runtime.LockOSThread()
	c := startBenchCluster(b)
	engine := newBenchClient(b, []string{c.Engines[0].URL})
	entries := newBenchClient(b, c.Bases())
	for _, inFlight := range []int{1, 200} {
		b.Run(fmt.Sprintf("direct/%d", inFlight), func(b *testing.B) {
			measure(b, inFlight, engine.Direct)
		})
		b.Run(fmt.Sprintf("path/%d", inFlight), func(b *testing.B) {
			measure(b, inFlight, func(ctx context.Context, call load.ModelCall) error {
				_, err := entries.Model(ctx, call)
				return err
			})
		})
	}
}

// startBenchCluster builds the programs and starts them with fast engines.
func startBenchCluster(b *testing.B) *localcluster.Cluster {
	b.Helper()
	binDir := b.TempDir()
	output, err := exec.Command("go", "build", "-o", binDir, "../../cmd/...").CombinedOutput()
	assert.NilError(b, err, "%s", output)
	c, err := newCluster(binDir, b.TempDir(), tuning{speed: 1000, batchLimit: 512})
	assert.NilError(b, err)
	b.Cleanup(c.Close)
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
	defer cancel()
	assert.NilError(b, c.Start(ctx))
	book := newLedger(io.Discard, time.Now(), nil)
	assert.NilError(b, applyContracts(ctx, c, benchContracts(b), book))
	return c
}

// benchContracts returns a folder with the example contracts, without their
// limit on concurrent calls.
func benchContracts(b *testing.B) string {
	b.Helper()
	folder := b.TempDir()
	files, err := filepath.Glob("../../examples/contracts/*.yaml")
	assert.NilError(b, err)
	for _, file := range files {
		data, err := os.ReadFile(file)
		assert.NilError(b, err)
		lines := strings.Split(string(data), "\n")
		for i, line := range lines {
			if strings.HasPrefix(line, "max_concurrent_calls:") {
				lines[i] = benchConcurrency
			}
		}
		path := filepath.Join(folder, filepath.Base(file))
		assert.NilError(b, os.WriteFile(path, []byte(strings.Join(lines, "\n")), 0o600))
	}
	return folder
}

func newBenchClient(b *testing.B, bases []string) *load.Client {
	b.Helper()
	c, err := load.NewClient(load.ClientConfig{Bases: bases, Key: "ik_" + customerRepair + keySuffix})
	assert.NilError(b, err)
	b.Cleanup(c.Close)
	return c
}

// calls numbers the calls of all measurements.
var calls atomic.Uint64

// measure makes b.N calls, each in a program of its own, with a fixed number in
// flight.
func measure(b *testing.B, inFlight int, send func(context.Context, load.ModelCall) error) {
	latencies := hdrhistogram.New(1, time.Minute.Microseconds(), benchDigits)
	var mu sync.Mutex
	var left atomic.Int64
	left.Store(int64(b.N))
	var wg sync.WaitGroup
	b.ResetTimer()
	for range inFlight {
		wg.Go(func() {
			for left.Add(-1) >= 0 {
				call := benchCall(calls.Add(1))
				began := time.Now()
				if err := send(context.Background(), call); err != nil {
					b.Errorf("call %s: %v", call.Call, err)
					return
				}
				mu.Lock()
				_ = latencies.RecordValue(time.Since(began).Microseconds())
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	b.ReportMetric(float64(latencies.ValueAtPercentile(50))/1000, "p50-ms")
	b.ReportMetric(float64(latencies.ValueAtPercentile(99))/1000, "p99-ms")
}

func benchCall(n uint64) load.ModelCall {
	name := fmt.Sprintf("bench-%d", n)
	return load.ModelCall{
		Header:    load.Header{Program: name, Call: name + "-1", Sequence: 1},
		Model:     "quote-70b",
		Messages:  []load.Message{{Role: "user", Content: "which hose fits the boom"}},
		MaxTokens: benchTokens,
	}
}
