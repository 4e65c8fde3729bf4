package raft

import "ibistray.example/ibistray/proto/raftpb"

// Role is the role of a replica in its group.
type Role uint8

// Roles of a replica. A learner has RoleFollower; Status.Learner distinguishes it
// from a voter.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// SoftState is the state of a replica that a host may track and need not persist.
type SoftState struct {
	Leader uint64 // replica ID; 0: not known
	Role   Role
	Term   uint64
}

// ReadState is the result of a ReadIndex call.
type ReadState struct {
	Context uint64 // argument of ReadIndex
	Index   uint64 // the read is linearizable once this index is applied
	Aborted bool   // leadership was lost; the read must be sent to the new leader
}

// Receipt identifies the part of one Ready that is to be persisted. It is opaque to
// the host.
type Receipt struct {
	seq  uint64
	term uint64
	vote uint64
	last uint64 // last index of the log when it was issued
}

// Ready is the output of a Node since the previous Ready. See the package
// comment for the order of the steps.
type Ready struct {
	SoftState            *SoftState           // nil: unchanged
	HardState            *raftpb.HardState    // to persist; nil: unchanged
	Snapshot             *raftpb.SnapshotMeta // to install before Entries and Committed; nil: none
	Entries              []*raftpb.Entry      // to persist
	MustSync             bool                 // the fields above must be synced; false if only the commit index changed
	Receipt              Receipt              // argument of ReportPersisted
	Messages             []*raftpb.Message    // to send at once
	MessagesAfterPersist []*raftpb.Message    // to send when all Readies up to this one are durable
	Committed            []*raftpb.Entry      // to apply, in order
	ReadStates           []ReadState          // reads that are confirmed or aborted
}

// HasReady reports whether Ready would return any output.
func (n *Node) HasReady() bool {
	n.queueAppends()
	return n.snapshotToInstall != nil ||
		n.hardStateChanged() ||
		n.log.nextToPersist <= n.log.last() ||
		n.log.applying < n.log.maxAppliable() ||
		len(n.messages) > 0 ||
		len(n.messagesAfterPersist) > 0 ||
		len(n.readStates) > 0 ||
		n.lastSoftState != n.currentSoftState()
}

// Ready returns the output since the last call. Each item is returned only once.
func (n *Node) Ready() Ready {
	n.queueAppends()
	rd := Ready{
		Snapshot:             n.snapshotToInstall,
		Entries:              n.log.takeUnpersisted(),
		Messages:             n.messages,
		MessagesAfterPersist: n.messagesAfterPersist,
		Committed:            n.log.takeCommitted(),
		ReadStates:           n.readStates,
	}
	n.snapshotToInstall, n.messages, n.messagesAfterPersist, n.readStates = nil, nil, nil, nil
	rd.MustSync = rd.Snapshot != nil || len(rd.Entries) > 0
	n.takeHardState(&rd)
	if s := n.currentSoftState(); s != n.lastSoftState {
		n.lastSoftState = s
		rd.SoftState = &s
	}
	rd.Receipt = Receipt{seq: n.log.nextReceipt, term: n.term, vote: n.vote, last: n.log.last()}
	n.log.nextReceipt++
	return rd
}

func (n *Node) takeHardState(rd *Ready) {
	if !n.hardStateChanged() {
		return
	}
	hs := n.currentHardState()
	if hs.Term != n.lastHardState.Term || hs.Vote != n.lastHardState.Vote {
		rd.MustSync = true
	}
	n.lastHardState = hs
	rd.HardState = hs
}

// ReportPersisted tells the Node that a Ready is durable. The host must call it for
// each Ready, in order.
func (n *Node) ReportPersisted(r Receipt) {
	n.durableTerm = r.term
	n.log.markPersisted(r.seq, r.last)
	switch {
	case n.role == RoleLeader:
		n.maybeCommit()
	case n.role == RoleCandidate && r.term == n.term && r.vote == n.cfg.ID:
		n.recordBallot(n.cfg.ID, true)
	}
}

// ReportApplied tells the Node that the state machine has applied the log up to
// index. SnapshotMeta and Compact accept no higher index.
func (n *Node) ReportApplied(index uint64) {
	n.log.applied = max(n.log.applied, min(index, n.log.applying))
}
