package replica

import (
	"context"
	"fmt"

	"ibistray.example/ibistray/internal/raft"
)

// readQueue holds the reads of a group that are not answered yet.
type readQueue struct {
	last    uint64                // context of the latest read
	rounds  map[uint64]chan error // wait for a round, by context
	waiting []waitingRead         // wait for the state machine
	held    uint64                // index that the state machine holds
}

type waitingRead struct {
	index  uint64
	result chan error // has room for one
}

func (q *readQueue) init() {
	q.rounds = make(map[uint64]chan error)
}

// await answers a read when the state machine holds index.
func (q *readQueue) await(index uint64, result chan error) {
	if index <= q.held {
		result <- nil
		return
	}
	q.waiting = append(q.waiting, waitingRead{index: index, result: result})
}

func (q *readQueue) applied(index uint64) {
	q.held = max(q.held, index)
	waiting := q.waiting
	q.waiting = nil
	for _, read := range waiting {
		q.await(read.index, read.result)
	}
}

// fail answers all reads with an error.
func (q *readQueue) fail(err error) {
	for context, result := range q.rounds {
		delete(q.rounds, context)
		result <- err
	}
	for _, read := range q.waiting {
		read.result <- err
	}
	q.waiting = nil
}

// ReadBarrier implements Log. Under a valid lease it costs no message; else the
// leader asks a quorum. It returns ErrUnavailable when the replica does not take
// part yet, and the context's error.
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
	g.core.post(func() { g.read(result) })
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-h.done:
		return ErrStopped
	}
}

// read begins a read. It runs after the overdue ticks, so the lease is judged by
// the present time.
func (g *group) read(result chan error) {
	if g.retired || g.node == nil {
		result <- g.notTaken(ErrUnavailable)
		return
	}
	if index, ok := g.node.LeaseRead(); ok {
		g.host.metrics.reads.WithLabelValues(readByLease).Inc()
		g.reads.await(index, result)
		return
	}
	g.reads.last++
	if err := g.node.ReadIndex(g.reads.last); err != nil {
		result <- g.notTaken(err)
		return
	}
	g.host.metrics.reads.WithLabelValues(readByRound).Inc()
	g.reads.rounds[g.reads.last] = result
}

// handReads takes in the reads that a quorum has confirmed.
func (g *group) handReads(states []raft.ReadState) {
	for _, state := range states {
		result := g.reads.rounds[state.Context]
		delete(g.reads.rounds, state.Context)
		if result == nil {
			continue
		}
		if state.Aborted {
			result <- fmt.Errorf("group %d: %w", g.id, ErrNotLeader)
			continue
		}
		g.reads.await(state.Index, result)
	}
}
