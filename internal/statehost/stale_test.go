package statehost

import (
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/raftpb"
)

// TestReplicaIsStaleOnlyAfterACommittedRemoval guards against a voter that empties its replica
// because of a removal which is not committed: if the next leader does not know of it, the voter
// has forgotten what it had acknowledged.
func TestReplicaIsStaleOnlyAfterACommittedRemoval(t *testing.T) {
	with := &raftpb.Membership{Members: []*raftpb.Member{{Id: 1}, {Id: 2}, {Id: 3}}, LastId: 3}
	without := &raftpb.Membership{Members: []*raftpb.Member{{Id: 1}, {Id: 2}}, LastId: 3}
	added := &raftpb.Membership{Members: []*raftpb.Member{{Id: 1}, {Id: 2}, {Id: 4, Learner: true}}, LastId: 4}
	cases := map[string]struct {
		committed, latest *raftpb.Membership
		id                uint64
		stale             bool
	}{
		"member":                         {with, with, 3, false},
		"removal that is not committed":  {with, without, 3, false},
		"committed removal":              {without, without, 3, true},
		"addition that is not committed": {without, added, 4, false},
		"ID of a later replica":          {without, without, 4, false},
		"nothing committed is known":     {nil, without, 3, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, isStale(c.committed, c.latest, c.id), c.stale) })
	}
}
