package raft

import "ibistray.example/ibistray/proto/raftpb"

// transfer is a handover of leadership in progress.
type transfer struct {
	target   uint64 // 0: none
	deadline uint64 // tick at which it is given up
	// leaseRevoked is set for the rest of the term once the target was told to
	// start an election, because that message may arrive at any later time.
	leaseRevoked bool
}

// TransferLeadership asks another voter to take over. Proposals are refused
// until it has done so or until ElectionTicks have passed. Errors: ErrNotLeader,
// ErrTransferring, ErrInvalidTarget.
func (n *Node) TransferLeadership(id uint64) error {
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	if n.transfer.target != 0 {
		return ErrTransferring
	}
	p := n.peer(id)
	if p == nil || p.learner || p.lostState {
		return ErrInvalidTarget
	}
	n.touch()
	n.transfer.target = id
	n.transfer.deadline = n.tick + uint64(n.cfg.ElectionTicks)
	return nil
}

// sendTimeoutNow gives up the lease and tells the target to start an election
// as soon as it holds the whole log.
func (n *Node) sendTimeoutNow() {
	if n.transfer.target == 0 || n.transfer.leaseRevoked {
		return
	}
	p := n.peer(n.transfer.target)
	if p == nil || p.match != n.log.last() {
		return
	}
	n.transfer.leaseRevoked = true
	n.send(&raftpb.Message{Kind: raftpb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW, To: p.id})
}

func (n *Node) transferExpired() bool {
	return n.transfer.target != 0 && n.tick >= n.transfer.deadline
}

// abortTransfer resumes leadership. Without a lease in this term, the leader
// enters the next one: the target's late election cannot succeed there.
func (n *Node) abortTransfer() {
	if n.transfer.leaseRevoked {
		n.campaign(true)
		return
	}
	n.transfer = transfer{}
}

func (n *Node) handleTimeoutNow(m *raftpb.Message) {
	if n.role == RoleFollower && n.leader == m.From && n.electable() {
		n.campaign(true)
	}
}
