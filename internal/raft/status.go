package raft

import "ibistray.example/ibistray/proto/raftpb"

// MemberStatus is the leader's view of one other member.
type MemberStatus struct {
	ID            uint64
	Learner       bool
	MatchIndex    uint64 // highest index known to be durable on the member
	CaughtUp      bool   // holds all entries committed when the last heartbeat round began; may be promoted
	LostState     bool   // reported a shorter log than it had acknowledged; needs a new replica ID
	TicksSinceAck int    // ticks since the latest round that it acknowledged was sent; -1: none
}

// Status is the state of a replica, for operators and tests.
type Status struct {
	SoftState
	ID           uint64
	Learner      bool
	FirstIndex   uint64 // first index that is not compacted
	LastIndex    uint64
	DurableIndex uint64 // last index known to be durable on this replica
	CommitIndex  uint64
	AppliedIndex uint64
	Membership   *raftpb.Membership // the latest one, which may not be committed
	Committed    *raftpb.Membership // the latest committed one, as far as this replica knows
	NextID       uint64             // replica ID for the next new member
	Members      []MemberStatus     // the other members, in order of ID; only on the leader
	Quiesced     bool
}

// Status returns the current status of the replica.
func (n *Node) Status() Status {
	m := n.membership()
	s := Status{
		SoftState:    n.currentSoftState(),
		ID:           n.cfg.ID,
		Learner:      m.member(n.cfg.ID).GetLearner(),
		FirstIndex:   n.log.first(),
		LastIndex:    n.log.last(),
		DurableIndex: n.log.stable,
		CommitIndex:  n.log.commit,
		AppliedIndex: n.log.applied,
		Membership:   m.Membership,
		Committed:    n.membershipAt(n.log.commit),
		NextID:       m.LastId + 1,
		Quiesced:     n.quiesced,
	}
	for _, p := range n.peers {
		s.Members = append(s.Members, n.memberStatus(p))
	}
	return s
}

func (n *Node) memberStatus(p *progress) MemberStatus {
	s := MemberStatus{
		ID:            p.id,
		Learner:       p.learner,
		MatchIndex:    p.match,
		CaughtUp:      n.caughtUp(p),
		LostState:     p.lostState,
		TicksSinceAck: -1,
	}
	if p.ackedRound != 0 {
		s.TicksSinceAck = int(n.tick - p.ackedRound.tick())
	}
	return s
}
