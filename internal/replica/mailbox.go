package replica

import "sync"

// runQueue runs scheduled mailboxes on a fixed number of goroutines, in FIFO order.
type runQueue struct {
	contain func(func()) error // calls a function and returns its panic as an error
	fail    func(error)        // reports a panic
	mu      sync.Mutex
	wake    *sync.Cond
	ready   []*mailbox
	closed  bool
	workers sync.WaitGroup
}

func newRunQueue(workers int, contain func(func()) error, fail func(error)) *runQueue {
	q := &runQueue{contain: contain, fail: fail}
	q.wake = sync.NewCond(&q.mu)
	for range workers {
		q.workers.Go(q.work)
	}
	return q
}

func (q *runQueue) push(m *mailbox) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return
	}
	q.ready = append(q.ready, m)
	q.wake.Signal()
}

func (q *runQueue) pop() *mailbox {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.ready) == 0 && !q.closed {
		q.wake.Wait()
	}
	if q.closed {
		return nil
	}
	m := q.ready[0]
	q.ready = q.ready[1:]
	return m
}

// work runs mailboxes. One that has panicked stays scheduled, so it never runs again: its state is in
// doubt.
func (q *runQueue) work() {
	for m := q.pop(); m != nil; m = q.pop() {
		if err := q.contain(m.run); err != nil {
			q.fail(err)
		}
	}
}

// close stops the workers and waits for them. Mailboxes that are still queued do not
// run.
func (q *runQueue) close() {
	q.mu.Lock()
	q.closed = true
	q.ready = nil
	q.wake.Broadcast()
	q.mu.Unlock()
	q.workers.Wait()
}

// mailbox is a queue of work items that run on one worker at a time.
type mailbox struct {
	queue   *runQueue
	process func(items []func())

	mu        sync.Mutex
	items     []func()
	scheduled bool
}

// post adds an item.
func (m *mailbox) post(item func()) {
	m.postLimited(item, 0)
}

// postLimited adds an item unless the mailbox already holds limit items; 0 means no
// limit. It reports whether the item was added.
func (m *mailbox) postLimited(item func(), limit int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if limit > 0 && len(m.items) >= limit {
		return false
	}
	m.items = append(m.items, item)
	m.schedule()
	return true
}

// wakeUp schedules the mailbox even if it holds no items.
func (m *mailbox) wakeUp() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.schedule()
}

// schedule queues the mailbox unless it is queued or running. The caller holds m.mu.
func (m *mailbox) schedule() {
	if m.scheduled {
		return
	}
	m.scheduled = true
	m.queue.push(m)
}

func (m *mailbox) run() {
	m.mu.Lock()
	items := m.items
	m.items = nil
	m.mu.Unlock()

	m.process(items)

	m.mu.Lock()
	defer m.mu.Unlock()
	m.scheduled = false
	if len(m.items) > 0 {
		m.schedule()
	}
}
