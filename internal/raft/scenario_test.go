package raft

import (
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/raftpb"
)

// elected returns a group without faults and its first leader.
func elected(t *testing.T) (*sim, *host) {
	s := newSim(t, 7, 3)
	s.ticks(40)
	leader := s.leader()
	assert.Assert(t, leader != nil)
	return s, leader
}

// ticks runs the group for some ticks of the slowest host.
func (s *sim) ticks(n int64) { s.run(s.now + n*maxTickLen) }

func (s *sim) follower(leader *host) *host {
	return s.hosts[(leader.slot+1)%len(s.hosts)]
}

func (s *sim) writes(n int) {
	for range n {
		if leader := s.leader(); leader != nil {
			s.onHost(leader, leader.epoch, func() { s.write(leader, "k") })
		}
		s.run(s.now + minTickLen/2)
	}
}

func TestPreVoteKeepsTheTermOfTheGroup(t *testing.T) {
	s, leader := elected(t)
	term := leader.node.term
	s.isolate(s.follower(leader))
	s.ticks(100)
	clear(s.cuts)
	s.ticks(20)
	assert.Equal(t, s.leader(), leader)
	assert.Equal(t, leader.node.term, term)
}

func TestCheckQuorumEndsTheLeadershipOfAnIsolatedLeader(t *testing.T) {
	s, leader := elected(t)
	s.isolate(leader)
	assert.NilError(t, leader.node.ReadIndex(99))
	s.ticks(15)
	assert.Assert(t, leader.node.role != RoleLeader)
	s.ticks(40)
	assert.Assert(t, s.leader() != nil, "the others elect a leader")
}

// TestPatientLeaderOutlastsLostPackets cuts a leader off for as long as packets take
// that are sent again: it goes on leading in the same term, without a lease meanwhile.
func TestPatientLeaderOutlastsLostPackets(t *testing.T) {
	s := newPatientSim(t, 7, 3, 3*DefaultElectionTicks)
	s.ticks(40)
	leader := s.leader()
	term := leader.node.term
	// The others hear each other no more than the leader, so nobody is elected.
	for _, h := range s.hosts {
		s.isolate(h)
	}
	s.ticks(2 * DefaultElectionTicks)
	assert.Assert(t, !leader.node.LeaseValid())
	assert.Equal(t, leader.node.role, RoleLeader)
	clear(s.cuts)
	s.ticks(5)
	assert.Equal(t, s.leader(), leader)
	assert.Equal(t, leader.node.term, term)
	s.isolate(leader)
	s.ticks(4 * DefaultElectionTicks)
	assert.Assert(t, leader.node.role != RoleLeader)
}

func TestPendingReadIsAbortedWithLeadership(t *testing.T) {
	s, leader := elected(t)
	s.isolate(leader)
	s.ticks(7)
	assert.Assert(t, !leader.node.LeaseValid(), "the lease outlives the contact to a quorum")
	n := leader.node
	assert.Equal(t, n.role, RoleLeader)
	assert.NilError(t, n.ReadIndex(5))
	n.becomeFollower(n.term, 0)
	assert.DeepEqual(t, n.Ready().ReadStates, []ReadState{{Context: 5, Aborted: true}})
	assert.ErrorIs(t, n.ReadIndex(6), ErrNotLeader)
}

func TestLeaseServesReadIndexAtOnce(t *testing.T) {
	s, leader := elected(t)
	s.writes(3)
	s.ticks(1)
	index, ok := leader.node.LeaseRead()
	assert.Assert(t, ok)
	assert.Equal(t, index, leader.node.log.commit)
	assert.NilError(t, leader.node.ReadIndex(1))
	assert.DeepEqual(t, leader.node.Ready().ReadStates, []ReadState{{Context: 1, Index: index}})
}

func TestLeaderWithAStuckDiskResigns(t *testing.T) {
	s, leader := elected(t)
	leader.diskBusy = s.now + 60*maxTickLen
	s.writes(2)
	s.ticks(40)
	next := s.leader()
	assert.Assert(t, next != nil && next != leader)
}

func TestCatchUp(t *testing.T) {
	tests := map[string]struct{ missed, cut int }{
		"from the log":                   {missed: 15, cut: 0},
		"by a snapshot after 600 writes": {missed: 600, cut: 0},
		"by a snapshot, replies cut off": {missed: 600, cut: 20},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, leader := elected(t)
			f := s.follower(leader)
			s.crash(f)
			s.writes(test.missed)
			s.start(f)
			s.cuts[[2]int{f.slot, leader.slot}] = test.cut > 0
			s.ticks(int64(test.cut))
			clear(s.cuts)
			s.ticks(40)
			assert.Equal(t, s.leader(), leader)
			assert.Equal(t, f.applied, leader.applied)
			assert.Assert(t, leader.applied > uint64(test.missed))
		})
	}
}

func TestReplaceLostDiskThenLoseAnotherHost(t *testing.T) {
	s, leader := elected(t)
	s.writes(30)
	first, second := s.follower(leader), s.hosts[(leader.slot+2)%3]
	s.loseDisk(first)
	s.every(adminEvery, s.repair)
	s.ticks(60)
	assert.Assert(t, s.healthy(leader.node.membership()))
	assert.Equal(t, leader.node.Status().NextID, uint64(5))
	s.isolate(second)
	before := leader.applied
	s.writes(10)
	s.ticks(5)
	assert.Assert(t, leader.applied >= before+10, "the new replica counts toward the quorum")
}

func TestReplicaThatLostItsDiskUnderTheOldID(t *testing.T) {
	s, leader := elected(t)
	s.writes(5)
	s.ticks(5)
	f := s.follower(leader)
	s.crash(f)
	f.disk = disk{}
	s.start(f)
	s.writes(1)
	s.ticks(10)
	for _, m := range leader.node.Status().Members {
		assert.Equal(t, m.LostState, m.ID == f.id)
	}
	_, _, err := leader.node.ProposeMembership(MembershipChange{Kind: ChangeRemove, Member: &raftpb.Member{Id: s.hosts[(leader.slot+2)%3].id}})
	assert.ErrorIs(t, err, ErrQuorumAtRisk)
	s.crash(leader)
	s.ticks(60)
	assert.Assert(t, s.leader() == nil, "the empty replica must not vote")
}

func TestTransferLeadership(t *testing.T) {
	s, leader := elected(t)
	f := s.follower(leader)
	assert.ErrorIs(t, leader.node.TransferLeadership(leader.id), ErrInvalidTarget)
	assert.ErrorIs(t, f.node.TransferLeadership(leader.id), ErrNotLeader)
	assert.NilError(t, leader.node.TransferLeadership(f.id))
	_, _, err := leader.node.Propose(nil)
	assert.ErrorIs(t, err, ErrTransferring)
	s.ticks(5)
	assert.Equal(t, s.leader(), f)
}

func TestFailedTransferGivesUpTheLeaseAndTheTerm(t *testing.T) {
	s, leader := elected(t)
	f, term := s.follower(leader), leader.node.term
	s.isolate(f)
	s.onHost(leader, leader.epoch, func() { assert.NilError(t, leader.node.TransferLeadership(f.id)) })
	s.ticks(2)
	assert.Equal(t, leader.node.role, RoleLeader)
	assert.Assert(t, !leader.node.LeaseValid())
	assert.NilError(t, leader.node.ReadIndex(3))
	s.ticks(20)
	assert.Equal(t, s.leader(), leader)
	assert.Equal(t, leader.node.term, term+1)
	assert.Assert(t, leader.node.LeaseValid())
}

func TestQuiesce(t *testing.T) {
	s, leader := elected(t)
	s.ticks(10)
	for _, h := range s.hosts {
		assert.Assert(t, h.node.Quiesced(), "replica %d", h.id)
		assert.Assert(t, !h.node.HasReady())
	}
	assert.Assert(t, !leader.node.LeaseValid())
	assert.NilError(t, leader.node.ReadIndex(1))
	assert.Assert(t, !leader.node.LeaseValid(), "the lease needs a round after waking")
	leader.reads[1] = &op{key: "k"}
	s.onHost(leader, leader.epoch, func() {})
	s.ticks(2)
	assert.Assert(t, leader.reads[1].done)

	s.ticks(20)
	f := s.follower(leader)
	assert.Assert(t, f.node.Quiesced())
	s.crash(leader)
	s.ticks(30)
	assert.Assert(t, s.leader() != nil, "suspicion of the host wakes the followers")
}
