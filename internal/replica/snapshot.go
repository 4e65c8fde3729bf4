package replica

import (
	"errors"

	"ibistray.example/ibistray/internal/raft"
	"ibistray.example/ibistray/internal/wal"
	"ibistray.example/ibistray/proto/raftpb"
)

// snapshotProgress says when the next snapshot of a group is due.
type snapshotProgress struct {
	index   uint64 // of the latest durable snapshot
	handed  uint64 // last index given to the state machine
	applied uint64 // index that the state machine holds
	bytes   int    // of commands since the latest snapshot
	taking  bool
}

// backlog returns how many entries wait for the state machine.
func (p *snapshotProgress) backlog() uint64 {
	return p.handed - min(p.handed, p.applied)
}

func (p *snapshotProgress) due(opts *Options) bool {
	return p.applied-p.index >= opts.SnapshotEntries || p.bytes >= opts.SnapshotBytes
}

// requestSnapshot lets the apply mailbox take a snapshot, unless one is taken or
// nothing is new.
func (g *group) requestSnapshot() {
	if g.node == nil || g.retired || g.progress.taking || g.progress.applied <= g.progress.index {
		return
	}
	g.progress.taking = true
	g.progress.bytes = 0
	g.apply.post(g.takeSnapshot)
}

// takeSnapshot writes the state. It runs in the apply mailbox.
func (g *group) takeSnapshot() {
	index := g.applied
	err := g.host.snapshots.take(g.id, index, g.sm)
	g.core.post(func() { g.snapshotTaken(index, err) })
}

// snapshotTaken records a snapshot in the log. The file is durable already.
func (g *group) snapshotTaken(index uint64, err error) {
	if err != nil {
		g.host.fail(err)
		return
	}
	if g.retired {
		return
	}
	meta, err := g.node.SnapshotMeta(index)
	if err != nil {
		// A snapshot from the leader has overtaken this one.
		g.progress.taking = false
		return
	}
	g.host.log.AppendAsync([]wal.Update{{Group: g.id, Snapshot: meta}}, func(err error) {
		if err == nil {
			g.core.post(func() { g.snapshotRecorded(meta) })
		}
	})
}

// snapshotRecorded drops what a durable snapshot covers.
func (g *group) snapshotRecorded(meta *raftpb.SnapshotMeta) {
	g.progress.taking = false
	if g.retired {
		return
	}
	err := g.node.Compact(meta, g.host.opts.RetainEntries)
	if errors.Is(err, raft.ErrCompacted) {
		return
	}
	if err != nil {
		g.logger.Error("log not compacted", "index", meta.GetIndex(), "error", err)
		return
	}
	g.host.metrics.snapshots.WithLabelValues("taken").Inc()
	g.covered(meta.GetIndex())
}

// covered records the latest durable snapshot and removes older files.
func (g *group) covered(index uint64) {
	g.progress.index = max(g.progress.index, index)
	if err := g.host.snapshots.removeBefore(g.id, index); err != nil {
		g.logger.Warn("old snapshots not removed", "error", err)
	}
}

// install lets the state machine restore a snapshot from the leader, which is
// durable and recorded in the log.
func (g *group) install(meta *raftpb.SnapshotMeta) {
	index := meta.GetIndex()
	g.progress.bytes = 0
	g.dropProposals(index)
	g.apply.post(func() { g.restoreSnapshot(index) })
}

// restoreSnapshot runs in the apply mailbox.
func (g *group) restoreSnapshot(index uint64) {
	if err := g.host.snapshots.restore(g.id, index, g.sm); err != nil {
		g.host.fail(err)
		return
	}
	g.applied = index
	g.host.metrics.snapshots.WithLabelValues("restored").Inc()
	g.logger.Info("snapshot restored", "index", index)
	g.core.post(func() {
		g.covered(index)
		g.appliedTo(index)
	})
}
