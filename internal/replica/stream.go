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
	maxStreams    = 2 // snapshots sent at the same time
	streamTimeout = 5 * time.Minute
)

// startStream sends a snapshot in the background and reports its end to the node.
func (g *group) startStream(address string, m *raftpb.Message) {
	g.host.streams.Go(func() {
		err := g.host.stream(g.id, address, m)
		label := "sent"
		if err != nil {
			label = "send_failed"
			g.logger.Warn("snapshot not sent", "to", address, "error", err)
		}
		g.host.metrics.snapshots.WithLabelValues(label).Inc()
		g.core.post(func() {
			if !g.retired {
				g.node.ReportSnapshot(m.GetTo(), err == nil)
			}
		})
	})
}

func (h *Host) stream(group uint64, address string, m *raftpb.Message) error {
	ctx, cancel := context.WithTimeout(h.ctx, streamTimeout)
	defer cancel()
	select {
	case h.slots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-h.slots }()
	file, err := h.snapshots.openFile(group, m.GetSnapshot().GetIndex())
	if err != nil {
		return err
	}
	defer file.Close()
	return h.opts.Transport.SendSnapshot(ctx, address, m, file)
}

// ReceiveSnapshot takes in a snapshot that another host sends. It returns when
// the data is durable here and handed to the group, or with ErrUnknownGroup,
// ErrStopped, ErrSnapshotDamaged, ErrStorage or the error of data. After an
// error the sender tries again later.
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
	if errors.Is(err, ErrSnapshotDamaged) {
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

// checkSnapshot refuses a snapshot for another replica before its data is read.
func (g *group) checkSnapshot(ctx context.Context, m *raftpb.Message) error {
	replicaID := g.view.Load().replicaID
	if m.GetTo() != replicaID || m.GetSnapshot().GetIndex() == 0 {
		return fmt.Errorf("%w: snapshot of group %d for replica %d", ErrRefused, g.id, m.GetTo())
	}
	return ctx.Err()
}
