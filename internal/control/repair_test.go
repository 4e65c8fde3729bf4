package control

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/raft"
	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/proto/raftpb"
)

func groupStatus(self uint64, members ...*raftpb.Member) replica.GroupStatus {
	return replica.GroupStatus{
		Active: true,
		Status: raft.Status{ID: self, Membership: &raftpb.Membership{Members: members}},
	}
}

func TestReplicaWaitsUntilItReplacesItsPredecessor(t *testing.T) {
	one := &raftpb.Member{Id: 1, Address: "a:1"}
	two := &raftpb.Member{Id: 2, Address: "b:1"}
	lost := &raftpb.Member{Id: 3, Address: "c:1"}
	tests := map[string]struct {
		address string
		status  replica.GroupStatus
		waits   bool
	}{
		"first member":                       {"c:1", groupStatus(3, one, two, lost), false},
		"lost disk, not added":               {"c:1", groupStatus(77, one, two, lost), true},
		"lost disk, learner":                 {"c:1", groupStatus(77, one, two, lost, &raftpb.Member{Id: 77, Address: "c:1", Learner: true}), true},
		"lost disk, voter, old one remains":  {"c:1", groupStatus(77, one, two, lost, &raftpb.Member{Id: 77, Address: "c:1"}), true},
		"lost disk, replaced":                {"c:1", groupStatus(77, one, two, &raftpb.Member{Id: 77, Address: "c:1"}), false},
		"other address, old one remains":     {"d:1", groupStatus(77, one, two, lost, &raftpb.Member{Id: 77, Address: "d:1"}), true},
		"other address, replaced":            {"d:1", groupStatus(77, one, two, &raftpb.Member{Id: 77, Address: "d:1"}), false},
		"members have not confirmed it yet":  {"c:1", replica.GroupStatus{Status: raft.Status{ID: 3}}, false},
		"lost disk, membership is not known": {"c:1", groupStatus(77), true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := &Repairer{cfg: RepairerConfig{Address: test.address, ReplicaID: 3}}
			assert.Equal(t, r.isWaiting(test.status), test.waits)
		})
	}
}

func TestFindPredecessorReturnsOnlyTheOldMember(t *testing.T) {
	lost := &raftpb.Member{Id: 3, Address: "c:1"}
	status := groupStatus(1, &raftpb.Member{Id: 1, Address: "a:1"}, lost, &raftpb.Member{Id: 77, Address: "c:1", Learner: true})
	assert.Equal(t, findPredecessor(status, 77, predecessor{address: "c:1", replicaID: 3}), lost)
	assert.Equal(t, findPredecessor(status, 78, predecessor{address: "d:1", replicaID: 3}), lost)
	// The old replica had replaced one on a lost disk, so its ID differs from the settings.
	assert.Equal(t, findPredecessor(status, 78, predecessor{address: "d:1", oldAddress: "c:1", replicaID: 9}), lost)
	assert.Assert(t, findPredecessor(status, 78, predecessor{address: "d:1", replicaID: 9}) == nil)
}

// leadingHost is a host whose replica leads its only group.
type leadingHost struct {
	status   replica.GroupStatus
	replaced chan uint64
}

func (h *leadingHost) Groups() []uint64 { return []uint64{1} }

func (h *leadingHost) Status(context.Context, uint64) (replica.GroupStatus, error) {
	return h.status, nil
}

func (h *leadingHost) ReplaceMember(_ context.Context, _, oldID uint64, _ *raftpb.Member) error {
	h.replaced <- oldID
	return nil
}

// TestNewReplicaThatLeadsRemovesItsPredecessor guards against a lost replica that stays a member for
// ever: the leader that had added the new one lost its leadership to it before it removed the old one.
func TestNewReplicaThatLeadsRemovesItsPredecessor(t *testing.T) {
	host := &leadingHost{
		status:   groupStatus(77, &raftpb.Member{Id: 1, Address: "a:1"}, &raftpb.Member{Id: 3, Address: "c:1"}, &raftpb.Member{Id: 77, Address: "c:1"}),
		replaced: make(chan uint64, 1),
	}
	host.status.Role = raft.RoleLeader
	r := NewRepairer(RepairerConfig{Address: "c:1", ReplicaID: 3}, hclog.NewNullLogger(), host, nil)
	r.announce(t.Context())
	select {
	case id := <-host.replaced:
		assert.Equal(t, id, uint64(3))
	case <-time.After(5 * time.Second):
		t.Error("the old replica is not removed")
	}
	r.replacements.Wait()
}
