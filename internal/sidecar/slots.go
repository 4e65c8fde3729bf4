package sidecar

import (
	"context"
	"strconv"
	"sync"
	"time"

	"ibistray.example/ibistray/internal/policy/order"
	"ibistray.example/ibistray/proto/rpcpb"
)

// slots bounds the attempts that run on the backend server and queues the
// others in the order of the policy. It is safe for concurrent use.
type slots struct {
	limit int
	start time.Time

	mu      sync.Mutex
	running int
	queue   *order.Queue[*waiter]
}

type waiter struct {
	granted chan bool // true: a slot is held; false: the wait ended without one
}

func newSlots(limit int) *slots {
	return &slots{
		limit: limit,
		start: time.Now(),
		queue: order.NewQueue[*waiter](order.DefaultPolicy()),
	}
}

// acquire waits for a slot and reports whether it got one. It returns false
// when the context ends, or at once when the queue is full or a call of higher
// priority takes the place.
func (s *slots) acquire(ctx context.Context, req *rpcpb.RunRequest) bool {
	w := &waiter{granted: make(chan bool, 1)}
	call := s.describe(req)
	if !s.enqueue(call, w) {
		return false
	}
	select {
	case ok := <-w.granted:
		return ok
	case <-ctx.Done():
		return s.abandon(call.ID, w)
	}
}

func (s *slots) describe(req *rpcpb.RunRequest) order.Call {
	id := callIDOf(req.Key)
	return order.Call{
		ID:       id.programID().String() + "/" + id.call + "#" + strconv.FormatUint(req.Attempt, 10),
		Program:  id.programID().String(),
		Customer: id.customer,
		Priority: req.Priority,
		Share:    req.EngineSharePermille,
		Attained: req.AttainedTokens,
		Cost:     req.MaxOutputTokens,
		Arrived:  time.Since(s.start),
	}
}

func (s *slots) enqueue(call order.Call, w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	shed, err := s.queue.Push(call, w)
	if err != nil {
		return false
	}
	if shed != nil {
		shed.Value.granted <- false
	}
	s.grant()
	return true
}

// abandon takes a call out of the queue after its context ended. A slot that
// was granted at the same moment is kept: the caller runs into its own deadline
// and releases it.
func (s *slots) abandon(id string, w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, waiting := s.queue.Remove(id); waiting {
		return false
	}
	return <-w.granted
}

// release gives a slot back.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.grant()
}

// grant hands free slots to the next calls. The caller holds mu.
func (s *slots) grant() {
	for s.running < s.limit {
		item, ok := s.queue.Pop(time.Since(s.start))
		if !ok {
			return
		}
		s.running++
		item.Value.granted <- true
	}
}

// hasRoom reports whether another call may wait. A call of a higher priority
// than a waiting one may be taken all the same by enqueue.
func (s *slots) hasRoom() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Len() < order.DefaultPolicy().Capacity
}

// counts returns the running and the waiting attempts.
func (s *slots) counts() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, s.queue.Len()
}
