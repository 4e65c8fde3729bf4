package raft

import "ibistray.example/ibistray/proto/raftpb"

// Role is the part that a replica plays in its group.
type Role uint8

// Roles of a replica. A learner is a RoleFollower; Status tells it apart.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// SoftState is the volatile part of the state that interests a host.
type SoftState struct {
	Leader uint64 // replica ID, 0: not known
	Role   Role
	Term   uint64
}

// ReadState is the outcome of a ReadIndex call.
type ReadState struct {
	Context uint64 // as given to ReadIndex
	Index   uint64 // the read is linearizable once this index is applied
	Aborted bool   // leadership was lost; the read must be tried elsewhere
}

// Receipt stands for the durable part of one Ready. It is opaque to the host.
type Receipt struct {
	seq  uint64
	term uint64
	vote uint64
	last uint64 // last entry handed out so far
}

// Ready is the output of a Node since the previous Ready. See the package
// comment for the order of the steps.
type Ready struct {
	SoftState            *SoftState           // nil: unchanged
	HardState            *raftpb.HardState    // to persist; nil: unchanged
	Snapshot             *raftpb.SnapshotMeta // to install before Entries and Committed; nil: none
	Entries              []*raftpb.Entry      // to persist
	MustSync             bool                 // the above must be synced; a change of the commit index alone need not be
	Receipt              Receipt              // for ReportPersisted
	Messages             []*raftpb.Message    // to send at once
	MessagesAfterPersist []*raftpb.Message    // to send when all Readies up to this one are durable
	Committed            []*raftpb.Entry      // to apply, in order
	ReadStates           []ReadState          // reads that may go on
}

// HasReady tells whether Ready would return anything.
func (n *Node) HasReady() bool {
	n.flush()
	return n.install != nil ||
		n.hardStateChanged() ||
		n.log.unsaved <= n.log.last() ||
		n.log.released < n.log.releasable() ||
		len(n.messages) > 0 ||
		len(n.afterSync) > 0 ||
		len(n.readStates) > 0 ||
		n.softState != n.currentSoftState()
}

// Ready returns the output since the last call and counts it as handed out.
func (n *Node) Ready() Ready {
	n.flush()
	rd := Ready{
		Snapshot:             n.install,
		Entries:              n.log.takeUnsaved(),
		Messages:             n.messages,
		MessagesAfterPersist: n.afterSync,
		Committed:            n.log.takeCommitted(),
		ReadStates:           n.readStates,
	}
	n.install, n.messages, n.afterSync, n.readStates = nil, nil, nil, nil
	rd.MustSync = rd.Snapshot != nil || len(rd.Entries) > 0
	n.takeHardState(&rd)
	if s := n.currentSoftState(); s != n.softState {
		n.softState = s
		rd.SoftState = &s
	}
	rd.Receipt = Receipt{seq: n.log.seq, term: n.term, vote: n.vote, last: n.log.last()}
	n.log.seq++
	return rd
}

func (n *Node) takeHardState(rd *Ready) {
	if !n.hardStateChanged() {
		return
	}
	hs := n.currentHardState()
	if hs.Term != n.handed.Term || hs.Vote != n.handed.Vote {
		rd.MustSync = true
	}
	n.handed = hs
	rd.HardState = hs
}

// ReportPersisted reports that a Ready is durable. It must be called for each Ready,
// in order.
func (n *Node) ReportPersisted(r Receipt) {
	n.savedTerm = r.term
	n.log.persisted(r.seq, r.last)
	switch {
	case n.role == RoleLeader:
		n.maybeCommit()
	case n.role == RoleCandidate && r.term == n.term && r.vote == n.cfg.ID:
		n.countBallot(n.cfg.ID, true)
	}
}

// ReportApplied reports that the state machine holds the log up to index. It bounds
// SnapshotMeta and Compact.
func (n *Node) ReportApplied(index uint64) {
	n.log.applied = max(n.log.applied, min(index, n.log.released))
}
