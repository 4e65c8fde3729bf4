package sidecar

import (
	"sync"
	"time"

	"ibistray.example/ibistray/proto/rpcpb"
	"ibistray.example/ibistray/proto/shardpb"
)

const (
	// endedRetention is how long an ended attempt is kept for entries that
	// attach late.
	endedRetention = 30 * time.Second
	maxFences      = 200_000
)

// attempts is the table of attempts and fences of one incarnation.
//
// Invariants: an attempt whose number is at most the fence of its call never
// starts; an attempt starts at most once; fences are kept for the whole life of
// the incarnation, so that a request that was delayed for long cannot start.
type attempts struct {
	mu      sync.Mutex
	calls   map[callID]*attempt
	ended   map[callID]time.Time // attempts whose work is over, by the time it ended
	fences  map[callID]uint64    // highest fenced attempt
	epochs  map[programID]uint64 // highest epoch seen
	running int
}

func newAttempts() *attempts {
	return &attempts{
		calls:  make(map[callID]*attempt),
		ended:  make(map[callID]time.Time),
		fences: make(map[callID]uint64),
		epochs: make(map[programID]uint64),
	}
}

// admission is the outcome of admit: an attempt to follow, started says that
// the caller must run it, or a refusal.
type admission struct {
	attempt *attempt
	started bool
	refused *rpcpb.RunRefused
}

func refusal(reason rpcpb.RunRefusal, notRun bool, detail string) *rpcpb.RunRefused {
	return &rpcpb.RunRefused{Reason: reason, NotRun: notRun, Detail: detail}
}

// admit finds or creates the attempt of a request. mayStart is asked before a
// new attempt is created; a refusal that says "not run" fences the attempt.
func (t *attempts) admit(req *rpcpb.RunRequest, mayStart func() *rpcpb.RunRefused) admission {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := callIDOf(req.Key)
	program := id.programID()
	if req.Epoch < t.epochs[program] {
		return admission{refused: refusal(rpcpb.RunRefusal_RUN_REFUSAL_FENCED, true, "a newer epoch of the program is known")}
	}
	known := t.calls[id]
	if known != nil && known.request.Attempt == req.Attempt {
		return admission{attempt: known}
	}
	if req.Attempt <= t.fences[id] {
		return admission{refused: refusal(rpcpb.RunRefusal_RUN_REFUSAL_FENCED, true, "the attempt is fenced")}
	}
	if known != nil && known.request.Attempt > req.Attempt {
		return admission{refused: refusal(rpcpb.RunRefusal_RUN_REFUSAL_FENCED, true, "a newer attempt is known")}
	}
	if req.AttachOnly {
		t.fence(id, req.Attempt)
		return admission{refused: refusal(rpcpb.RunRefusal_RUN_REFUSAL_UNKNOWN_ATTEMPT, true, "the attempt never started here")}
	}
	if refused := mayStart(); refused != nil {
		if refused.NotRun {
			t.fence(id, req.Attempt)
		}
		return admission{refused: refused}
	}
	if known != nil {
		known.stop()
	}
	a := newAttempt(req)
	t.calls[id] = a
	delete(t.ended, id)
	t.epochs[program] = req.Epoch
	t.running++
	return admission{attempt: a, started: true}
}

// fence records that an attempt must never start. The caller holds mu.
func (t *attempts) fence(id callID, number uint64) {
	t.fences[id] = max(t.fences[id], number)
}

// fenceCall serves a FenceRequest: it reports whether the attempt never
// started, and then makes sure that it never will.
func (t *attempts) fenceCall(key *shardpb.CallKey, number uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := callIDOf(key)
	if known := t.calls[id]; known != nil && known.request.Attempt >= number {
		return false
	}
	t.fence(id, number)
	return true
}

// full reports whether the table of fences has reached its limit. The caller
// holds mu.
func (t *attempts) full() bool {
	return len(t.fences) >= maxFences
}

// end records that the work of an attempt is over.
func (t *attempts) end(a *attempt, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	if t.calls[a.id] == a {
		t.ended[a.id] = now
	}
}

// sweep forgets ended attempts after endedRetention. None of them can start
// again: an entry asks once for the start of an attempt, and then only attaches.
func (t *attempts) sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, at := range t.ended {
		if now.Sub(at) < endedRetention {
			continue
		}
		if a := t.calls[id]; a != nil {
			delete(t.calls, id)
		}
		delete(t.ended, id)
	}
}

// runningCount returns the number of attempts whose work is not over.
func (t *attempts) runningCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running
}

// forgetProgram drops the epoch of an ended program.
func (t *attempts) forgetProgram(p programID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.epochs, p)
}
