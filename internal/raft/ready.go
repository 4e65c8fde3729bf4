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
	seq       uint64
	term      uint64
	vote      uint64
	lastIndex uint64
	lastTerm  uint64
}

// Ready is the output of a Node since the previous Ready. See the package
// comment for the order of the steps.
type Ready struct {
	SoftState            *SoftState           // nil: unchanged
	HardState            *raftpb.HardState    // to persist; nil: unchanged
	Snapshot             *raftpb.SnapshotMeta // to install before Entries and Committed; nil: none
	Entries              []*raftpb.Entry      // to persist
	MustSync             bool                 // the above must be synced; a change of the commit index alone need not be
	Receipt              Receipt              // for Persisted
	Messages             []*raftpb.Message    // to send at once
	MessagesAfterPersist []*raftpb.Message    // to send when all Readies up to this one are durable
	Committed            []*raftpb.Entry      // to apply, in order
	ReadStates           []ReadState          // reads that may go on
}

// HasReady tells whether Ready would return anything.
func (n *Node) HasReady() bool { panic("not built yet") }

// Ready returns the output since the last call and counts it as handed out.
func (n *Node) Ready() Ready { panic("not built yet") }

// Persisted reports that a Ready is durable. It must be called for each Ready,
// in order.
func (n *Node) Persisted(r Receipt) { panic("not built yet") }

// Applied reports that the state machine holds the log up to index. It bounds
// SnapshotMeta and Compact.
func (n *Node) Applied(index uint64) { panic("not built yet") }
