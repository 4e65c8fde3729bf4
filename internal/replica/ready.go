package replica

import (
	"errors"

	"ibistray.example/ibistray/internal/raft"
	"ibistray.example/ibistray/internal/wal"
	"ibistray.example/ibistray/proto/raftpb"
)

// pendingWrite is the persistent part of a Ready, kept until this and all earlier ones
// are durable.
type pendingWrite struct {
	receipt  raft.Receipt
	messages []*raftpb.Message    // to send when durable
	snapshot *raftpb.SnapshotMeta // to restore when durable
	durable  bool
}

// processReady handles the pending output of the node.
func (g *group) processReady() {
	if g.node == nil || g.removed {
		return
	}
	for g.node.HasReady() {
		rd := g.node.Ready()
		g.updateSoftState(rd.SoftState)
		if hasMembership(rd.Entries) || rd.Snapshot != nil {
			g.refreshMembers()
		}
		g.sendAll(rd.Messages)
		g.persist(&rd)
		g.completeWrites()
		g.completeReads(rd.ReadStates)
		g.submitCommitted(rd.Committed)
	}
}

func hasMembership(entries []*raftpb.Entry) bool {
	for _, entry := range entries {
		if entry.GetKind() == raftpb.EntryKind_ENTRY_KIND_MEMBERSHIP {
			return true
		}
	}
	return false
}

func (g *group) sendAll(messages []*raftpb.Message) {
	for _, m := range messages {
		g.send(m)
	}
}

// updateSoftState records a change of the leader, the role or the term; nil means no
// change.
func (g *group) updateSoftState(state *raft.SoftState) {
	if state == nil {
		return
	}
	if state.Leader != g.softState.Leader {
		g.host.metrics.leaderChanges.Inc()
		g.log.Info("leader changed", "leader", state.Leader, "term", state.Term)
	}
	wasLeader := g.softState.Role == raft.RoleLeader
	if wasLeader && (state.Role != raft.RoleLeader || state.Term != g.softState.Term) {
		g.scheduleProposalExpiry()
	}
	g.softState = *state
}

// persist queues the persistent part of a Ready for the log. If only the commit
// index has changed, it is written with the next write of the group: it need not be
// durable, because a restarted replica learns it again.
func (g *group) persist(rd *raft.Ready) {
	w := &pendingWrite{receipt: rd.Receipt, messages: rd.MessagesAfterPersist, snapshot: rd.Snapshot}
	g.pendingWrites = append(g.pendingWrites, w)
	if rd.HardState != nil {
		g.pendingHardState = rd.HardState
	}
	if !rd.MustSync {
		w.durable = true
		return
	}
	update := wal.Update{Group: g.id, HardState: g.pendingHardState, Snapshot: rd.Snapshot}
	g.pendingHardState = nil
	rest := rd.Entries
	for first := true; first || len(rest) > 0; first = false {
		update.Entries, rest = splitEntries(rest, maxAppendBytes)
		last := len(rest) == 0
		g.host.log.AppendAsync([]wal.Update{update}, func(err error) { g.appended(w, last, err) })
		update = wal.Update{Group: g.id}
	}
}

// appended handles the result of one append of a write, the last of which makes it durable. The
// host stops if the log cannot hold an entry: it would wait for it for ever.
func (g *group) appended(w *pendingWrite, last bool, err error) {
	switch {
	case errors.Is(err, wal.ErrTooLarge):
		g.host.fail(err)
	case err == nil && last:
		g.core.post(func() { w.durable = true; g.completeWrites() })
	}
}

// maxAppendBytes is the size of the entries' data above which they are appended to the log in
// several parts. A crash in between leaves a shorter log, none of which was acknowledged.
const maxAppendBytes = 8 << 20

// splitEntries returns the first entries with at most limit bytes of data, but at least one, and
// the others.
func splitEntries(entries []*raftpb.Entry, limit int) (first, rest []*raftpb.Entry) {
	size := 0
	for i, e := range entries {
		size += len(e.Data)
		if i > 0 && size > limit {
			return entries[:i], entries[i:]
		}
	}
	return entries, nil
}

// completeWrites reports durable writes to the node, in order, and sends the messages
// that had to wait for them.
func (g *group) completeWrites() {
	for len(g.pendingWrites) > 0 && g.pendingWrites[0].durable && !g.removed {
		w := g.pendingWrites[0]
		g.pendingWrites = g.pendingWrites[1:]
		g.node.ReportPersisted(w.receipt)
		if w.snapshot != nil {
			g.installSnapshot(w.snapshot)
		}
		g.sendAll(w.messages)
	}
}

// submitCommitted passes committed entries to the apply mailbox.
func (g *group) submitCommitted(entries []*raftpb.Entry) {
	if len(entries) == 0 {
		return
	}
	committed := make([]committedEntry, len(entries))
	for i, entry := range entries {
		committed[i] = committedEntry{entry: entry, proposal: g.takeProposal(entry)}
		g.progress.bytes += len(entry.GetData())
		g.progress.submitted = entry.GetIndex()
	}
	g.apply.post(func() { g.applyAll(committed) })
}

// committedEntry is a committed entry and its local proposal.
type committedEntry struct {
	entry    *raftpb.Entry
	proposal *proposal // nil if the entry was not proposed here
}

// applyAll applies entries and completes their proposals. It runs in the apply mailbox.
func (g *group) applyAll(committed []committedEntry) {
	for _, c := range committed {
		index := c.entry.GetIndex()
		applied := Applied{Index: index}
		if c.entry.GetKind() == raftpb.EntryKind_ENTRY_KIND_COMMAND {
			applied.Result = g.sm.Apply(index, c.entry.GetData())
		}
		g.appliedIndex = index
		c.proposal.complete(applied, nil)
	}
	index := g.appliedIndex
	g.core.post(func() { g.setApplied(index) })
}

// setApplied records that the state machine has applied all entries up to index.
func (g *group) setApplied(index uint64) {
	g.node.ReportApplied(index)
	g.reads.setApplied(index)
	g.progress.applied = max(g.progress.applied, index)
	if g.progress.due(&g.host.opts) {
		g.requestSnapshot()
	}
}
