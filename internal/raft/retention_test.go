package raft

import (
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/raftpb"
)

// TestRetainedEntriesAreLimitedByBytes guards against large entries that fill the memory of all
// members, since only their number is limited.
func TestRetainedEntriesAreLimitedByBytes(t *testing.T) {
	cases := map[string]struct {
		retention Retention
		want      uint64 // first entry that is left, of five with 100 bytes each up to the snapshot
	}{
		"none":                 {Retention{}, 6},
		"by number":            {Retention{Entries: 2, Bytes: 1000}, 4},
		"by bytes":             {Retention{Entries: 5, Bytes: 250}, 4},
		"exactly":              {Retention{Entries: 5, Bytes: 300}, 3},
		"less than an entry":   {Retention{Entries: 5, Bytes: 99}, 6},
		"more than there are":  {Retention{Entries: 9, Bytes: 1000}, 1},
		"bytes without number": {Retention{Bytes: 1000}, 6},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var entries []*raftpb.Entry
			for index := range uint64(7) {
				entries = append(entries, &raftpb.Entry{Index: index + 1, Term: 1, Data: make([]byte, 100)})
			}
			l := newEntryLog(&raftpb.SnapshotMeta{}, entries)
			l.compact(l.lastOutside(5, c.retention))
			assert.Equal(t, l.first(), c.want)
			assert.Equal(t, l.last(), uint64(7))
		})
	}
}
