package raft

import (
	"errors"
	"flag"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/raftpb"
)

var (
	schedules = flag.Int("schedules", 150, "number of random schedules for each group size")
	firstSeed = flag.Uint64("firstseed", 1, "seed of the first random schedule")
)

// Durations of a schedule, in units of simulated time.
const (
	faultDuration  = 60 * minTickLen // length of the phase with faults
	settleDuration = 80 * maxTickLen // enough to repair the membership and elect a leader
	faultInterval  = 3 * minTickLen
	opInterval     = minTickLen
	clientPhase    = 15 * minTickLen // length of the alternating phases with and without client operations
	repairInterval = 4 * minTickLen
)

func TestRandomSchedules(t *testing.T) {
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprintf("%d replicas", size), func(t *testing.T) {
			leased := 0
			for i := range *schedules {
				leased += runSchedule(newSim(t, *firstSeed+uint64(i), size))
			}
			assert.Assert(t, leased > 0, "no schedule saw a valid lease")
		})
	}
}

// TestRandomSchedulesWithLongQuorumTimeout runs random schedules with leaders that
// remain leader for longer without contact with a quorum. There are then often two
// leaders, of different terms.
func TestRandomSchedulesWithLongQuorumTimeout(t *testing.T) {
	leased := 0
	for i := range *schedules {
		leased += runSchedule(newSimWithQuorumTicks(t, *firstSeed+uint64(i), 3, 3*DefaultElectionTicks))
	}
	assert.Assert(t, leased > 0, "no schedule saw a valid lease")
}

// runSchedule runs one random schedule with faults, then ends all faults and checks
// that the group recovers and that its history is linearizable. It returns the
// number of lease checks that found a valid lease.
func runSchedule(s *sim) int {
	s.lossPercent, s.latePercent = s.rng.IntN(3)*8, s.rng.IntN(3)*2
	s.every(opInterval, s.startClientOp)
	s.every(faultInterval, s.injectFault)
	s.every(repairInterval, s.repair)
	s.run(faultDuration)
	s.heal()
	s.run(faultDuration + settleDuration)
	s.checkSettled()
	if !s.hist.linearizable() {
		s.fail("history of %d operations is not linearizable", len(s.hist.ops))
	}
	return s.check.leaseChecks
}

// TestAtMostOneLeaseIsValid cuts leaders off under the conditions in which two
// leases are most likely to overlap: one follower loses contact with the leader
// first, replies are late, and tick lengths differ between hosts.
func TestAtMostOneLeaseIsValid(t *testing.T) {
	leased := 0
	for i := range 2 * *schedules {
		s := newSim(t, *firstSeed+uint64(i), 3)
		s.latePercent = s.rng.IntN(2) * 30
		s.every(4*opInterval, s.startClientOp)
		for range 3 {
			s.run(s.now + 40*minTickLen)
			leader := s.leader()
			if leader == nil {
				continue
			}
			s.cuts[[2]int{leader.slot, s.followerOf(leader).slot}] = true
			s.run(s.now + s.rng.Int64N(15*minTickLen))
			if s.rng.IntN(3) == 0 {
				s.transferLeadership(s.followerOf(leader))
				s.run(s.now + minTickLen)
			}
			s.isolate(leader)
			for _, h := range s.hosts {
				// In half of the runs, late replies still reach the leader.
				s.cuts[[2]int{h.slot, leader.slot}] = s.seed%4 < 2
			}
			s.run(s.now + 30*minTickLen)
			clear(s.cuts)
		}
		leased += s.check.leaseChecks
		assert.Assert(t, s.hist.linearizable(), "seed %d", s.seed)
	}
	assert.Assert(t, leased > 0, "no schedule saw a valid lease")
}

func (s *sim) every(interval int64, run func()) {
	s.after(1+s.rng.Int64N(2*interval), func() {
		run()
		s.every(interval, run)
	})
}

// startClientOp starts a read or a write on a random host or on the leader's, if
// its replica leads.
func (s *sim) startClientOp() {
	if s.now/clientPhase%2 == int64(s.seed%2) {
		return
	}
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	if leader := s.leader(); leader != nil && s.rng.IntN(3) > 0 {
		h = leader
	}
	if h.node == nil || s.now < h.pausedUntil || h.node.role != RoleLeader {
		return
	}
	key := fmt.Sprintf("k%d", s.rng.IntN(2))
	s.onHost(h, h.epoch, func() {
		if s.rng.IntN(2) == 0 {
			s.write(h, key)
			return
		}
		s.read(h, key)
	})
}

func (s *sim) write(h *host, key string) {
	o := s.hist.begin(s, &op{key: key, value: fmt.Sprint(s.hist.clients), write: true})
	index, term, err := h.node.Propose([]byte(o.key + "=" + o.value))
	if err != nil {
		s.hist.pending = s.hist.pending[:len(s.hist.pending)-1]
		return
	}
	o.term = term
	h.writes[index] = o
}

func (s *sim) read(h *host, key string) {
	o := s.hist.begin(s, &op{key: key})
	context := uint64(o.client)
	if index, ok := h.node.LeaseRead(); ok {
		h.reads[context] = o
		s.serveReads(h, []ReadState{{Context: context, Index: index}})
		return
	}
	if h.node.ReadIndex(context) == nil {
		h.reads[context] = o
	}
}

// serveReads completes the reads whose index is applied and drops aborted ones.
func (s *sim) serveReads(h *host, states []ReadState) {
	waiting := append(h.unservedReads, states...)
	h.unservedReads = nil
	for _, r := range waiting {
		switch {
		case r.Aborted:
			delete(h.reads, r.Context)
		case r.Index > h.applied:
			h.unservedReads = append(h.unservedReads, r)
		default:
			if o := h.reads[r.Context]; o != nil {
				s.hist.finish(s, o, h.kv[o.key])
			}
		}
	}
}

// injectFault injects a random fault, ends network faults or requests a leadership
// transfer.
func (s *sim) injectFault() {
	if s.now >= faultDuration {
		return
	}
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	if leader := s.leader(); leader != nil && s.rng.IntN(2) == 0 {
		h = leader
	}
	other := s.hosts[s.rng.IntN(len(s.hosts))]
	switch s.rng.IntN(13) {
	case 0, 1:
		s.cuts[[2]int{h.slot, other.slot}] = true
	case 2:
		s.cuts[[2]int{h.slot, other.slot}] = true
		s.cuts[[2]int{other.slot, h.slot}] = true
	case 3:
		s.isolate(h)
	case 4, 5:
		clear(s.cuts)
	case 6, 7:
		s.crash(h)
		s.after(s.rng.Int64N(20*minTickLen), func() { s.restart(h) })
	case 8, 9:
		h.pausedUntil = s.now + s.rng.Int64N(25*minTickLen)
	case 10:
		s.loseDisk(h)
	case 11, 12:
		s.transferLeadership(other)
	}
}

// transferLeadership requests a leadership transfer to a host, which may pause
// before the transfer is done.
func (s *sim) transferLeadership(to *host) {
	leader := s.leader()
	if leader == nil {
		return
	}
	target := to.id
	s.onHost(leader, leader.epoch, func() { _ = leader.node.TransferLeadership(target) })
	if to != leader && s.rng.IntN(2) == 0 {
		to.pausedUntil = s.now + s.rng.Int64N(25*minTickLen)
	}
}

func (s *sim) isolate(h *host) {
	for _, other := range s.hosts {
		s.cuts[[2]int{h.slot, other.slot}] = true
		s.cuts[[2]int{other.slot, h.slot}] = true
	}
}

func (s *sim) restart(h *host) {
	if h.node == nil {
		s.start(h)
	}
}

// loseDisk replaces the disk of a host by an empty one and starts a replica under a
// new ID. It does so only if the group can tolerate the loss: all hosts run, and
// the membership of each replica consists of their present replicas, as voters.
func (s *sim) loseDisk(h *host) {
	for _, other := range s.hosts {
		if other.node == nil || !s.membershipMatchesHosts(other.node.membership()) {
			return
		}
	}
	s.crash(h)
	h.disk = disk{}
	s.lastID++
	h.id = s.lastID
	s.slotOf[h.id] = h.slot
	s.start(h)
}

// membershipMatchesHosts reports whether the members are exactly the replicas of
// the hosts, all of them voters.
func (s *sim) membershipMatchesHosts(m membership) bool {
	for _, h := range s.hosts {
		if !m.isVoter(h.id) {
			return false
		}
	}
	return len(m.Members) == len(s.hosts)
}

// repair simulates the controller that replaces lost replicas: it adds the new
// replica as a learner, promotes it and removes the member that it replaces.
func (s *sim) repair() {
	leader := s.leader()
	if leader == nil {
		return
	}
	s.onHost(leader, leader.epoch, func() {
		change, ok := s.nextChange(leader.node)
		if !ok {
			return
		}
		_, _, err := leader.node.ProposeMembership(change)
		if errors.Is(err, ErrReplicaIDReused) || errors.Is(err, ErrInvalidChange) {
			s.fail("membership change: %v", err)
		}
	})
}

func (s *sim) nextChange(n *Node) (MembershipChange, bool) {
	m := n.membership()
	for _, h := range s.hosts {
		switch member := m.member(h.id); {
		case member == nil:
			return MembershipChange{Kind: ChangeAddLearner, Member: &raftpb.Member{Id: h.id}}, true
		case member.Learner:
			return MembershipChange{Kind: ChangePromote, Member: member}, true
		}
	}
	for _, member := range m.Members {
		if s.hosts[s.slotOf[member.Id]].id != member.Id {
			return MembershipChange{Kind: ChangeRemove, Member: member}, true
		}
	}
	return MembershipChange{}, false
}

func (s *sim) heal() {
	clear(s.cuts)
	s.lossPercent, s.latePercent = 0, 0
	for _, h := range s.hosts {
		h.pausedUntil = s.now
		s.restart(h)
	}
}

// checkSettled checks that the group, after all faults have ended, has a leader and
// the right membership, and that no replica is more than 10 entries behind.
func (s *sim) checkSettled() {
	leader := s.leader()
	if leader == nil {
		s.fail("no leader after the end of the faults")
	}
	for _, h := range s.hosts {
		if !s.membershipMatchesHosts(h.node.membership()) {
			s.fail("replica %d has membership %v", h.id, h.node.membership().Membership)
		}
		if lag := leader.applied - min(leader.applied, h.applied); lag > 10 {
			s.fail("replica %d is %d entries behind", h.id, lag)
		}
	}
}
