package replica

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"ibistray.example/ibistray/proto/raftpb"
)

const (
	maxSnapshotSends    = 2 // concurrent per host
	snapshotSendTimeout = 5 * time.Minute
)

// startSnapshotSend sends a snapshot in the background and reports the outcome to the
// node.
func (g *group) startSnapshotSend(address string, m *raftpb.Message) {
	send := func() {
		err := g.host.sendSnapshot(g.id, address, m)
		label := "sent"
		if err != nil {
			label = "send_failed"
			g.log.Warn("cannot send snapshot", "to", address, "error", err)
		}
		g.host.metrics.snapshots.WithLabelValues(label).Inc()
		g.core.post(func() {
			if !g.removed {
				g.node.ReportSnapshot(m.GetTo(), err == nil)
			}
		})
	}
	g.host.snapshotSends.Go(func() { g.host.Contain(send) })
}

func (h *Host) sendSnapshot(group uint64, address string, m *raftpb.Message) error {
	ctx, cancel := context.WithTimeout(h.ctx, snapshotSendTimeout)
	defer cancel()
	select {
	case h.snapshotSlots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-h.snapshotSlots }()
	file, err := h.snapshots.openFile(group, m.GetSnapshot().GetIndex())
	if err != nil {
		return err
	}
	defer file.Close()
	return h.opts.Transport.SendSnapshot(ctx, address, m, file)
}

// ReceiveSnapshot receives a snapshot from another host. It returns when the data is
// durable here and queued for the group. Errors: ErrUnknownGroup, ErrStopped,
// ErrRefused for a snapshot for another replica, ErrInvalidSnapshot, also when data
// cannot be read, ErrStorage and the error of ctx. The sender retries later.
func (h *Host) ReceiveSnapshot(ctx context.Context, m *raftpb.Message, data io.Reader) error {
	g, err := h.lookup(m.GetGroup())
	if err != nil {
		return err
	}
	if h.stopping.Load() {
		return ErrStopped
	}
	if err := g.checkSnapshot(ctx, m); err != nil {
		return err
	}
	index := m.GetSnapshot().GetIndex()
	err = h.snapshots.receive(g.id, index, data)
	if errors.Is(err, ErrInvalidSnapshot) {
		return err
	}
	if err != nil {
		h.fail(err)
		return err
	}
	h.metrics.snapshots.WithLabelValues("received").Inc()
	g.receive(m)
	return nil
}

// checkSnapshot rejects a snapshot for another replica before its data is read.
func (g *group) checkSnapshot(ctx context.Context, m *raftpb.Message) error {
	replicaID := g.published.Load().replicaID
	if m.GetTo() != replicaID || m.GetSnapshot().GetIndex() == 0 {
		return fmt.Errorf("%w: snapshot of group %d at index %d is for replica %d, this host has replica %d",
			ErrRefused, g.id, m.GetSnapshot().GetIndex(), m.GetTo(), replicaID)
	}
	return ctx.Err()
}
