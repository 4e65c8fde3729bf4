package replica

import (
	"ibistray.example/ibistray/internal/raft"
	"ibistray.example/ibistray/internal/wal"
	"ibistray.example/ibistray/proto/raftpb"
)

// write is the durable part of a Ready, until all earlier ones are durable too.
type write struct {
	receipt  raft.Receipt
	after    []*raftpb.Message    // to send when durable
	snapshot *raftpb.SnapshotMeta // to restore when durable
	durable  bool
}

// flush handles what the node hands out.
func (g *group) flush() {
	if g.node == nil || g.retired {
		return
	}
	for g.node.HasReady() {
		rd := g.node.Ready()
		g.followLeader(rd.SoftState)
		if hasMembership(rd.Entries) || rd.Snapshot != nil {
			g.refreshMembers()
		}
		g.sendAll(rd.Messages)
		g.persist(&rd)
		g.finishWrites()
		g.handReads(rd.ReadStates)
		g.handCommitted(rd.Committed)
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

// followLeader takes in a change of the leader or of the role.
func (g *group) followLeader(state *raft.SoftState) {
	if state == nil {
		return
	}
	if state.Leader != g.leader.Leader {
		g.host.metrics.leaderChanges.Inc()
		g.logger.Info("leader changed", "leader", state.Leader, "term", state.Term)
	}
	wasLeader := g.leader.Role == raft.RoleLeader
	if wasLeader && (state.Role != raft.RoleLeader || state.Term != g.leader.Term) {
		g.expireProposalsLater()
	}
	g.leader = *state
}

// persist queues the durable part of a Ready for the log. A higher commit index
// alone waits for the next write of the group, because it can be learnt again.
func (g *group) persist(rd *raft.Ready) {
	w := &write{receipt: rd.Receipt, after: rd.MessagesAfterPersist, snapshot: rd.Snapshot}
	g.writes = append(g.writes, w)
	if rd.HardState != nil {
		g.hardState = rd.HardState
	}
	if !rd.MustSync {
		w.durable = true
		return
	}
	update := wal.Update{Group: g.id, HardState: g.hardState, Snapshot: rd.Snapshot, Entries: rd.Entries}
	g.hardState = nil
	g.host.log.AppendAsync([]wal.Update{update}, func(err error) {
		if err == nil {
			g.core.post(func() { w.durable = true; g.finishWrites() })
		}
	})
}

// finishWrites reports the writes that are durable, in order, to the node and
// sends the messages that waited for them.
func (g *group) finishWrites() {
	for len(g.writes) > 0 && g.writes[0].durable && !g.retired {
		w := g.writes[0]
		g.writes = g.writes[1:]
		g.node.ReportPersisted(w.receipt)
		if w.snapshot != nil {
			g.install(w.snapshot)
		}
		g.sendAll(w.after)
	}
}

// handCommitted gives committed entries to the state machine.
func (g *group) handCommitted(entries []*raftpb.Entry) {
	if len(entries) == 0 {
		return
	}
	commands := make([]command, len(entries))
	for i, entry := range entries {
		commands[i] = command{entry: entry, proposal: g.takeProposal(entry)}
		g.progress.bytes += len(entry.GetData())
		g.progress.handed = entry.GetIndex()
	}
	g.apply.post(func() { g.applyAll(commands) })
}

// command is a committed entry and who waits for it.
type command struct {
	entry    *raftpb.Entry
	proposal *proposal // nil: nobody
}

// applyAll applies entries. It runs in the apply mailbox.
func (g *group) applyAll(commands []command) {
	for _, c := range commands {
		index := c.entry.GetIndex()
		applied := Applied{Index: index}
		if c.entry.GetKind() == raftpb.EntryKind_ENTRY_KIND_COMMAND {
			applied.Result = g.sm.Apply(index, c.entry.GetData())
		}
		g.applied = index
		c.proposal.finish(applied, nil)
	}
	index := g.applied
	g.core.post(func() { g.appliedTo(index) })
}

// appliedTo records that the state machine holds the log up to index.
func (g *group) appliedTo(index uint64) {
	g.node.ReportApplied(index)
	g.reads.applied(index)
	g.progress.applied = max(g.progress.applied, index)
	if g.progress.due(&g.host.opts) {
		g.requestSnapshot()
	}
}
