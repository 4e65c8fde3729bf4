package replica

import (
	"context"
	"fmt"

	"ibistray.example/ibistray/internal/raft"
)

// readQueue holds the pending reads of a group.
type readQueue struct {
	lastContext    uint64                // raft context of the latest quorum read
	awaitingQuorum map[uint64]chan error // reads that wait for a quorum round, by raft context
	awaitingApply  []pendingRead         // reads that wait for the state machine
	appliedIndex   uint64                // of the state machine
}

type pendingRead struct {
	index  uint64
	result chan error // buffered: receives one result
}

func (q *readQueue) init() {
	q.awaitingQuorum = make(map[uint64]chan error)
}

// completeWhenApplied completes a read once the state machine has applied index.
func (q *readQueue) completeWhenApplied(index uint64, result chan error) {
	if index <= q.appliedIndex {
		result <- nil
		return
	}
	q.awaitingApply = append(q.awaitingApply, pendingRead{index: index, result: result})
}

func (q *readQueue) setApplied(index uint64) {
	q.appliedIndex = max(q.appliedIndex, index)
	waiting := q.awaitingApply
	q.awaitingApply = nil
	for _, read := range waiting {
		q.completeWhenApplied(read.index, read.result)
	}
}

// fail completes all pending reads with an error.
func (q *readQueue) fail(err error) {
	for context, result := range q.awaitingQuorum {
		delete(q.awaitingQuorum, context)
		result <- err
	}
	for _, read := range q.awaitingApply {
		read.result <- err
	}
	q.awaitingApply = nil
}

// ReadBarrier implements Log. With a valid lease it sends no message; otherwise the
// leader confirms its leadership with a quorum. Errors: ErrNotLeader,
// ErrUnavailable when the replica does not participate yet, ErrUnknownGroup,
// ErrStopped and the error of ctx.
func (h *Host) ReadBarrier(ctx context.Context, id uint64) error {
	err := h.readBarrier(ctx, id)
	if err != nil {
		h.metrics.reads.WithLabelValues(outcomeLabel(err)).Inc()
	}
	return err
}

func (h *Host) readBarrier(ctx context.Context, id uint64) error {
	g, err := h.lookup(id)
	if err != nil {
		return err
	}
	if h.stopping.Load() {
		return ErrStopped
	}
	result := make(chan error, 1)
	g.core.post(func() { g.startRead(result) })
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-h.done:
		return ErrStopped
	}
}

// startRead starts a read. The core mailbox delivers missed ticks before it, so the
// lease is checked against the current time.
func (g *group) startRead(result chan error) {
	if g.removed || g.node == nil {
		result <- g.refusalError(ErrUnavailable)
		return
	}
	if index, ok := g.node.LeaseRead(); ok {
		g.host.metrics.reads.WithLabelValues(readByLease).Inc()
		g.reads.completeWhenApplied(index, result)
		return
	}
	g.reads.lastContext++
	if err := g.node.ReadIndex(g.reads.lastContext); err != nil {
		result <- g.refusalError(err)
		return
	}
	g.host.metrics.reads.WithLabelValues(readByQuorum).Inc()
	g.reads.awaitingQuorum[g.reads.lastContext] = result
}

// completeReads handles reads that a quorum has confirmed or that were aborted.
func (g *group) completeReads(states []raft.ReadState) {
	for _, state := range states {
		result := g.reads.awaitingQuorum[state.Context]
		delete(g.reads.awaitingQuorum, state.Context)
		if result == nil {
			continue
		}
		if state.Aborted {
			result <- fmt.Errorf("group %d: %w", g.id, ErrNotLeader)
			continue
		}
		g.reads.completeWhenApplied(state.Index, result)
	}
}
