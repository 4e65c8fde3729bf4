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

// Times of a schedule, in the units of the simulation.
const (
	faultTime  = 60 * minTickLen // length of the part with faults
	settleTime = 80 * maxTickLen // enough to repair and to elect a leader
	faultEvery = 3 * minTickLen
	opEvery    = minTickLen
	pauseTime  = 15 * minTickLen // clients pause for as long as they work
	adminEvery = 4 * minTickLen
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

// TestRandomSchedulesOfPatientLeaders has leaders that outlast the contact to a
// quorum, so that two of different terms often stand side by side.
func TestRandomSchedulesOfPatientLeaders(t *testing.T) {
	leased := 0
	for i := range *schedules {
		leased += runSchedule(newPatientSim(t, *firstSeed+uint64(i), 3, 3*DefaultElectionTicks))
	}
	assert.Assert(t, leased > 0, "no schedule saw a valid lease")
}

// runSchedule runs one schedule with faults, heals everything and checks that
// the group works again and that its history is linearizable.
func runSchedule(s *sim) int {
	s.loss, s.late = s.rng.IntN(3)*8, s.rng.IntN(3)*2
	s.every(opEvery, s.clientOp)
	s.every(faultEvery, s.fault)
	s.every(adminEvery, s.repair)
	s.run(faultTime)
	s.heal()
	s.run(faultTime + settleTime)
	s.settled()
	if !s.hist.linearizable() {
		s.fail("history of %d operations is not linearizable", len(s.hist.ops))
	}
	return s.check.leased
}

// TestLeaseExclusivity cuts leaders off in the ways that make two leases likely:
// one follower stops hearing the leader first, replies are late, and the hosts'
// ticks differ.
func TestLeaseExclusivity(t *testing.T) {
	leased := 0
	for i := range 2 * *schedules {
		s := newSim(t, *firstSeed+uint64(i), 3)
		s.late = s.rng.IntN(2) * 30
		s.every(4*opEvery, s.clientOp)
		for range 3 {
			s.run(s.now + 40*minTickLen)
			leader := s.leader()
			if leader == nil {
				continue
			}
			s.cuts[[2]int{leader.slot, s.follower(leader).slot}] = true
			s.run(s.now + s.rng.Int64N(15*minTickLen))
			if s.rng.IntN(3) == 0 {
				s.handOver(s.follower(leader))
				s.run(s.now + minTickLen)
			}
			s.isolate(leader)
			for _, h := range s.hosts {
				// Late replies may still reach the leader.
				s.cuts[[2]int{h.slot, leader.slot}] = s.seed%4 < 2
			}
			s.run(s.now + 30*minTickLen)
			clear(s.cuts)
		}
		leased += s.check.leased
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

// clientOp starts a read or a write on a replica that may lead.
func (s *sim) clientOp() {
	if s.now/pauseTime%2 == int64(s.seed%2) {
		return
	}
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	if leader := s.leader(); leader != nil && s.rng.IntN(3) > 0 {
		h = leader
	}
	if h.node == nil || s.now < h.frozenUntil || h.node.role != RoleLeader {
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

// serveReads answers the reads whose index is applied.
func (s *sim) serveReads(h *host, states []ReadState) {
	waiting := append(h.due, states...)
	h.due = nil
	for _, r := range waiting {
		switch {
		case r.Aborted:
			delete(h.reads, r.Context)
		case r.Index > h.applied:
			h.due = append(h.due, r)
		default:
			if o := h.reads[r.Context]; o != nil {
				s.hist.finish(s, o, h.kv[o.key])
			}
		}
	}
}

// fault injects one fault or one planned operation.
func (s *sim) fault() {
	if s.now >= faultTime {
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
		h.frozenUntil = s.now + s.rng.Int64N(25*minTickLen)
	case 10:
		s.loseDisk(h)
	case 11, 12:
		s.handOver(other)
	}
}

// handOver asks the leader to transfer leadership to a host, which may freeze
// before it hears of it.
func (s *sim) handOver(to *host) {
	leader := s.leader()
	if leader == nil {
		return
	}
	target := to.id
	s.onHost(leader, leader.epoch, func() { _ = leader.node.TransferLeadership(target) })
	if to != leader && s.rng.IntN(2) == 0 {
		to.frozenUntil = s.now + s.rng.Int64N(25*minTickLen)
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

// loseDisk replaces a host's disk by an empty one, if the group can bear it: each
// voter of every membership in force has the disk that it voted with.
func (s *sim) loseDisk(h *host) {
	for _, other := range s.hosts {
		if other.node == nil || !s.healthy(other.node.membership()) {
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

// healthy tells whether a membership is exactly the voters that the hosts run.
func (s *sim) healthy(m membership) bool {
	for _, h := range s.hosts {
		if !m.isVoter(h.id) {
			return false
		}
	}
	return len(m.Members) == len(s.hosts)
}

// repair plays the controller that brings the membership in line with the hosts:
// add a learner, promote it, remove the member that it replaces.
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
	s.loss, s.late = 0, 0
	for _, h := range s.hosts {
		h.frozenUntil = s.now
		s.restart(h)
	}
}

// settled checks that the healed group has a leader, one membership and one
// state, all of it committed and applied everywhere.
func (s *sim) settled() {
	leader := s.leader()
	if leader == nil {
		s.fail("no leader after healing")
	}
	for _, h := range s.hosts {
		if !s.healthy(h.node.membership()) {
			s.fail("replica %d has membership %v", h.id, h.node.membership().Membership)
		}
		if lag := leader.applied - min(leader.applied, h.applied); lag > 10 {
			s.fail("replica %d is %d entries behind", h.id, lag)
		}
	}
}
