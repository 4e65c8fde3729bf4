package sidecar

import (
	"context"
	"strconv"
	"sync"
	"time"

	"ibistray.example/ibistray/internal/policy/admit"
	"ibistray.example/ibistray/internal/policy/order"
	"ibistray.example/ibistray/internal/policy/quarantine"
	"ibistray.example/ibistray/proto/rpcpb"
)

// slots bounds the attempts that run on the backend server, admits those that may
// wait and queues them in the order of the policy. It is safe for concurrent use.
type slots struct {
	start time.Time
	admit admit.Policy

	mu      sync.Mutex
	limit   int
	memory  float64       // share of the engine's cache that programs hold
	meanRun time.Duration // of an attempt, from start to end
	running int
	alone   int // waiting attempts that must run alone
	queue   *order.Queue[*waiter]
	holder  *waiter // attempt that runs alone now, or nil
}

type waiter struct {
	alone   bool
	granted chan bool // true: a slot is held; false: the wait ended without one
}

const (
	// initialRun is the assumed run time of an attempt before any has ended.
	initialRun = 6 * time.Second
	// runWeight is the weight of the newest attempt in the mean run time.
	runWeight = 0.05
)

func newSlots(limit int) *slots {
	return &slots{
		start:   time.Now(),
		admit:   admit.DefaultPolicy(),
		limit:   limit,
		meanRun: initialRun,
		queue:   order.NewQueue[*waiter](order.DefaultPolicy()),
	}
}

// observe takes how many calls the engine runs together, and the share of its
// cache that programs hold.
func (s *slots) observe(limit int, memory float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
	s.memory = memory
	s.grant()
}

// admission decides whether an attempt may wait here.
func (s *slots) admission(req *rpcpb.RunRequest) admit.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Since(s.start)
	request := admit.Request{
		Priority:   req.Priority,
		NewProgram: req.HistoryTurns == 0,
		RunTime:    s.meanRun,
		Deadline:   now + time.Duration(req.TimeoutMs)*time.Millisecond,
	}
	return s.admit.Decide(request, s.waitOf(req.Priority), now)
}

// waitOf estimates the wait of a new attempt. The caller holds mu.
func (s *slots) waitOf(priority int32) admit.Load {
	load := admit.Load{Running: s.running, Waiting: s.queue.Len(), MemoryShare: s.memory}
	if s.running >= s.limit {
		ahead := s.queue.Ahead(priority) + 1
		load.ExpectedWait = s.meanRun * time.Duration(ahead) / time.Duration(s.limit)
	}
	return load
}

// acquire waits for a slot; it returns nil when it got one. It refuses the
// attempt at once when the queue is full or a call of higher priority takes the
// place, and when the context ends before a slot is free. A refused attempt was
// not run.
func (s *slots) acquire(ctx context.Context, a *attempt) *rpcpb.RunRefused {
	w := &waiter{alone: a.alone, granted: make(chan bool, 1)}
	call := s.describe(a.request, a.alone)
	if !s.enqueue(call, w) {
		return refuseUntil(rpcpb.RunRefusal_RUN_REFUSAL_FULL, "the queue of the backend server is full", fullRetryAfter)
	}
	select {
	case ok := <-w.granted:
		if !ok {
			return refuseUntil(rpcpb.RunRefusal_RUN_REFUSAL_SHED, "a call of higher priority took the place in the queue", fullRetryAfter)
		}
		a.started = time.Now()
		return nil
	case <-ctx.Done():
		if s.abandon(call.ID, w) {
			a.started = time.Now()
			return nil
		}
		return refusal(rpcpb.RunRefusal_RUN_REFUSAL_TIMEOUT, true, "the attempt was still waiting for the backend server")
	}
}

const fullRetryAfter = time.Second

// refuseUntil refuses an attempt that was not run and says when to come back.
func refuseUntil(reason rpcpb.RunRefusal, detail string, retryAfter time.Duration) *rpcpb.RunRefused {
	r := refusal(reason, true, detail)
	r.RetryAfterMs = retryAfter.Milliseconds()
	return r
}

func (s *slots) describe(req *rpcpb.RunRequest, alone bool) order.Call {
	id := callIDOf(req.Key)
	return order.Call{
		ID:             id.programID().String() + "/" + id.call + "#" + strconv.FormatUint(req.Attempt, 10),
		Program:        id.programID().String(),
		Customer:       id.customer,
		Priority:       req.Priority,
		SharePermille:  req.EngineSharePermille,
		AttainedTokens: req.AttainedTokens,
		Cost:           req.MaxOutputTokens,
		Arrived:        time.Since(s.start),
		Alone:          alone,
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
	s.meanRun += time.Duration(runWeight * float64(time.Since(a.started)-s.meanRun))
	if a.alone {
		s.holder = nil
	}
	s.grant()
}

// grant hands free slots to the next calls. While an attempt that must run
// alone waits, nothing else is started, so that the server becomes free for it.
// The caller holds mu.
func (s *slots) grant() {
	for s.running < s.limit {
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
	aloneFirst := s.alone > 0
	return s.queue.PopIf(time.Since(s.start), func(c *order.Call) bool {
		status := quarantine.StatusClear
		if c.Alone {
			status = quarantine.StatusSuspect
		}
		return c.Alone == aloneFirst && quarantine.MayStart(status, s.running, s.holder != nil)
	})
}

// counts returns the running and the waiting attempts.
func (s *slots) counts() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, s.queue.Len()
}
