package raft

import (
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/raftpb"
)

// newElectedSim returns a simulated group of three replicas without faults, and
// the host of its leader.
func newElectedSim(t *testing.T) (*sim, *host) {
	s := newSim(t, 7, 3)
	s.runTicks(40)
	leader := s.leader()
	assert.Assert(t, leader != nil)
	return s, leader
}

// runTicks runs the group for n ticks of the slowest possible host.
func (s *sim) runTicks(n int64) { s.run(s.now + n*maxTickLen) }

func (s *sim) followerOf(leader *host) *host {
	return s.hosts[(leader.slot+1)%len(s.hosts)]
}

func (s *sim) runWrites(n int) {
	for range n {
		if leader := s.leader(); leader != nil {
			s.onHost(leader, leader.epoch, func() { s.write(leader, "k") })
		}
		s.run(s.now + minTickLen/2)
	}
}

func TestPreVoteKeepsTheTermOfTheGroup(t *testing.T) {
	s, leader := newElectedSim(t)
	term := leader.node.term
	s.isolate(s.followerOf(leader))
	s.runTicks(100)
	clear(s.cuts)
	s.runTicks(20)
	assert.Equal(t, s.leader(), leader)
	assert.Equal(t, leader.node.term, term)
}

func TestCheckQuorumEndsTheLeadershipOfAnIsolatedLeader(t *testing.T) {
	s, leader := newElectedSim(t)
	s.isolate(leader)
	assert.NilError(t, leader.node.ReadIndex(99))
	s.runTicks(15)
	assert.Assert(t, leader.node.role != RoleLeader)
	s.runTicks(40)
	assert.Assert(t, s.leader() != nil, "the other replicas must elect a leader")
}

// TestLeaderKeepsItsTermForQuorumTicks guards against a change of leader while lost
// packets are retransmitted: a leader without contact with a quorum for less than
// QuorumTicks remains leader of the same term, but without a lease.
func TestLeaderKeepsItsTermForQuorumTicks(t *testing.T) {
	s := newSimWithQuorumTicks(t, 7, 3, 3*DefaultElectionTicks)
	s.runTicks(40)
	leader := s.leader()
	term := leader.node.term
	// All replicas are isolated, so that no other leader is elected.
	for _, h := range s.hosts {
		s.isolate(h)
	}
	s.runTicks(2 * DefaultElectionTicks)
	assert.Assert(t, !leader.node.LeaseValid())
	assert.Equal(t, leader.node.role, RoleLeader)
	clear(s.cuts)
	s.runTicks(5)
	assert.Equal(t, s.leader(), leader)
	assert.Equal(t, leader.node.term, term)
	s.isolate(leader)
	s.runTicks(4 * DefaultElectionTicks)
	assert.Assert(t, leader.node.role != RoleLeader)
}

func TestPendingReadIsAbortedWithLeadership(t *testing.T) {
	s, leader := newElectedSim(t)
	s.isolate(leader)
	s.runTicks(7)
	assert.Assert(t, !leader.node.LeaseValid(), "the lease must end without contact with a quorum")
	n := leader.node
	assert.Equal(t, n.role, RoleLeader)
	assert.NilError(t, n.ReadIndex(5))
	n.becomeFollower(n.term, 0)
	assert.DeepEqual(t, n.Ready().ReadStates, []ReadState{{Context: 5, Aborted: true}})
	assert.ErrorIs(t, n.ReadIndex(6), ErrNotLeader)
}

func TestLeaseServesReadIndexAtOnce(t *testing.T) {
	s, leader := newElectedSim(t)
	s.runWrites(3)
	s.runTicks(1)
	index, ok := leader.node.LeaseRead()
	assert.Assert(t, ok)
	assert.Equal(t, index, leader.node.log.commit)
	assert.NilError(t, leader.node.ReadIndex(1))
	assert.DeepEqual(t, leader.node.Ready().ReadStates, []ReadState{{Context: 1, Index: index}})
}

func TestLeaderWithAStalledDiskStepsDown(t *testing.T) {
	s, leader := newElectedSim(t)
	leader.diskBusyUntil = s.now + 60*maxTickLen
	s.runWrites(2)
	s.runTicks(40)
	next := s.leader()
	assert.Assert(t, next != nil && next != leader)
}

func TestFollowerCatchesUp(t *testing.T) {
	tests := map[string]struct{ missedWrites, cutTicks int }{
		"from the log":                   {missedWrites: 15, cutTicks: 0},
		"by a snapshot after 600 writes": {missedWrites: 600, cutTicks: 0},
		"by a snapshot, replies cut off": {missedWrites: 600, cutTicks: 20},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, leader := newElectedSim(t)
			f := s.followerOf(leader)
			s.crash(f)
			s.runWrites(test.missedWrites)
			s.start(f)
			s.cuts[[2]int{f.slot, leader.slot}] = test.cutTicks > 0
			s.runTicks(int64(test.cutTicks))
			clear(s.cuts)
			s.runTicks(40)
			assert.Equal(t, s.leader(), leader)
			assert.Equal(t, f.applied, leader.applied)
			assert.Assert(t, leader.applied > uint64(test.missedWrites))
		})
	}
}

func TestReplaceLostDiskThenLoseAnotherHost(t *testing.T) {
	s, leader := newElectedSim(t)
	s.runWrites(30)
	first, second := s.followerOf(leader), s.hosts[(leader.slot+2)%3]
	s.loseDisk(first)
	s.every(repairInterval, s.repair)
	s.runTicks(60)
	assert.Assert(t, s.membershipMatchesHosts(leader.node.membership()))
	assert.Equal(t, leader.node.Status().NextID, uint64(5))
	s.isolate(second)
	before := leader.applied
	s.runWrites(10)
	s.runTicks(5)
	assert.Assert(t, leader.applied >= before+10, "the new replica must count toward the quorum")
}

func TestReplicaRestartedWithoutItsDiskIsMarkedAndGrantsNoVote(t *testing.T) {
	s, leader := newElectedSim(t)
	s.runWrites(5)
	s.runTicks(5)
	f := s.followerOf(leader)
	s.crash(f)
	f.disk = disk{}
	s.start(f)
	s.runWrites(1)
	s.runTicks(10)
	for _, m := range leader.node.Status().Members {
		assert.Equal(t, m.LostState, m.ID == f.id)
	}
	_, _, err := leader.node.ProposeMembership(MembershipChange{Kind: ChangeRemove, Member: &raftpb.Member{Id: s.hosts[(leader.slot+2)%3].id}})
	assert.ErrorIs(t, err, ErrQuorumAtRisk)
	s.crash(leader)
	s.runTicks(60)
	assert.Assert(t, s.leader() == nil, "the empty replica must not vote")
}

func TestTransferLeadership(t *testing.T) {
	s, leader := newElectedSim(t)
	f := s.followerOf(leader)
	assert.ErrorIs(t, leader.node.TransferLeadership(leader.id), ErrInvalidTarget)
	assert.ErrorIs(t, f.node.TransferLeadership(leader.id), ErrNotLeader)
	assert.NilError(t, leader.node.TransferLeadership(f.id))
	_, _, err := leader.node.Propose(nil)
	assert.ErrorIs(t, err, ErrTransferring)
	s.runTicks(5)
	assert.Equal(t, s.leader(), f)
}

func TestFailedTransferRevokesTheLeaseAndStartsANewTerm(t *testing.T) {
	s, leader := newElectedSim(t)
	f, term := s.followerOf(leader), leader.node.term
	s.isolate(f)
	s.onHost(leader, leader.epoch, func() { assert.NilError(t, leader.node.TransferLeadership(f.id)) })
	s.runTicks(2)
	assert.Equal(t, leader.node.role, RoleLeader)
	assert.Assert(t, !leader.node.LeaseValid())
	assert.NilError(t, leader.node.ReadIndex(3))
	s.runTicks(20)
	assert.Equal(t, s.leader(), leader)
	assert.Equal(t, leader.node.term, term+1)
	assert.Assert(t, leader.node.LeaseValid())
}

func TestIdleGroupQuiescesAndWakes(t *testing.T) {
	s, leader := newElectedSim(t)
	s.runTicks(10)
	for _, h := range s.hosts {
		assert.Assert(t, h.node.Quiesced(), "replica %d", h.id)
		assert.Assert(t, !h.node.HasReady())
	}
	assert.Assert(t, !leader.node.LeaseValid())
	assert.NilError(t, leader.node.ReadIndex(1))
	assert.Assert(t, !leader.node.LeaseValid(), "after waking, the lease must wait for a heartbeat round")
	leader.reads[1] = &op{key: "k"}
	s.onHost(leader, leader.epoch, func() {})
	s.runTicks(2)
	assert.Assert(t, leader.reads[1].done)

	s.runTicks(20)
	f := s.followerOf(leader)
	assert.Assert(t, f.node.Quiesced())
	s.crash(leader)
	s.runTicks(30)
	assert.Assert(t, s.leader() != nil, "a suspected failure of the leader's host must wake the followers")
}

// TestRestartedGroupElectsItsLeaderSoon crashes all replicas of a group. Their disks took
// six ticks to read, which count towards the election timeout, and the former leader does
// not wait for a random time on top of it.
func TestRestartedGroupElectsItsLeaderSoon(t *testing.T) {
	const silentTicks = 6
	for seed := range uint64(20) {
		s := newSim(t, seed+1, 3)
		s.runTicks(60)
		former := s.leader()
		assert.Assert(t, former != nil, "seed %d", s.seed)
		s.runWrites(4)
		s.runTicks(5)
		for _, h := range s.hosts {
			s.crash(h)
		}
		s.runTicks(silentTicks)
		for _, h := range s.hosts {
			s.start(h)
		}
		s.runTicks(DefaultElectionTicks)
		assert.Assert(t, s.leader() != nil, "seed %d: no leader %d ticks after the restart", s.seed, DefaultElectionTicks)
	}
}
