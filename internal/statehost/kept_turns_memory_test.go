package statehost

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	runtimemetrics "runtime/metrics"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/ledger"
	"ibistray.example/ibistray/internal/policy/retention"
	"ibistray.example/ibistray/internal/spill"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/ledgerpb"
)

// liveHeap collects the garbage and returns the bytes in use.
func liveHeap() int64 {
	runtime.GC()
	sample := []runtimemetrics.Sample{{Name: "/gc/heap/live:bytes"}}
	runtimemetrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}

// heapSampler finds the most memory that is in use while data passes through it. The work stands
// still while it collects garbage, so that nothing but objects in use counts.
type heapSampler struct {
	unsampled int
	peak      int64
}

// heapSampleBytes is the data between two samples.
const heapSampleBytes = 2 << 20

func (s *heapSampler) pass(bytes int) {
	if s.unsampled += bytes; s.unsampled >= heapSampleBytes {
		s.unsampled = 0
		s.peak = max(s.peak, liveHeap())
	}
}

// sampledReader samples the memory as data is read.
type sampledReader struct {
	heapSampler
	reader io.Reader
}

func (r *sampledReader) Read(data []byte) (int, error) {
	n, err := r.reader.Read(data)
	r.pass(n)
	return n, err
}

// sampledFile samples the memory as a file is read or written.
type sampledFile struct {
	heapSampler
	file *os.File
}

func (f *sampledFile) Read(data []byte) (int, error) {
	n, err := f.file.Read(data)
	f.pass(n)
	return n, err
}

func (f *sampledFile) Write(data []byte) (int, error) {
	f.pass(len(data))
	return f.file.Write(data)
}

// startLimitedHost starts the only state host of a cluster on a disk, with limits.
func startLimitedHost(t *testing.T, dir string, memoryBytes, diskBytes int64, onFailure func(error)) *Host {
	t.Helper()
	pool := transport.NewPool(transport.DialTCPTimeout(10 * time.Millisecond))
	t.Cleanup(pool.Close)
	h, err := New(Config{
		Name: "host-a", Address: "a", FailureDomain: "domain-a", DataDir: dir, Seeds: func() []string { return []string{"a"} },
		DecodeRoutes: decodeVersion, HeartbeatInterval: time.Second, Bootstrap: true,
		MemoryBytes: memoryBytes, DiskBytes: diskBytes,
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
	snapshot, err := os.Create(filepath.Join(t.TempDir(), "snapshot"))
	assert.NilError(t, err)
	defer snapshot.Close()
	peaks := make(map[string]int64)
	h := startLimitedHost(t, t.TempDir(), limit, 8*limit, func(err error) { t.Error(err) })
	var keeping heapSampler
	for n := range kept / turnBytes {
		cmd, err := proto.Marshal(keptTurn(n, turnBytes))
		assert.NilError(t, err)
		h.ledger.Apply(uint64(n), cmd)
		keeping.pass(turnBytes)
	}
	peaks["keeping"] = keeping.peak
	writing := &sampledFile{file: snapshot}
	assert.NilError(t, h.ledger.Snapshot(writing))
	peaks["writing"] = writing.peak
	restore := func() int64 {
		_, err := snapshot.Seek(0, io.SeekStart)
		assert.NilError(t, err)
		reading := &sampledFile{file: snapshot}
		assert.NilError(t, h.ledger.Restore(reading))
		return max(reading.peak, liveHeap())
	}
	peaks["installing"] = restore()
	stopHost(t, h)
	h = startLimitedHost(t, t.TempDir(), limit, 8*limit, func(err error) { t.Error(err) })
	defer stopHost(t, h)
	peaks["restoring"] = restore()
	assert.Equal(t, h.ledger.Stats().Bytes, int64(kept))
	for phase, peak := range peaks {
		t.Logf("%s: at most %d MB in use", phase, peak>>20)
		assert.Check(t, peak <= limit*2/3, "%s: %d MB in use of %d", phase, peak>>20, limit>>20)
	}
}

// TestSnapshotBeyondTheRoomIsRestored guards against a host that finds a snapshot of more turns than
// it has room for, as an earlier build may leave, and exceeds its memory at each start.
func TestSnapshotBeyondTheRoomIsRestored(t *testing.T) {
	const limit, kept, turnBytes = 48 << 20, 100 << 20, 32 << 10
	h := startLimitedHost(t, t.TempDir(), limit, 4*limit, func(err error) { t.Error(err) })
	defer stopHost(t, h)
	assert.Assert(t, h.room.disk.Load() < kept)
	disk := spill.New(t.TempDir(), 2*kept)
	defer disk.Close()
	source := ledger.NewSpilling(disk, 0)
	for n := range kept / turnBytes {
		data, err := proto.Marshal(keptTurn(n, turnBytes))
		assert.NilError(t, err)
		source.Apply(uint64(n), data)
	}
	reader, writer := io.Pipe()
	go func() { _ = writer.CloseWithError(source.Snapshot(writer)) }()
	sampled := &sampledReader{reader: reader}
	assert.NilError(t, h.ledger.Restore(sampled))
	peak := max(sampled.peak, liveHeap())
	t.Logf("at most %d MB in use", peak>>20)
	assert.Assert(t, peak <= limit*2/3, "%d MB in use of %d", peak>>20, limit>>20)
	assert.Equal(t, h.ledger.Stats().Bytes, int64(kept))
	assert.Equal(t, h.keptResources()[0].Level(), retention.Full)
}
