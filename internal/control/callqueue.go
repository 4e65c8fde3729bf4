package control

import (
	"context"
	"slices"
	"sync"
)

// programKey identifies a program.
type programKey struct {
	customer string
	program  string
}

// callQueues holds the waiting calls of each program on this leader. Only the first
// call of a queue is proposed; the others wait without adding entries to the log.
type callQueues struct {
	mu     sync.Mutex
	queues map[programKey]*callQueue
}

// callQueue is the queue of one program. It is guarded by callQueues.mu.
type callQueue struct {
	calls   []*queuedCall // the next call first
	changed chan struct{} // closed and replaced when the queue changes
}

// queuedCall is a waiting call.
type queuedCall struct {
	queues   *callQueues
	program  programKey
	queue    *callQueue
	sequence uint64 // 0 for a call without a sequence number
}

func newCallQueues() *callQueues {
	return &callQueues{queues: make(map[programKey]*callQueue)}
}

// enqueue adds a call to the queue of its program. A call with a sequence number goes
// before those with a higher one; any other call goes to the end.
func (q *callQueues) enqueue(customer, program string, sequence uint64) *queuedCall {
	q.mu.Lock()
	defer q.mu.Unlock()
	key := programKey{customer: customer, program: program}
	queue := q.queues[key]
	if queue == nil {
		queue = &callQueue{changed: make(chan struct{})}
		q.queues[key] = queue
	}
	c := &queuedCall{queues: q, program: key, queue: queue, sequence: sequence}
	queue.insert(c)
	return c
}

// insert adds a call at its place in the order and wakes the waiting calls.
func (q *callQueue) insert(c *queuedCall) {
	at := len(q.calls)
	if c.sequence != 0 {
		later := slices.IndexFunc(q.calls, func(other *queuedCall) bool { return other.sequence > c.sequence })
		if later >= 0 {
			at = later
		}
	}
	q.calls = slices.Insert(q.calls, at, c)
	q.notify()
}

// notify wakes all waiting calls of the queue.
func (q *callQueue) notify() {
	close(q.changed)
	q.changed = make(chan struct{})
}

// waitUntilFirst returns true when the call is the first of its queue, and false when
// the context ends before that.
func (c *queuedCall) waitUntilFirst(ctx context.Context) bool {
	for {
		first, changed := c.position()
		if first {
			return ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// waitForChange returns true when the program or the queue changes, and false when the
// context ends before that.
func (c *queuedCall) waitForChange(ctx context.Context, programChanged <-chan struct{}) bool {
	_, queueChanged := c.position()
	select {
	case <-programChanged:
	case <-queueChanged:
	case <-ctx.Done():
		return false
	}
	return true
}

// position reports whether the call is the first of its queue. The channel is closed
// at the next change of the queue.
func (c *queuedCall) position() (first bool, changed <-chan struct{}) {
	c.queues.mu.Lock()
	defer c.queues.mu.Unlock()
	return c.queue.calls[0] == c, c.queue.changed
}

// dequeue removes the call from its queue.
func (c *queuedCall) dequeue() {
	c.queues.mu.Lock()
	defer c.queues.mu.Unlock()
	q := c.queue
	q.calls = slices.DeleteFunc(q.calls, func(other *queuedCall) bool { return other == c })
	q.notify()
	if len(q.calls) == 0 {
		delete(c.queues.queues, c.program)
	}
}
