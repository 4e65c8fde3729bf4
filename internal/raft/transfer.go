package raft

import "ibistray.example/ibistray/proto/raftpb"

// transfer is the state of a leadership transfer.
type transfer struct {
	target   uint64 // 0: none
	deadline uint64 // tick at which the transfer is aborted
	// leaseRevoked is set once the target was told to start an election. It stays
	// set for the rest of the term, because that message may arrive at any time.
	leaseRevoked bool
}

// TransferLeadership starts to transfer leadership to another voter. Proposals are
// refused until the transfer is done or ElectionTicks have passed. Errors:
// ErrNotLeader, ErrTransferring, ErrInvalidTarget.
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
	n.recordRequest()
	n.transfer.target = id
	n.transfer.deadline = n.tick + uint64(n.cfg.ElectionTicks)
	return nil
}

// sendTimeoutNow gives up the lease and tells the target of a transfer to start an
// election, once the target holds the whole log.
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

// abortTransfer ends an expired transfer. If the lease is revoked for the rest of
// this term, the leader starts an election for the next term, in which a delayed
// election of the target cannot succeed.
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
