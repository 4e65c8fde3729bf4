package wal_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/wal"
	"ibistray.example/ibistray/internal/wal/waltest"
	"ibistray.example/ibistray/proto/raftpb"
)

const (
	dataDir      = "/data"
	identityPath = "/data/identity"
)

func openLog(t *testing.T, fs wal.FS) (*wal.Log, map[uint64]*wal.GroupState) {
	t.Helper()
	log, groups, err := wal.Open(wal.Options{FS: fs, Dir: dataDir})
	assert.NilError(t, err)
	return log, groups
}

// openError returns the error of opening a log that must be refused.
func openError(t *testing.T, fs wal.FS) error {
	t.Helper()
	log, _, err := wal.Open(wal.Options{FS: fs, Dir: dataDir})
	if err == nil {
		assert.NilError(t, log.Close())
		t.Fatal("Open returned no error")
	}
	return err
}

func closeLog(t *testing.T, log *wal.Log) {
	t.Helper()
	assert.NilError(t, log.Close())
}

func entry(term, index uint64, data string) *raftpb.Entry {
	return &raftpb.Entry{Term: term, Index: index, Data: []byte(data)}
}

// entries returns an update with the entries from index first to last, all of one term.
func entries(group, term, first, last uint64) wal.Update {
	update := wal.Update{Group: group, HardState: &raftpb.HardState{Term: term}}
	for index := first; index <= last; index++ {
		update.Entries = append(update.Entries, entry(term, index, "data"))
	}
	return update
}

func snapshot(group, term, index uint64) wal.Update {
	return wal.Update{Group: group, Snapshot: &raftpb.SnapshotMeta{Term: term, Index: index}}
}

// appendAll appends the updates one after the other.
func appendAll(t *testing.T, log *wal.Log, updates ...wal.Update) {
	t.Helper()
	for _, update := range updates {
		assert.NilError(t, log.Append([]wal.Update{update}))
	}
}

// lastEntryIndex returns the index of the last entry of a group, or 0 if it has none.
func lastEntryIndex(state *wal.GroupState) uint64 {
	if state == nil || len(state.Entries) == 0 {
		return 0
	}
	return state.Entries[len(state.Entries)-1].GetIndex()
}

// lastSegment returns the name of the newest segment.
func lastSegment(t *testing.T, fs *waltest.FS) string {
	t.Helper()
	names := fs.Files(".wal")
	assert.Assert(t, len(names) > 0)
	return names[len(names)-1]
}

func assertCorrupt(t *testing.T, err error) {
	t.Helper()
	assert.ErrorIs(t, err, wal.ErrCorrupt)
	var corrupt *wal.CorruptError
	assert.Assert(t, errors.As(err, &corrupt), "error has no segment and offset: %v", err)
}
