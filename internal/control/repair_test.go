package control

import (
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/raft"
	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/proto/raftpb"
)

func statusOf(self uint64, members ...*raftpb.Member) replica.GroupStatus {
	return replica.GroupStatus{
		Active: true,
		Status: raft.Status{ID: self, Membership: &raftpb.Membership{Members: members}},
	}
}

func TestReplicaWaitsUntilItHasTakenThePlace(t *testing.T) {
	one := &raftpb.Member{Id: 1, Address: "a:1"}
	two := &raftpb.Member{Id: 2, Address: "b:1"}
	lost := &raftpb.Member{Id: 3, Address: "c:1"}
	tests := map[string]struct {
		address string
		status  replica.GroupStatus
		waits   bool
	}{
		"first member":                       {"c:1", statusOf(3, one, two, lost), false},
		"lost disk, not added":               {"c:1", statusOf(77, one, two, lost), true},
		"lost disk, learner":                 {"c:1", statusOf(77, one, two, lost, &raftpb.Member{Id: 77, Address: "c:1", Learner: true}), true},
		"lost disk, voter, old one remains":  {"c:1", statusOf(77, one, two, lost, &raftpb.Member{Id: 77, Address: "c:1"}), true},
		"lost disk, replaced":                {"c:1", statusOf(77, one, two, &raftpb.Member{Id: 77, Address: "c:1"}), false},
		"other address, old one remains":     {"d:1", statusOf(77, one, two, lost, &raftpb.Member{Id: 77, Address: "d:1"}), true},
		"other address, replaced":            {"d:1", statusOf(77, one, two, &raftpb.Member{Id: 77, Address: "d:1"}), false},
		"members have not confirmed it yet":  {"c:1", replica.GroupStatus{Status: raft.Status{ID: 3}}, false},
		"lost disk, membership is not known": {"c:1", statusOf(77), true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := &Repairer{cfg: RepairerConfig{Address: test.address, ReplicaID: 3}}
			assert.Equal(t, r.waits(test.status), test.waits)
		})
	}
}

func TestReplacedNamesTheOldMemberOnly(t *testing.T) {
	lost := &raftpb.Member{Id: 3, Address: "c:1"}
	status := statusOf(1, &raftpb.Member{Id: 1, Address: "a:1"}, lost, &raftpb.Member{Id: 77, Address: "c:1", Learner: true})
	assert.Equal(t, replaced(status, 77, place{address: "c:1", replica: 3}), lost)
	assert.Equal(t, replaced(status, 78, place{address: "d:1", replica: 3}), lost)
	// The old one had lost its disk before, so its ID is not that of the settings.
	assert.Equal(t, replaced(status, 78, place{address: "d:1", oldAddress: "c:1", replica: 9}), lost)
	assert.Assert(t, replaced(status, 78, place{address: "d:1", replica: 9}) == nil)
}
