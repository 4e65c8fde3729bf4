package sidecar

import (
	"sync"
	"time"

	"ibistray.example/ibistray/proto/rpcpb"
	"ibistray.example/ibistray/proto/shardpb"
)

const (
	// endedRetentionPeriod is how long an ended attempt is kept for entries that
	// reattach to it.
	endedRetentionPeriod = 30 * time.Second
	// maxFences limits the memory that fences use. When it is reached, the sidecar
	// refuses new attempts.
	maxFences = 200_000
)

// attemptTable holds the attempts and fences of one incarnation. It is safe for
// concurrent use.
//
// Invariants: an attempt starts at most once, and not at all if its number is not above
// the fence of its call. Fences are kept until the process ends, so that even a request
// that was delayed for long cannot start a fenced attempt.
type attemptTable struct {
	mu      sync.Mutex
	calls   map[callID]*attempt  // newest attempt of each call
	ended   map[callID]time.Time // when the attempt in calls ended
	fences  map[callID]uint64    // highest fenced attempt number
	epochs  map[programID]uint64 // highest epoch seen
	running int
}

func newAttemptTable() *attemptTable {
	return &attemptTable{
		calls:  make(map[callID]*attempt),
		ended:  make(map[callID]time.Time),
		fences: make(map[callID]uint64),
		epochs: make(map[programID]uint64),
	}
}

// admission is the result of admit: either an attempt or a refusal.
type admission struct {
	attempt *attempt
	started bool // the attempt is new, and the caller must run it
	refused *rpcpb.RunRefused
}

// newRefusal returns a refusal. notRun guarantees that the attempt was not run.
func newRefusal(reason rpcpb.RunRefusal, notRun bool, detail string) *rpcpb.RunRefused {
	return &rpcpb.RunRefused{Reason: reason, NotRun: notRun, Detail: detail}
}

// admit finds or creates the attempt of a request. Before it creates one, it calls
// checkStart with mu held; checkStart returns nil or the reason to refuse the attempt. A
// refusal with NotRun set fences the attempt.
func (t *attemptTable) admit(req *rpcpb.RunRequest, checkStart func() *rpcpb.RunRefused) admission {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := callIDOf(req.Key)
	program := id.programID()
	if req.Epoch < t.epochs[program] {
		return admission{refused: newRefusal(rpcpb.RunRefusal_RUN_REFUSAL_FENCED, true, "a newer epoch of the program is known")}
	}
	existing := t.calls[id]
	if existing != nil && existing.request.Attempt == req.Attempt {
		return admission{attempt: existing}
	}
	if req.Attempt <= t.fences[id] {
		return admission{refused: newRefusal(rpcpb.RunRefusal_RUN_REFUSAL_FENCED, true, "the attempt is fenced")}
	}
	if existing != nil && existing.request.Attempt > req.Attempt {
		return admission{refused: newRefusal(rpcpb.RunRefusal_RUN_REFUSAL_FENCED, true, "a newer attempt is known")}
	}
	if req.AttachOnly {
		t.fence(id, req.Attempt)
		return admission{refused: newRefusal(rpcpb.RunRefusal_RUN_REFUSAL_UNKNOWN_ATTEMPT, true, "the attempt never started here")}
	}
	if refused := checkStart(); refused != nil {
		if refused.NotRun {
			t.fence(id, req.Attempt)
		}
		return admission{refused: refused}
	}
	if existing != nil {
		existing.stop()
	}
	a := newAttempt(req)
	t.calls[id] = a
	delete(t.ended, id)
	t.epochs[program] = req.Epoch
	t.running++
	return admission{attempt: a, started: true}
}

// fence records that an attempt must never start. The caller holds mu.
func (t *attemptTable) fence(id callID, number uint64) {
	t.fences[id] = max(t.fences[id], number)
}

// fenceUnlessStarted fences an attempt that has not started and returns true, or returns
// false if this or a newer attempt of the call has started.
func (t *attemptTable) fenceUnlessStarted(key *shardpb.CallKey, number uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := callIDOf(key)
	if existing := t.calls[id]; existing != nil && existing.request.Attempt >= number {
		return false
	}
	t.fence(id, number)
	return true
}

// fencesFull reports whether there are maxFences fences. The caller holds mu.
func (t *attemptTable) fencesFull() bool {
	return len(t.fences) >= maxFences
}

// markEnded records that an attempt has ended and that nothing remains to be done to make
// its answer durable.
func (t *attemptTable) markEnded(a *attempt, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	if t.calls[a.id] == a {
		t.ended[a.id] = now
	}
}

// sweep removes attempts that ended at least endedRetentionPeriod ago. None of them can start
// again: an entry requests the start of an attempt once, and then only attaches to it.
func (t *attemptTable) sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, endedAt := range t.ended {
		if now.Sub(endedAt) < endedRetentionPeriod {
			continue
		}
		if a := t.calls[id]; a != nil {
			delete(t.calls, id)
		}
		delete(t.ended, id)
	}
}

// runningCount returns the number of attempts that have not ended.
func (t *attemptTable) runningCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running
}

// removeProgram removes the epoch of an ended program.
func (t *attemptTable) removeProgram(p programID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.epochs, p)
}
