package replica

import (
	"context"
	"errors"
	"io"

	"ibistray.example/ibistray/internal/raft"
	"ibistray.example/ibistray/internal/wal"
	"ibistray.example/ibistray/proto/raftpb"
)

// snapshotRetryTicks is the pause, in ticks, after a snapshot for which the disk had no room.
const snapshotRetryTicks = 100

// snapshotProgress tracks when the next snapshot of a group is due.
type snapshotProgress struct {
	snapshotIndex uint64 // index of the latest durable snapshot
	submitted     uint64 // last index passed to the apply mailbox
	applied       uint64 // last index applied to the state machine
	bytes         int    // of entry data submitted since the latest snapshot
	snapshotBytes int64  // size of the latest snapshot
	inProgress    bool   // a snapshot is being taken
	coveredBytes  int    // of entry data that the snapshot in progress covers
	retryTick     uint64 // host tick before which no snapshot is taken
}

// backlog returns the number of committed entries that are not applied yet.
func (p *snapshotProgress) backlog() uint64 {
	return p.submitted - min(p.submitted, p.applied)
}

// outpaced reports whether more entries have arrived than may while a snapshot is written.
func (p *snapshotProgress) outpaced(opts *Options) bool {
	return opts.MaxUncoveredBytes > 0 && p.inProgress && p.bytes > opts.MaxUncoveredBytes
}

// due reports whether a snapshot is due. A restart restores the latest snapshot and replays
// the log after it, so the log may grow in proportion to the snapshot: then snapshots of a
// large state cost a bounded multiple of the log, and a small state is up soon.
func (p *snapshotProgress) due(opts *Options) bool {
	share := int(logShareOfSnapshot * float64(p.snapshotBytes))
	limit := min(opts.SnapshotBytes, max(opts.MinSnapshotBytes, share))
	return p.applied-p.snapshotIndex >= opts.SnapshotEntries || p.bytes >= limit
}

// requestSnapshot makes the apply mailbox take a snapshot, unless one is in progress, one has
// just failed or nothing was applied since the latest one.
func (g *group) requestSnapshot() {
	if g.node == nil || g.removed || g.progress.inProgress || g.progress.applied <= g.progress.snapshotIndex {
		return
	}
	if g.host.ticks() < g.progress.retryTick {
		return
	}
	g.progress.inProgress = true
	g.progress.coveredBytes, g.progress.bytes = g.progress.bytes, 0
	g.apply.post(g.takeSnapshot)
}

// takeSnapshot writes a snapshot file. It runs in the apply mailbox, which goes on while the
// file of a state machine that can be captured is written.
func (g *group) takeSnapshot() {
	index := g.appliedIndex
	capturer, ok := g.sm.(SnapshotCapturer)
	if !ok {
		g.saveSnapshot(index, g.sm.Snapshot)
		return
	}
	write := capturer.CaptureSnapshot()
	save := func() {
		g.saveSnapshot(index, func(w io.Writer) error { return write(contextWriter{g.host.ctx, w}) })
	}
	g.host.snapshotWrites.Go(func() { g.host.Contain(save) })
}

// saveSnapshot stores the snapshot that a function writes, and records it.
func (g *group) saveSnapshot(index uint64, write func(io.Writer) error) {
	size, err := g.host.snapshots.save(g.id, index, write)
	if g.host.ctx.Err() != nil {
		return // the host stops: the next start replays the log
	}
	g.core.post(func() {
		if wal.IsDiskFull(err) && !errors.Is(err, errSnapshotSource) {
			g.postponeSnapshot(index, err)
			return
		}
		g.progress.snapshotBytes = size
		g.recordSnapshot(index, err)
	})
}

// postponeSnapshot makes the group take a snapshot later. The log, which is intact, may have room
// where the snapshot has none; if it has none either, the host stops at its next append.
func (g *group) postponeSnapshot(index uint64, cause error) {
	g.log.Warn("snapshot does not fit the disk, it is taken later", "index", index, "error", cause)
	g.host.metrics.snapshots.WithLabelValues("failed").Inc()
	g.progress.inProgress = false
	g.progress.bytes += g.progress.coveredBytes
	g.progress.retryTick = g.host.ticks() + snapshotRetryTicks
}

// contextWriter fails once its context has ended.
type contextWriter struct {
	ctx context.Context
	w   io.Writer
}

func (c contextWriter) Write(data []byte) (int, error) {
	if err := c.ctx.Err(); err != nil {
		return 0, err
	}
	return c.w.Write(data)
}

// recordSnapshot writes the metadata of a snapshot, whose file is durable, to the log.
func (g *group) recordSnapshot(index uint64, err error) {
	if err != nil {
		g.host.fail(err)
		return
	}
	if g.removed {
		return
	}
	meta, err := g.node.SnapshotMeta(index)
	if err != nil {
		// A newer snapshot from the leader has replaced this one.
		g.progress.inProgress = false
		return
	}
	g.host.log.AppendAsync([]wal.Update{{Group: g.id, Snapshot: meta}}, func(err error) {
		if err == nil {
			g.core.post(func() { g.compactLog(meta) })
		}
	})
}

// compactLog drops the entries and older files that a durable snapshot covers.
func (g *group) compactLog(meta *raftpb.SnapshotMeta) {
	g.progress.inProgress = false
	if g.removed {
		return
	}
	err := g.node.Compact(meta, raft.Retention{Entries: g.host.opts.RetainEntries, Bytes: g.host.opts.RetainBytes})
	if errors.Is(err, raft.ErrCompacted) {
		return
	}
	if err != nil {
		g.log.Error("cannot compact log", "index", meta.GetIndex(), "error", err)
		return
	}
	g.host.metrics.snapshots.WithLabelValues("taken").Inc()
	g.recordSnapshotIndex(meta.GetIndex())
}

// recordSnapshotIndex records the index of a durable snapshot and removes older files.
func (g *group) recordSnapshotIndex(index uint64) {
	g.progress.snapshotIndex = max(g.progress.snapshotIndex, index)
	if err := g.host.snapshots.removeBefore(g.id, index); err != nil {
		g.log.Warn("cannot remove old snapshots", "error", err)
	}
}

// installSnapshot makes the state machine restore a snapshot from the leader, which is
// durable and recorded in the log.
func (g *group) installSnapshot(meta *raftpb.SnapshotMeta) {
	index := meta.GetIndex()
	g.progress.bytes = 0
	g.failProposalsUpTo(index)
	g.apply.post(func() { g.restoreSnapshot(index) })
}

// restoreSnapshot restores a snapshot. It runs in the apply mailbox.
func (g *group) restoreSnapshot(index uint64) {
	size, err := g.host.snapshots.restore(g.id, index, g.sm)
	if err != nil {
		g.host.fail(err)
		return
	}
	g.appliedIndex = index
	g.host.metrics.snapshots.WithLabelValues("restored").Inc()
	g.log.Info("snapshot restored", "index", index)
	g.core.post(func() {
		g.progress.snapshotBytes = size
		g.recordSnapshotIndex(index)
		g.setApplied(index)
	})
}
