package transport

import (
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"
)

// queued is a message whose identity is that of its pointer.
type queued interface {
	proto.Message
	comparable
}

// sendQueue batches the calls or replies that are to be sent on a shared stream:
// items that are added while a message is written go into the next message.
type sendQueue[M queued] struct {
	mu     sync.Mutex
	cond   *sync.Cond
	items  []M
	closed bool
}

func newSendQueue[M queued]() *sendQueue[M] {
	q := new(sendQueue[M])
	q.cond = sync.NewCond(&q.mu)
	return q
}

// add queues an item. It does nothing after close.
func (q *sendQueue[M]) add(item M) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return
	}
	q.items = append(q.items, item)
	q.cond.Signal()
}

// remove takes an item off the queue whose sender has given up. A stream that stands still would
// otherwise keep all attempts of a caller that tries again.
func (q *sendQueue[M]) remove(item M) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if i := slices.Index(q.items, item); i >= 0 {
		q.items = slices.Delete(slices.Clone(q.items), i, i+1)
	}
}

// take waits until the queue has items, then removes and returns the oldest ones: at
// least one, and as many as fit into maxBatchBytes. It returns nil after close.
func (q *sendQueue[M]) take() []M {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.items) == 0 && !q.closed {
		q.cond.Wait()
	}
	if q.closed {
		return nil
	}
	size := 0
	for i, item := range q.items {
		size += proto.Size(item)
		if i > 0 && size > maxBatchBytes {
			taken := q.items[:i:i]
			q.items = q.items[i:]
			return taken
		}
	}
	taken := q.items
	q.items = nil
	return taken
}

// close discards the queued items and ends waiting calls of take.
func (q *sendQueue[M]) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.items = nil
	q.cond.Broadcast()
}
