package wal_test

import (
	"crypto/rand"
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/wal"
	"ibistray.example/ibistray/internal/wal/waltest"
	"ibistray.example/ibistray/proto/raftpb"
)

func TestReopenReturnsState(t *testing.T) {
	fs := waltest.New()
	log, groups := openLog(t, fs)
	assert.Equal(t, len(groups), 0)
	membership := &raftpb.Membership{Members: []*raftpb.Member{{Id: 7}}}
	appendAll(t, log,
		wal.Update{Group: 1, Snapshot: &raftpb.SnapshotMeta{Membership: membership}, Bindings: []wal.Binding{{ReplicaID: 7, DiskID: 9}}},
		entries(1, 1, 1, 5),
		entries(1, 2, 4, 4),
		entries(2, 1, 1, 3),
		wal.Update{Group: 3, HardState: &raftpb.HardState{Term: 8, Vote: 2}},
		wal.Update{Group: 2, Remove: true},
	)
	diskID := log.Identity().DiskID
	closeLog(t, log)

	log, groups = openLog(t, fs)
	defer closeLog(t, log)
	assert.Equal(t, log.Identity().DiskID, diskID)
	assert.Equal(t, len(groups), 2)
	assert.Equal(t, len(groups[1].Entries), 4)
	assert.Equal(t, groups[1].Entries[3].GetTerm(), uint64(2))
	assert.Equal(t, groups[1].Snapshot.GetMembership().GetMembers()[0].GetId(), uint64(7))
	assert.DeepEqual(t, groups[1].Bindings, []wal.Binding{{ReplicaID: 7, DiskID: 9}})
	assert.Equal(t, groups[3].HardState.GetVote(), uint64(2))
}

func TestLogOnOperatingSystemFiles(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	opts := wal.Options{Dir: dir, SegmentSize: 256}
	log, _, err := wal.Open(opts)
	assert.NilError(t, err)
	_, _, err = wal.Open(opts)
	assert.ErrorIs(t, err, wal.ErrLocked)
	appendAll(t, log, entries(1, 1, 1, 20), entries(1, 1, 21, 40))
	closeLog(t, log)

	log, groups, err := wal.Open(opts)
	assert.NilError(t, err)
	defer closeLog(t, log)
	assert.Equal(t, lastEntryIndex(groups[1]), uint64(40))
}

// TestAcknowledgedAppendsSurvivePowerFailure drops all unsynced data after each append.
// The acknowledged entries must still be there.
func TestAcknowledgedAppendsSurvivePowerFailure(t *testing.T) {
	fs := waltest.New()
	log, _ := openLog(t, fs)
	defer func() { closeLog(t, log) }()
	for index := uint64(1); index <= 10; index++ {
		appendAll(t, log, entries(1, 1, index, index))
		after, groups := openLog(t, fs.Crash(waltest.LoseUnsynced))
		assert.Equal(t, lastEntryIndex(groups[1]), index)
		closeLog(t, after)
	}
}

func TestConcurrentAppendsShareSync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := waltest.New()
		log, _ := openLog(t, fs)
		defer closeLog(t, log)
		fs.SetFault(waltest.Fault{SyncDelay: time.Millisecond})
		before := fs.SyncCount()
		var done sync.WaitGroup
		for group := uint64(1); group <= 100; group++ {
			done.Go(func() { appendAll(t, log, entries(group, 1, 1, 1)) })
		}
		done.Wait()
		assert.Assert(t, fs.SyncCount()-before <= 2, "%d syncs for 100 concurrent appends", fs.SyncCount()-before)
	})
}

func TestSegmentsAreRemovedWhenCovered(t *testing.T) {
	fs := waltest.New()
	log, _, err := wal.Open(wal.Options{FS: fs, Dir: dataDir, SegmentSize: 512})
	assert.NilError(t, err)
	appendAll(t, log, entries(2, 1, 1, 1))
	for index := uint64(1); index <= 100; index++ {
		appendAll(t, log, entries(1, 1, index, index))
	}
	segmentsBefore := len(fs.Files(".wal"))
	assert.Assert(t, segmentsBefore > 5)
	appendAll(t, log, snapshot(1, 1, 90))
	assert.Equal(t, len(fs.Files(".wal")), segmentsBefore)
	assert.DeepEqual(t, log.GroupsRetainingSegments(2), []uint64{2})
	appendAll(t, log, snapshot(2, 1, 1))
	assert.Assert(t, len(fs.Files(".wal")) < segmentsBefore/2)
	assert.Equal(t, len(log.GroupsRetainingSegments(segmentsBefore)), 0)
	closeLog(t, log)

	log, groups := openLog(t, fs)
	defer closeLog(t, log)
	assert.Equal(t, groups[1].Entries[0].GetIndex(), uint64(91))
	assert.Equal(t, lastEntryIndex(groups[1]), uint64(100))
	assert.Equal(t, groups[2].Snapshot.GetIndex(), uint64(1))
	assert.Equal(t, groups[2].HardState.GetTerm(), uint64(1))
}

func TestInstalledSnapshotReplacesEntries(t *testing.T) {
	fs := waltest.New()
	log, _ := openLog(t, fs)
	appendAll(t, log, entries(1, 1, 1, 10), snapshot(1, 3, 8))
	closeLog(t, log)
	log, groups := openLog(t, fs)
	defer closeLog(t, log)
	assert.Equal(t, len(groups[1].Entries), 0)
	assert.Equal(t, groups[1].Snapshot.GetIndex(), uint64(8))
}

func TestFailedSyncStopsLog(t *testing.T) {
	fs := waltest.New()
	failed := make(chan error, 1)
	log, _, err := wal.Open(wal.Options{FS: fs, Dir: dataDir, OnFailure: func(err error) { failed <- err }})
	assert.NilError(t, err)
	defer closeLog(t, log)
	appendAll(t, log, entries(1, 1, 1, 1))

	fs.SetFault(waltest.Fault{FailSync: true})
	err = log.Append([]wal.Update{entries(1, 1, 2, 2)})
	assert.ErrorIs(t, err, wal.ErrFailed)
	assert.ErrorIs(t, err, waltest.ErrSync)
	assert.ErrorIs(t, <-failed, waltest.ErrSync)

	fs.SetFault(waltest.Fault{})
	err = log.Append([]wal.Update{entries(1, 1, 3, 3)})
	assert.ErrorIs(t, err, wal.ErrFailed)
}

func TestFullDiskStopsLogAndKeepsAcknowledgedEntries(t *testing.T) {
	fs := waltest.New()
	log, _ := openLog(t, fs)
	appendAll(t, log, entries(1, 1, 1, 3))
	fs.SetFault(waltest.Fault{NoSpace: true})
	err := log.Append([]wal.Update{entries(1, 1, 4, 4)})
	assert.ErrorIs(t, err, wal.ErrFailed)
	closeLog(t, log)

	fs.SetFault(waltest.Fault{})
	log, groups := openLog(t, fs)
	defer closeLog(t, log)
	assert.Equal(t, lastEntryIndex(groups[1]), uint64(3))
}

// TestFailedOpenHoldsNoRoom fills the disk while a log is opened. A file that stays open after a
// failed attempt keeps its room although the next attempt removes it.
func TestFailedOpenHoldsNoRoom(t *testing.T) {
	fs := waltest.New()
	log, _ := openLog(t, fs)
	appendAll(t, log, entries(1, 1, 1, 3))
	closeLog(t, log)
	open := fs.OpenFiles()
	fs.SetFault(waltest.Fault{FullAfterRename: ".wal"})
	_, _, err := wal.Open(wal.Options{FS: fs, Dir: dataDir})
	assert.ErrorIs(t, err, waltest.ErrNoSpace)
	assert.Equal(t, fs.OpenFiles(), open)
}

// TestTornWriteDoesNotKeepTheDiskFull fills the disk by a write that does not fit. The log must open
// again in the room that this write has taken.
func TestTornWriteDoesNotKeepTheDiskFull(t *testing.T) {
	fs := waltest.New()
	log, _ := openLog(t, fs)
	appendAll(t, log, entries(1, 1, 1, 3))
	used := fs.Used()
	fs.SetFault(waltest.Fault{Capacity: 4 * used})
	large := entry(1, 4, strings.Repeat("x", 4*used))
	assert.ErrorIs(t, log.Append([]wal.Update{{Group: 1, Entries: []*raftpb.Entry{large}}}), waltest.ErrNoSpace)
	closeLog(t, log)
	assert.Equal(t, fs.Used(), used)

	// A process that was killed leaves the torn write.
	name := fs.Files(".wal")[0]
	fs.ModifyFile(name, func(data []byte) []byte { return append(data, make([]byte, 3*used)...) })
	log, groups := openLog(t, fs)
	assert.Equal(t, lastEntryIndex(groups[1]), uint64(3))
	closeLog(t, log)

	log, groups = openLog(t, fs.Crash(waltest.LoseUnsynced))
	defer closeLog(t, log)
	assert.Equal(t, lastEntryIndex(groups[1]), uint64(3))
}

// faultReader injects a fault when it is read for the first time.
type faultReader struct {
	fs    *waltest.FS
	fault waltest.Fault
}

func (r *faultReader) Read(p []byte) (int, error) {
	r.fs.SetFault(r.fault)
	return rand.Read(p)
}

// TestIdentityOfAFailedFirstStartIsDurable fails the first start of a host after the identity has
// its name and before its directory is synced. A power failure after the next start must not
// separate the identity from the log, which then counts as damaged.
func TestIdentityOfAFailedFirstStartIsDurable(t *testing.T) {
	fs := waltest.New()
	random := &faultReader{fs: fs, fault: waltest.Fault{Full: waltest.OpSyncDir}}
	_, _, err := wal.Open(wal.Options{FS: fs, Dir: dataDir, Random: random})
	assert.ErrorIs(t, err, waltest.ErrNoSpace)
	fs.SetFault(waltest.Fault{})
	log, _ := openLog(t, fs)
	appendAll(t, log, entries(1, 1, 1, 3))
	closeLog(t, log)

	log, groups := openLog(t, fs.Crash(waltest.LoseUnsynced))
	defer closeLog(t, log)
	assert.Equal(t, lastEntryIndex(groups[1]), uint64(3))
}

// TestLogIsReadBeforeAFullDiskIsWritten opens a log on a full disk whose owner can make room.
func TestLogIsReadBeforeAFullDiskIsWritten(t *testing.T) {
	fs := waltest.New()
	log, _ := openLog(t, fs)
	appendAll(t, log, entries(1, 1, 1, 3))
	closeLog(t, log)
	fs.SetFault(waltest.Fault{NoSpace: true})
	log, groups, err := wal.Open(wal.Options{FS: fs, Dir: dataDir, BeforeWrite: func(groups map[uint64]*wal.GroupState) error {
		assert.Equal(t, lastEntryIndex(groups[1]), uint64(3))
		fs.SetFault(waltest.Fault{})
		return nil
	}})
	assert.NilError(t, err)
	defer closeLog(t, log)
	assert.Equal(t, lastEntryIndex(groups[1]), uint64(3))
}

func TestAppendAfterClose(t *testing.T) {
	log, _ := openLog(t, waltest.New())
	closeLog(t, log)
	err := log.Append([]wal.Update{entries(1, 1, 1, 1)})
	assert.ErrorIs(t, err, wal.ErrClosed)
}

func TestNewDiskGetsDifferentDiskID(t *testing.T) {
	first, _ := openLog(t, waltest.New())
	defer closeLog(t, first)
	second, _ := openLog(t, waltest.New())
	defer closeLog(t, second)
	assert.Assert(t, first.Identity().DiskID != second.Identity().DiskID)
}

func TestEntriesSurviveRepeatedCrashes(t *testing.T) {
	fs := waltest.New()
	for index := uint64(1); index <= 20; index++ {
		log, groups := openLog(t, fs)
		assert.Equal(t, lastEntryIndex(groups[1]), index-1, fmt.Sprint(index))
		appendAll(t, log, entries(1, 1, index, index))
		closeLog(t, log)
		fs = fs.Crash(waltest.LoseUnsynced)
	}
}
