package history

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ibistray.example/ibistray/internal/shard"
	"ibistray.example/ibistray/proto/shardpb"
)

const testSegmentBytes = 200

func openTestStore(t testing.TB, dir string) *Store {
	s, err := open(dir, testSegmentBytes)
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return s
}

func putText(t testing.TB, s *Store, id uint64, text string) {
	t.Helper()
	assert.NilError(t, s.Put(id, []byte(text)))
}

// TestTornWriteIsTruncatedAndLostBodyIsReported truncates the last record of a segment at
// each byte, as a crash during a write does. The store must open, keep the record
// before it, report the lost body and take it again.
func TestTornWriteIsTruncatedAndLostBodyIsReported(t *testing.T) {
	dir := t.TempDir()
	s := openTestStore(t, dir)
	putText(t, s, 1, "first")
	putText(t, s, 2, "second")
	s.Close()
	path := filepath.Join(dir, segmentName(0))
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	for length := headerBytes + len("first"); length < len(data); length++ {
		assert.NilError(t, os.WriteFile(path, data[:length], fileMode))
		torn := openTestStore(t, dir)
		body, err := torn.Get(1)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "first")
		assert.ErrorIs(t, torn.Retain([]uint64{1, 2}), shard.ErrNoBody)
		putText(t, torn, 2, "again")
		torn.Close()
		again, err := openTestStore(t, dir).Get(2)
		assert.NilError(t, err)
		assert.Equal(t, string(again), "again")
	}
}

func TestOpenRejectsCorruptOlderSegment(t *testing.T) {
	dir := t.TempDir()
	s := openTestStore(t, dir)
	for id := range uint64(20) {
		putText(t, s, id, "a body of some length")
	}
	s.Close()
	path := filepath.Join(dir, segmentName(0))
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	data[headerBytes] ^= 1
	assert.NilError(t, os.WriteFile(path, data, fileMode))
	_, err = open(dir, testSegmentBytes)
	assert.ErrorIs(t, err, ErrCorrupt)
}

func TestGetRejectsCorruptBody(t *testing.T) {
	dir := t.TempDir()
	s := openTestStore(t, dir)
	putText(t, s, 1, "body")
	file, err := os.OpenFile(filepath.Join(dir, segmentName(0)), os.O_WRONLY, fileMode)
	assert.NilError(t, err)
	_, err = file.WriteAt([]byte("B"), headerBytes)
	assert.NilError(t, err)
	assert.NilError(t, file.Close())
	_, err = s.Get(1)
	assert.ErrorIs(t, err, ErrCorrupt)
}

func TestCompactReclaimsDiskSpaceOfDroppedBodies(t *testing.T) {
	s := openTestStore(t, t.TempDir())
	for id := range uint64(100) {
		putText(t, s, id, "a body of some length")
	}
	for id := range uint64(95) {
		s.Drop(id)
	}
	before := s.Stats()
	assert.NilError(t, s.Compact())
	after := s.Stats()
	assert.Equal(t, after.Bodies, 5)
	assert.Equal(t, after.LiveBytes, before.LiveBytes)
	assert.Assert(t, after.DiskBytes <= 2*after.LiveBytes+testSegmentBytes, "%v", after)
	paths, err := filepath.Glob(filepath.Join(s.dir, "*"))
	assert.NilError(t, err)
	assert.Equal(t, len(paths), after.Segments)
}

func TestClosedStoreRefusesPutAndGet(t *testing.T) {
	s := openTestStore(t, t.TempDir())
	s.Close()
	assert.ErrorIs(t, s.Put(1, nil), ErrClosed)
	_, err := s.Get(1)
	assert.ErrorIs(t, err, ErrClosed)
}

// TestRandomOperationsMatchMap runs random operations, with reopening and compaction
// among them, and compares the store with a map.
func TestRandomOperationsMatchMap(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		dir, err := os.MkdirTemp(t.TempDir(), "store")
		assert.NilError(rt, err)
		s, err := open(dir, testSegmentBytes)
		assert.NilError(rt, err)
		want := make(map[uint64]string)
		for step := range rapid.IntRange(1, 80).Draw(rt, "steps") {
			id := uint64(rapid.IntRange(1, 12).Draw(rt, "id"))
			switch rapid.IntRange(0, 7).Draw(rt, "operation") {
			case 0, 1, 2:
				want[id] = fmt.Sprintf("body %d %s", step, bytes.Repeat([]byte("x"), step))
				assert.NilError(rt, s.Put(id, []byte(want[id])))
			case 3, 4:
				s.Drop(id)
				delete(want, id)
			case 5:
				assert.NilError(rt, s.Compact())
			case 6:
				assert.NilError(rt, s.Sync())
			case 7:
				s.Close()
				s, err = open(dir, testSegmentBytes)
				assert.NilError(rt, err)
				assert.NilError(rt, s.Retain(slices.Collect(maps.Keys(want))))
			}
			checkBodies(rt, s, want)
		}
		s.Close()
	})
}

func checkBodies(rt *rapid.T, s *Store, want map[uint64]string) {
	assert.Equal(rt, s.Stats().Bodies, len(want))
	var live int64
	for id, text := range want {
		body, err := s.Get(id)
		assert.NilError(rt, err)
		assert.Equal(rt, string(body), text)
		live += headerBytes + int64(len(text))
	}
	assert.Equal(rt, s.Stats().LiveBytes, live)
}

// TestShardRestoresFromLocalAndFullSnapshot restores a shard on a reopened store from a
// local snapshot, which refers to the bodies on disk, and on another store from a full
// snapshot, which contains them.
func TestShardRestoresFromLocalAndFullSnapshot(t *testing.T) {
	dir := t.TempDir()
	s := openTestStore(t, dir)
	state := shard.New(s)
	beginCall(t, state, 2)
	var local, full bytes.Buffer
	assert.NilError(t, state.SnapshotLocal(&local))
	assert.NilError(t, state.Snapshot(&full))
	beginCall(t, state, 3)
	s.Close()

	reopened := openTestStore(t, dir)
	restored := shard.New(reopened)
	assert.NilError(t, restored.Restore(bytes.NewReader(local.Bytes())))
	assert.Equal(t, reopened.Stats().Bodies, 1)
	var again bytes.Buffer
	assert.NilError(t, restored.Snapshot(&again))
	assert.DeepEqual(t, again.Bytes(), full.Bytes())

	peer := openTestStore(t, t.TempDir())
	putText(t, peer, 99, "of an earlier state")
	assert.NilError(t, shard.New(peer).Restore(&full))
	assert.Equal(t, peer.Stats().Bodies, 1)
	assert.Equal(t, peer.Stats().DiskBytes, peer.Stats().LiveBytes)
}

// beginCall applies a contract and begins the first call of a program.
func beginCall(t testing.TB, state *shard.State, index uint64) {
	t.Helper()
	hash := bytes.Repeat([]byte{7}, 32)
	contract := &shardpb.Contract{
		Customer: "a", Budget: &shardpb.Budget{Tokens: 1000}, EngineSharePermille: 1, MaxConcurrentCalls: 9, MaxTurns: 9,
		MaxProgramTokens: 1000, ProgramIdleMs: 1000, Models: []string{"m"}, KeyHashes: [][]byte{hash}, HomeRegion: "r",
	}
	call := &shardpb.Begin{
		Key:     &shardpb.CallKey{Customer: "a", Program: fmt.Sprint("p", index), Call: "c"},
		KeyHash: hash, Kind: shardpb.CallKind_CALL_KIND_MODEL, Model: "m", Fingerprint: hash, Body: []byte("[]"),
	}
	for _, cmd := range []*shardpb.Command{
		{Op: &shardpb.Command_ApplyContract{ApplyContract: &shardpb.ApplyContract{Contract: contract, ChangeId: "x"}}},
		{Op: &shardpb.Command_Begin{Begin: call}},
	} {
		data, err := proto.Marshal(cmd)
		assert.NilError(t, err)
		result := state.Apply(index, data).(*shardpb.Result)
		assert.Assert(t, result.GetRefusal() == nil, "%v", result)
	}
}

// BenchmarkIndexMemory reports the index memory per body.
func BenchmarkIndexMemory(b *testing.B) {
	const bodies = 200_000
	for range b.N {
		s := &Store{index: make(map[uint64]location), segments: map[uint32]*segment{0: {}}}
		before := heapBytes()
		for id := range uint64(bodies) {
			s.setLocation(id, location{})
		}
		b.ReportMetric(float64(heapBytes()-before)/bodies, "B/body")
		runtime.KeepAlive(s)
	}
}

// BenchmarkPut measures Put of a 4 KiB body without a sync.
func BenchmarkPut(b *testing.B) {
	s, err := Open(b.TempDir())
	assert.NilError(b, err)
	defer s.Close()
	body := make([]byte, 4096)
	b.SetBytes(int64(len(body)))
	for i := range b.N {
		assert.NilError(b, s.Put(uint64(i), body)) // i is not negative
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
