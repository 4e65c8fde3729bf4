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

// slots limits the attempts that run on the backend server at once, decides which others
// may wait, and queues these in the order of the policy. It is safe for concurrent use.
type slots struct {
	start  time.Time // origin of the times in the queue
	policy admit.Policy

	mu           sync.Mutex
	limit        int
	cacheShare   float64       // share of the engine's cache that prefixes occupy, 0 to 1
	meanRunTime  time.Duration // moving average over the ended attempts
	runTimes     int           // number of ended attempts
	running      int
	aloneWaiting int // waiting attempts that must run alone
	queue        *order.Queue[*waiter]
	aloneRunning *waiter // running attempt that must run alone, or nil
}

// waiter is an attempt that waits for a slot.
type waiter struct {
	alone   bool
	granted chan bool         // receives true with a slot, false with a refusal
	refused *rpcpb.RunRefused // set before granted receives false
}

// refuse ends the wait of an attempt that was removed from the queue.
func (w *waiter) refuse(refused *rpcpb.RunRefused) {
	w.refused = refused
	w.granted <- false
}

const (
	// initialRunTime is the assumed mean run time in estimates of the wait before any
	// attempt has ended.
	initialRunTime = 6 * time.Second
	// runTimeWeight is the weight of the newest run time in the moving average, which
	// starts as a plain average.
	runTimeWeight = 0.05
)

func newSlots(limit int) *slots {
	return &slots{
		start:       time.Now(),
		policy:      admit.DefaultPolicy(),
		limit:       limit,
		meanRunTime: initialRunTime,
		queue:       order.NewQueue[*waiter](order.DefaultPolicy()),
	}
}

// update sets the number of slots and the share of the engine's cache that prefixes
// occupy. It grants slots that become free.
func (s *slots) update(limit int, cacheShare float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
	s.cacheShare = cacheShare
	s.grant()
}

// refuseLateNow refuses the waiting calls that can no longer end in time while no slot
// becomes free. Otherwise they would wait until the deadline, at which their entry ends
// them without knowing that they were not run.
func (s *slots) refuseLateNow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grant()
}

// decideAdmission decides whether an attempt may wait for a slot.
func (s *slots) decideAdmission(req *rpcpb.RunRequest) admit.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Since(s.start)
	request := admit.Request{
		Priority:   req.Priority,
		NewProgram: req.HistoryTurns == 0,
		RunTime:    s.expectedRunTime(),
		Deadline:   now + time.Duration(req.TimeoutMs)*time.Millisecond,
	}
	return s.policy.Decide(request, s.estimateLoad(req.Priority), now)
}

// expectedRunTime returns the expected run time of an attempt, or 0 if none has ended yet. No
// deadline is too short for an unknown run time. The caller holds mu.
func (s *slots) expectedRunTime() time.Duration {
	if s.runTimes == 0 {
		return 0
	}
	return s.meanRunTime
}

// estimateLoad returns the load with the expected wait of a new attempt of the given
// priority. The caller holds mu.
func (s *slots) estimateLoad(priority int32) admit.Load {
	load := admit.Load{Running: s.running, Waiting: s.queue.Len(), MemoryShare: s.cacheShare}
	if s.running >= s.limit {
		ahead := s.queue.Ahead(priority) + 1
		load.ExpectedWait = s.meanRunTime * time.Duration(ahead) / time.Duration(s.limit)
	}
	return load
}

// acquire waits for a slot and returns nil when it has one. It returns a refusal if the
// queue is full, if a call of higher priority displaces the attempt from the queue, if the
// attempt can no longer end before its deadline, or if ctx ends first. A refused attempt
// was not run.
func (s *slots) acquire(ctx context.Context, a *attempt) *rpcpb.RunRefused {
	w := &waiter{alone: a.alone, granted: make(chan bool, 1)}
	call := s.newQueuedCall(a.request, a.alone)
	if !s.enqueue(call, w) {
		return newRetryRefusal(rpcpb.RunRefusal_RUN_REFUSAL_FULL, "the queue of the backend server is full", queueFullRetryAfter)
	}
	select {
	case ok := <-w.granted:
		if !ok {
			return w.refused
		}
		a.started = time.Now()
		return nil
	case <-ctx.Done():
		if s.cancelWait(call.ID, w) {
			a.started = time.Now()
			return nil
		}
		return newRefusal(rpcpb.RunRefusal_RUN_REFUSAL_TIMEOUT, true, "the attempt was still waiting for the backend server")
	}
}

// queueFullRetryAfter is the delay that entries are told to wait before a retry when a
// queue or table is full.
const queueFullRetryAfter = time.Second

// newRetryRefusal returns a refusal of an attempt that was not run, with the delay after
// which to retry.
func newRetryRefusal(reason rpcpb.RunRefusal, detail string, retryAfter time.Duration) *rpcpb.RunRefused {
	r := newRefusal(reason, true, detail)
	r.RetryAfterMs = retryAfter.Milliseconds()
	return r
}

// newAdmissionRefusal returns the refusal of an attempt that admission control refused.
func newAdmissionRefusal(d admit.Decision) *rpcpb.RunRefused {
	return newRetryRefusal(rpcpb.RunRefusal_RUN_REFUSAL_NOT_ADMITTED, "not admitted: "+string(d.Reason), d.RetryAfter)
}

// newQueuedCall returns the call that represents an attempt in the queue.
func (s *slots) newQueuedCall(req *rpcpb.RunRequest, alone bool) order.Call {
	id := callIDOf(req.Key)
	now := time.Since(s.start)
	return order.Call{
		ID:             id.programID().String() + "/" + id.call + "#" + strconv.FormatUint(req.Attempt, 10),
		Program:        id.programID().String(),
		Customer:       id.customer,
		Priority:       req.Priority,
		SharePermille:  req.EngineSharePermille,
		AttainedTokens: req.AttainedTokens,
		Cost:           req.MaxOutputTokens,
		Arrived:        now,
		Deadline:       deadlineOf(req, now),
		Alone:          alone,
	}
}

// deadlineOf returns the deadline of an attempt that arrives now, or 0 if it has none.
func deadlineOf(req *rpcpb.RunRequest, now time.Duration) time.Duration {
	if req.TimeoutMs <= 0 {
		return 0
	}
	return now + time.Duration(req.TimeoutMs)*time.Millisecond
}

// enqueue adds a call to the queue and grants free slots. It returns false if the queue is
// full. A call that it displaces is refused through its waiter.
func (s *slots) enqueue(call order.Call, w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	displaced, err := s.queue.Push(call, w)
	if err != nil {
		return false
	}
	if w.alone {
		s.aloneWaiting++
	}
	if displaced != nil {
		s.recordDequeue(displaced.Value)
		displaced.Value.refuse(newRetryRefusal(rpcpb.RunRefusal_RUN_REFUSAL_SHED, "a call of higher priority took the place in the queue", queueFullRetryAfter))
	}
	s.grant()
	return true
}

// cancelWait removes a call from the queue after its context ended. It returns true if the
// call was granted a slot at the same time: the attempt then runs with its context ended,
// fails, and releases the slot.
func (s *slots) cancelWait(id string, w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, waiting := s.queue.Remove(id); waiting {
		s.recordDequeue(w)
		s.grant()
		return false
	}
	return <-w.granted
}

// recordDequeue updates aloneWaiting for an attempt that no longer waits. The caller holds
// mu.
func (s *slots) recordDequeue(w *waiter) {
	if w.alone {
		s.aloneWaiting--
	}
}

// release frees the slot of an attempt and updates the mean run time.
func (s *slots) release(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.runTimes++
	weight := max(runTimeWeight, 1/float64(s.runTimes))
	s.meanRunTime += time.Duration(weight * float64(time.Since(a.started)-s.meanRunTime))
	if a.alone {
		s.aloneRunning = nil
	}
	s.grant()
}

// grant gives free slots to the next calls. While an attempt that must run alone waits,
// no other attempt is started, so that the running ones end and free the server for it.
// Before that it refuses the calls that can no longer end in time. The caller holds mu.
func (s *slots) grant() {
	s.refuseLate()
	for s.running < s.limit {
		item, ok := s.popNext()
		if !ok {
			return
		}
		s.running++
		if item.Value.alone {
			s.aloneRunning = item.Value
		}
		s.recordDequeue(item.Value)
		item.Value.granted <- true
	}
}

// refuseLate refuses the waiting calls that are not expected to end before their deadline
// any more. The caller holds mu.
func (s *slots) refuseLate() {
	now := time.Since(s.start)
	late := s.queue.RemoveIf(func(c *order.Call) bool { return !s.decideStart(c, now).Admit })
	for _, item := range late {
		s.recordDequeue(item.Value)
		item.Value.refuse(newAdmissionRefusal(s.decideStart(&item.Call, now)))
	}
}

func (s *slots) decideStart(c *order.Call, now time.Duration) admit.Decision {
	return s.policy.DecideStart(admit.Request{RunTime: s.expectedRunTime(), Deadline: c.Deadline}, now)
}

// popNext removes the next call that may start now from the queue. The caller holds mu.
func (s *slots) popNext() (order.Item[*waiter], bool) {
	aloneFirst := s.aloneWaiting > 0
	return s.queue.PopIf(time.Since(s.start), func(c *order.Call) bool {
		status := quarantine.StatusClear
		if c.Alone {
			status = quarantine.StatusSuspect
		}
		return c.Alone == aloneFirst && quarantine.MayStart(status, s.running, s.aloneRunning != nil)
	})
}

// counts returns the numbers of running and waiting attempts.
func (s *slots) counts() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, s.queue.Len()
}
