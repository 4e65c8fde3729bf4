package raft

import "ibistray.example/ibistray/proto/raftpb"

// MemberStatus is the leader's view of one other member.
type MemberStatus struct {
	ID            uint64
	Learner       bool
	MatchIndex    uint64 // highest index known to be durable there
	CaughtUp      bool   // it holds what was committed at the last heartbeat round; a learner may be promoted
	LostState     bool   // it answered with less than it had acknowledged; replace it under a new ID
	TicksSinceAck int    // ticks since the last acknowledged round was sent; -1: none
}

// Status is a view of a replica for operators and tests.
type Status struct {
	SoftState
	ID           uint64
	Learner      bool
	FirstIndex   uint64 // first index that the log still holds
	LastIndex    uint64
	DurableIndex uint64 // durable up to
	CommitIndex  uint64
	AppliedIndex uint64
	Membership   *raftpb.Membership
	NextID       uint64         // replica ID for the next new member
	Members      []MemberStatus // on the leader: the others, in order of ID
	Quiesced     bool
}

// Status returns the replica's status.
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
	if p.acked != 0 {
		s.TicksSinceAck = int(n.tick - p.acked.tick())
	}
	return s
}
