package ledger

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ibistray.example/ibistray/internal/spill"
	"ibistray.example/ibistray/proto/ledgerpb"
)

func newSpilling(t testing.TB, dir string, memoryBytes, diskBytes int64) (*State, *spill.Store) {
	t.Helper()
	disk := spill.New(dir, diskBytes)
	t.Cleanup(disk.Close)
	return NewSpilling(disk, memoryBytes), disk
}

func snapshotOf(t assert.TestingT, s *State) []byte {
	var snapshot bytes.Buffer
	assert.NilError(t, s.Snapshot(&snapshot))
	return snapshot.Bytes()
}

// TestSpillChangesNoOutcome applies random commands to a state in memory and to one that holds
// most turns on disk, which refuses some of them. Outcomes, chains and snapshots are the same, also
// after one has restored a snapshot of the other, on top of what it held.
func TestSpillChangesNoOutcome(t *testing.T) {
	dir, runs := t.TempDir(), 0
	rapid.Check(t, func(r *rapid.T) {
		runs++
		disk := spill.New(filepath.Join(dir, fmt.Sprint(runs)), rapid.SampledFrom([]int64{200, 1000, 1 << 20}).Draw(r, "disk"))
		defer disk.Close()
		plain, spilling := New(), NewSpilling(disk, rapid.Int64Range(0, 200).Draw(r, "memory"))
		var held []Result
		nowMs := int64(startMs)
		id := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"})
		for range rapid.IntRange(1, 60).Draw(r, "commands") {
			nowMs += rapid.Int64Range(0, 20_000).Draw(r, "time")
			switch rapid.IntRange(0, 9).Draw(r, "kind") {
			case 0:
				snapshot := snapshotOf(r, plain)
				assert.NilError(r, spilling.Restore(bytes.NewReader(snapshot)))
				assert.NilError(r, plain.Restore(bytes.NewReader(snapshot)))
			case 1:
				runtime.GC()
			case 2, 3, 4:
				cmd := begin(id.Draw(r, "call"), "p", rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(r, "previous"), 1, 1000)
				cmd.GetBegin().Limited = false // the order of reservations in a snapshot is random
				want, got := apply(r, plain, nowMs, cmd), apply(r, spilling, nowMs, cmd)
				assert.Equal(r, got.Outcome, want.Outcome)
				held = append(held, want, got)
			default:
				size := rapid.IntRange(0, 60).Draw(r, "size")
				call := id.Draw(r, "call")
				cmd := storeTurn(call, "p", rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(r, "previous"),
					strings.Repeat(call, size), fmt.Sprint(nowMs), 1)
				assert.Equal(r, apply(r, spilling, nowMs, cmd).Outcome, apply(r, plain, nowMs, cmd).Outcome)
			}
			assert.Assert(r, bytes.Equal(snapshotOf(r, spilling), snapshotOf(r, plain)))
			assert.Equal(r, spilling.Stats().Bytes, plain.Stats().Bytes)
			assert.Equal(r, spilling.bodies.memory.Load(), spilling.Stats().Memory)
		}
		for i := 0; i < len(held); i += 2 {
			want, got := held[i].Chain(), held[i+1].Chain()
			assert.Equal(r, got.Size(), want.Size())
			assert.Equal(r, got.Checksum(), want.Checksum())
			assert.Equal(r, string(got.Part(3, 50)), string(want.Part(3, 50)))
			assert.Equal(r, fmt.Sprint(got.Exchanges()), fmt.Sprint(want.Exchanges()))
			assert.NilError(r, got.Err())
		}
	})
}

// TestTurnsOnDiskTakeLittleMemory guards against what a kept turn holds in memory besides its
// input and output.
func TestTurnsOnDiskTakeLittleMemory(t *testing.T) {
	const turns, bytesEach = 20_000, 320
	s, disk := newSpilling(t, t.TempDir(), 0, 1<<30)
	before := liveHeap()
	for n := range turns {
		apply(t, s, startMs, storeTurn(fmt.Sprintf("%016x", n), "", "", "input", "output", 1))
	}
	assert.Equal(t, disk.Stats().Bodies, turns)
	used := (liveHeap() - before) / turns
	t.Logf("%d bytes for each turn", used)
	assert.Assert(t, used <= bytesEach, "%d bytes for each turn", used)
	runtime.KeepAlive(s)
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// TestInstalledSnapshotIsNotHeldTwice guards against a follower that holds its state and the one
// that a snapshot replaces it with, each with all bodies in memory or on disk.
func TestInstalledSnapshotIsNotHeldTwice(t *testing.T) {
	s, disk := newSpilling(t, t.TempDir(), 30_000, 1<<20)
	for n := range 100 {
		apply(t, s, startMs, storeTurn(fmt.Sprint(n), "p", "", strings.Repeat("x", 1000), "", 1))
	}
	snapshot, before := snapshotOf(t, s), disk.Stats()
	assert.NilError(t, s.Restore(bytes.NewReader(snapshot)))
	assert.Equal(t, disk.Stats(), before)
	assert.Equal(t, s.Stats().Memory, int64(30_000))
	assert.ErrorIs(t, s.Restore(bytes.NewReader(snapshot[:len(snapshot)-1])), ErrInvalidSnapshot)
	assert.Equal(t, s.bodies.memory.Load(), int64(30_000))
}

// TestDamagedTurnIsNotServed guards against a damaged file whose content is served or becomes
// part of a snapshot.
func TestDamagedTurnIsNotServed(t *testing.T) {
	dir := t.TempDir()
	s, _ := newSpilling(t, dir, 0, 1<<20)
	apply(t, s, startMs, storeTurn("a", "p", "", "input", "output", 1))
	files, err := filepath.Glob(filepath.Join(dir, "*"))
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(files[0], []byte("inputOUTPUT"), 0o600))
	result := apply(t, s, startMs, begin("b", "p", "a", 1, 10))
	assert.Equal(t, result.Outcome, ledgerpb.Outcome_OUTCOME_OK)
	chain := result.Chain()
	assert.Equal(t, len(chain.Exchanges()), 0)
	assert.ErrorIs(t, chain.Err(), spill.ErrUnreadable)
	chain = result.Chain()
	assert.Equal(t, len(chain.Part(0, 100)), 0)
	assert.ErrorIs(t, chain.Err(), spill.ErrUnreadable)
	assert.ErrorIs(t, s.Snapshot(new(bytes.Buffer)), spill.ErrUnreadable)
}

// TestLargeBodiesAreCounted guards against large bodies on disk that do not count after a restart, or
// after they have expired.
func TestLargeBodiesAreCounted(t *testing.T) {
	s, _ := newSpilling(t, t.TempDir(), 160, 1<<20)
	apply(t, s, startMs, storeTurn("small", "p", "", "input", "", 1))
	apply(t, s, startMs, storeTurn("large", "p", "", "a large input", "", 1))
	assert.Equal(t, s.Stats().Large, int64(13))
	var snapshot bytes.Buffer
	assert.NilError(t, s.Snapshot(&snapshot))
	restored, _ := newSpilling(t, t.TempDir(), 160, 1<<20)
	assert.NilError(t, restored.Restore(&snapshot))
	assert.Equal(t, restored.Stats().Large, int64(13))
	apply(t, restored, startMs+24*3_600_000, begin("later", "q", "", 1, 10))
	assert.Equal(t, restored.Stats().Large, int64(0))
}
