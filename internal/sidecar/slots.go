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
	alone   int // waiting attempts that must run alone
	queue   *order.Queue[*waiter]
	holder  *waiter // attempt that runs alone now, or nil
}

type waiter struct {
	alone   bool
	granted chan bool // true: a slot is held; false: the wait ended without one
}

func newSlots(limit int) *slots {
	return &slots{
		limit: limit,
		start: time.Now(),
		queue: order.NewQueue[*waiter](order.DefaultPolicy()),
	}
}

// acquire waits for a slot; it returns nil when it got one. It refuses the
// attempt at once when the queue is full or a call of higher priority takes the
// place, and when the context ends before a slot is free. A refused attempt was
// not run.
func (s *slots) acquire(ctx context.Context, a *attempt) *rpcpb.RunRefused {
	w := &waiter{alone: a.alone, granted: make(chan bool, 1)}
	call := s.describe(a.request, a.alone)
	if !s.enqueue(call, w) {
		return s.full("the queue of the backend server is full")
	}
	select {
	case ok := <-w.granted:
		if !ok {
			return s.full("a call of higher priority took the place in the queue")
		}
		return nil
	case <-ctx.Done():
		if s.abandon(call.ID, w) {
			return nil
		}
		return refusal(rpcpb.RunRefusal_RUN_REFUSAL_TIMEOUT, true, "the attempt was still waiting for the backend server")
	}
}

const fullRetryAfter = time.Second

func (s *slots) full(detail string) *rpcpb.RunRefused {
	r := refusal(rpcpb.RunRefusal_RUN_REFUSAL_FULL, true, detail)
	r.RetryAfterMs = fullRetryAfter.Milliseconds()
	return r
}

func (s *slots) describe(req *rpcpb.RunRequest, alone bool) order.Call {
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
		Alone:    alone,
	}
}

func (s *slots) enqueue(call order.Call, w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	shed, err := s.queue.Push(call, w)
	if err != nil {
		return false
	}
	if w.alone {
		s.alone++
	}
	if shed != nil {
		s.forget(shed.Value)
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
		s.forget(w)
		s.grant()
		return false
	}
	return <-w.granted
}

// forget counts out an attempt that no longer waits. The caller holds mu.
func (s *slots) forget(w *waiter) {
	if w.alone {
		s.alone--
	}
}

// release gives a slot back.
func (s *slots) release(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if a.alone {
		s.holder = nil
	}
	s.grant()
}

// grant hands free slots to the next calls. While an attempt that must run
// alone waits, nothing else is started, so that the server becomes free for it.
// The caller holds mu.
func (s *slots) grant() {
	for s.running < s.limit && s.holder == nil {
		if s.alone > 0 && s.running > 0 {
			return
		}
		item, ok := s.next()
		if !ok {
			return
		}
		s.running++
		if item.Value.alone {
			s.holder = item.Value
		}
		s.forget(item.Value)
		item.Value.granted <- true
	}
}

func (s *slots) next() (order.Item[*waiter], bool) {
	mustBeAlone := s.alone > 0
	return s.queue.PopIf(time.Since(s.start), func(c *order.Call) bool {
		return !mustBeAlone || c.Alone
	})
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
