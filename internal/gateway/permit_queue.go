package gateway

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

// permitQueues orders the requests of this entry that wait for a permit, by service. Only
// the first of a service asks for one. It is safe for concurrent use.
type permitQueues struct {
	mu        sync.Mutex
	byService map[string][]*permitWaiter
	sequence  uint64
}

// permitWaiter is a request in a queue. Requests of running programs come before those that
// begin one, more urgent routes before others, and earlier requests before later ones.
type permitWaiter struct {
	service    string
	newProgram bool
	priority   int // of the route; 0 is the most urgent
	sequence   uint64
	joined     time.Time
	first      chan struct{} // closed when the request is the first of its queue
}

func newPermitQueues() *permitQueues {
	return &permitQueues{byService: make(map[string][]*permitWaiter)}
}

func comparePermitWaiters(a, b *permitWaiter) int {
	return cmp.Or(
		cmp.Compare(classRank(a.newProgram), classRank(b.newProgram)),
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.sequence, b.sequence),
	)
}

func classRank(newProgram bool) int {
	if newProgram {
		return 1
	}
	return 0
}

// join adds a request to the queue of a service. The caller calls leave afterwards.
func (q *permitQueues) join(service string, newProgram bool, priority int) *permitWaiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sequence++
	w := &permitWaiter{service: service, newProgram: newProgram, priority: priority, sequence: q.sequence, joined: time.Now(), first: make(chan struct{})}
	list := q.byService[service]
	at, _ := slices.BinarySearchFunc(list, w, comparePermitWaiters)
	q.byService[service] = slices.Insert(list, at, w)
	q.signalFirst(service)
	return w
}

// leave removes a request from its queue.
func (q *permitQueues) leave(w *permitWaiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := slices.DeleteFunc(q.byService[w.service], func(other *permitWaiter) bool { return other == w })
	q.byService[w.service] = list
	if len(list) == 0 {
		delete(q.byService, w.service)
	}
	q.signalFirst(w.service)
}

// signalFirst wakes the first request of a queue. The caller holds the mutex.
func (q *permitQueues) signalFirst(service string) {
	list := q.byService[service]
	if len(list) == 0 {
		return
	}
	select {
	case <-list[0].first:
	default:
		close(list[0].first)
	}
}

// mayAsk reports whether a request may ask for a permit: it is the first of the queue, or
// nobody waits. w is nil for a request that does not wait.
func (q *permitQueues) mayAsk(service string, w *permitWaiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := q.byService[service]
	return len(list) == 0 || list[0] == w
}

// ahead returns the number of requests that come before w.
func (q *permitQueues) ahead(w *permitWaiter) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return max(0, slices.Index(q.byService[w.service], w))
}

// wait waits until w is the first of its queue and then for a delay. It returns early after
// limit or when ctx ends.
func (w *permitWaiter) wait(ctx context.Context, delay, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-timer.C:
		return
	case <-w.first:
	}
	timer.Reset(min(delay, limit))
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
