package raft

import (
	"fmt"

	"ibistray.example/ibistray/proto/raftpb"
)

// SnapshotMeta returns the metadata for a snapshot of the state machine at index.
// Errors: ErrNotApplied, ErrCompacted (index is before the latest snapshot).
func (n *Node) SnapshotMeta(index uint64) (*raftpb.SnapshotMeta, error) {
	if index > n.log.applied {
		return nil, fmt.Errorf("%w: index %d, applied up to %d", ErrNotApplied, index, n.log.applied)
	}
	if index < n.snapshot.Index {
		return nil, fmt.Errorf("%w: index %d, latest snapshot at %d", ErrCompacted, index, n.snapshot.Index)
	}
	term, _ := n.log.term(index)
	return &raftpb.SnapshotMeta{Index: index, Term: term, Membership: n.membershipAt(index)}, nil
}

// Retention limits the entries that stay in memory although a snapshot covers them. They are
// sent to members that are slightly behind; others get the snapshot.
type Retention struct {
	Entries uint64
	Bytes   int // of data
}

// Compact records that the host holds a durable snapshot with this metadata. It
// drops the entries up to its index from memory, except for the last ones within the
// retention. Errors: ErrNotApplied, ErrCompacted (the snapshot is older than the latest one).
func (n *Node) Compact(meta *raftpb.SnapshotMeta, retention Retention) error {
	if meta.Index > n.log.applied {
		return fmt.Errorf("%w: index %d, applied up to %d", ErrNotApplied, meta.Index, n.log.applied)
	}
	if meta.Index < n.snapshot.Index {
		return fmt.Errorf("%w: index %d, latest snapshot at %d", ErrCompacted, meta.Index, n.snapshot.Index)
	}
	n.snapshot = meta
	n.log.compact(n.log.lastOutside(meta.Index, retention))
	n.compactMemberships(meta.Index)
	return nil
}

// sendSnapshot asks the host to stream the latest snapshot to a member.
func (n *Node) sendSnapshot(p *progress) {
	p.becomeSnapshot(n.snapshot.Index)
	n.send(&raftpb.Message{
		Kind:     raftpb.MessageKind_MESSAGE_KIND_SNAPSHOT,
		To:       p.id,
		Snapshot: n.snapshot,
		Context:  uint64(n.round),
	})
}

// ReportSnapshot tells the Node that the stream of a snapshot to a member has
// ended; ok means that the member has received it. The host must call it once for
// each MESSAGE_KIND_SNAPSHOT message that it was given to send.
func (n *Node) ReportSnapshot(id uint64, ok bool) {
	p := n.peer(id)
	if p == nil || p.state != stateSnapshot {
		return
	}
	if ok {
		p.becomeProbe(max(p.match, p.pendingSnapshot) + 1)
		return
	}
	p.becomeProbe(p.match + 1)
	p.probeSent = true // wait for the next heartbeat reply before trying again
}

// handleSnapshot installs a snapshot whose data the host has stored, unless the
// log already covers it.
func (n *Node) handleSnapshot(m *raftpb.Message) {
	n.recordLeaderContact(m)
	meta := m.Snapshot
	switch {
	case meta.Index <= n.log.commit:
		n.acceptAppend(m, n.log.commit)
	case n.log.matches(meta.Index, meta.Term):
		n.log.commitTo(meta.Index)
		n.acceptAppend(m, meta.Index)
	default:
		n.restore(meta)
		n.acceptAppend(m, meta.Index)
	}
}

// restore replaces the log by a snapshot and passes it to the next Ready.
func (n *Node) restore(meta *raftpb.SnapshotMeta) {
	n.log.restore(meta)
	n.snapshot = meta
	n.memberships = []indexedMembership{{index: meta.Index, membership: membership{normalize(meta.Membership)}}}
	n.snapshotToInstall = meta
}
