package replica

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestSnapshotIsDueInProportionToTheState has states of several sizes: replaying the log after
// a restart must not take much longer than restoring the snapshot.
func TestSnapshotIsDueInProportionToTheState(t *testing.T) {
	opts := &Options{SnapshotEntries: 20_000, SnapshotBytes: 16 << 20, MinSnapshotBytes: 1 << 20}
	cases := map[string]struct {
		progress snapshotProgress
		due      bool
	}{
		"small state, little log":     {snapshotProgress{snapshotBytes: 100, bytes: 1<<20 - 1, applied: 100}, false},
		"small state":                 {snapshotProgress{snapshotBytes: 100, bytes: 1 << 20, applied: 100}, true},
		"state of 8 MB, little log":   {snapshotProgress{snapshotBytes: 8 << 20, bytes: 2<<20 - 1, applied: 100}, false},
		"state of 8 MB":               {snapshotProgress{snapshotBytes: 8 << 20, bytes: 2 << 20, applied: 100}, true},
		"state of 400 MB, little log": {snapshotProgress{snapshotBytes: 400 << 20, bytes: 16<<20 - 1, applied: 100}, false},
		"state of 400 MB":             {snapshotProgress{snapshotBytes: 400 << 20, bytes: 16 << 20, applied: 100}, true},
		"many entries":                {snapshotProgress{snapshotBytes: 8 << 20, applied: 20_000}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, c.progress.due(opts), c.due) })
	}
}
