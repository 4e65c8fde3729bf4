package sidecar

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

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
// that was delayed for long cannot start a fenced attempt. An attempt is reported as not
// run only if that is certain: swept attempts are remembered, see sweptAttempts.
type attemptTable struct {
	mu      sync.Mutex
	calls   map[callID]*attempt  // newest attempt of each call
	ended   map[callID]time.Time // when the attempt in calls ended
	fences  map[callID]uint64    // highest fenced attempt number
	epochs  map[programID]uint64 // highest epoch seen
	running int
	outputs *outputs

	// swept has the attempts that may have run and whose call may still be open, answered
	// has those with a committed answer. They are apart because an answered attempt may be
	// dropped early: its shard accepts no other attempt, whatever this table reports.
	swept    *sweptAttempts
	answered *sweptAttempts
}

func newAttemptTable() *attemptTable {
	return &attemptTable{
		calls:  make(map[callID]*attempt),
		ended:  make(map[callID]time.Time),
		fences: make(map[callID]uint64),
		epochs: make(map[programID]uint64),

		outputs: &outputs{limits: outputLimits},

		swept:    newSweptAttempts(maxSwept),
		answered: newSweptAttempts(maxAnswered),
	}
}

// admission is the result of admit: either an attempt or a refusal.
type admission struct {
	attempt *attempt
	started bool // the attempt is new, and the caller must run it
	refused *rpcpb.RunRefused
}

// newRefusal returns a refusal. notRun guarantees that the attempt was not run. detail may be
// text of a backend server: bytes that are not UTF-8 are replaced, since no message could carry
// them.
func newRefusal(reason rpcpb.RunRefusal, notRun bool, detail string) *rpcpb.RunRefused {
	return &rpcpb.RunRefused{Reason: reason, NotRun: notRun, Detail: strings.ToValidUTF8(detail, string(utf8.RuneError))}
}

// admit finds or creates the attempt of a request. Before it creates one, it calls
// checkStart with mu held; checkStart returns nil or the reason to refuse the attempt. A
// refusal with NotRun set fences the attempt.
func (t *attemptTable) admit(req *rpcpb.RunRequest, checkStart func() *rpcpb.RunRefused) admission {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := callIDOf(req.Key)
	program := id.programID()
	existing := t.calls[id]
	if existing != nil && existing.request.Attempt == req.Attempt && req.Epoch >= t.epochs[program] {
		return admission{attempt: existing}
	}
	if refused := t.refuseOutdated(id, req); refused != nil {
		return admission{refused: refused}
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
	if _, ended := t.ended[id]; ended {
		existing.drop()
	}
	a := newAttempt(req)
	a.outputs = t.outputs
	t.outputs.begin()
	t.calls[id] = a
	delete(t.ended, id)
	t.epochs[program] = req.Epoch
	t.running++
	return admission{attempt: a, started: true}
}

// refuseOutdated refuses an attempt that must not start any more, and an attachment to an
// attempt that may have run. It returns nil for others. The caller holds mu.
func (t *attemptTable) refuseOutdated(id callID, req *rpcpb.RunRequest) *rpcpb.RunRefused {
	n := attemptNumber{epoch: req.Epoch, number: req.Attempt}
	notRun := !t.mayHaveRun(id, n)
	existing := t.calls[id]
	detail := ""
	switch {
	case req.Epoch < t.epochs[id.programID()]:
		detail = "a newer epoch of the program is known"
	case req.Attempt <= t.fences[id]:
		detail = "the attempt is fenced"
	case existing != nil && existing.request.Attempt > req.Attempt:
		detail = "a newer attempt is known"
	case t.wasSwept(id, n):
		detail = "the attempt may have run; its result is no longer kept"
	case req.AttachOnly && !notRun:
		detail = "the attempt is not known, but it may have run"
	default:
		return nil
	}
	return newRefusal(rpcpb.RunRefusal_RUN_REFUSAL_FENCED, notRun, detail)
}

// mayHaveRun reports whether an attempt may have run here. False is certain. The caller
// holds mu.
func (t *attemptTable) mayHaveRun(id callID, n attemptNumber) bool {
	if existing := t.calls[id]; existing != nil && existing.number().includes(n) {
		return true
	}
	if t.wasSwept(id, n) {
		return true
	}
	return n.number != t.fences[id] && !t.swept.complete()
}

// wasSwept reports whether this or a newer attempt of the call is among the swept ones. The
// caller holds mu.
func (t *attemptTable) wasSwept(id callID, n attemptNumber) bool {
	for _, swept := range []*sweptAttempts{t.swept, t.answered} {
		if newest, ok := swept.newest(id); ok && newest.includes(n) {
			return true
		}
	}
	return false
}

// fence records that an attempt must never start. The caller holds mu.
func (t *attemptTable) fence(id callID, number uint64) {
	t.fences[id] = max(t.fences[id], number)
}

// fenceUnlessStarted fences an attempt that has not started and returns true, or returns
// false if this or a newer attempt of the call may have started.
func (t *attemptTable) fenceUnlessStarted(key *shardpb.CallKey, number uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := callIDOf(key)
	if existing := t.calls[id]; existing != nil && existing.request.Attempt >= number {
		return false
	}
	if t.mayHaveRun(id, attemptNumber{epoch: t.newestEpoch(id), number: number}) {
		return false
	}
	t.fence(id, number)
	return true
}

// newestEpoch returns the epoch of the newest known attempt of a call, or 0. The caller holds
// mu.
func (t *attemptTable) newestEpoch(id callID) uint64 {
	epoch := uint64(0)
	if existing := t.calls[id]; existing != nil {
		epoch = existing.request.Epoch
	}
	for _, swept := range []*sweptAttempts{t.swept, t.answered} {
		newest, _ := swept.newest(id)
		epoch = max(epoch, newest.epoch)
	}
	return epoch
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
	t.outputs.end()
	if t.calls[a.id] != a {
		a.drop()
		return
	}
	t.ended[a.id] = now
	t.dropExcess(now)
}

// dropExcess drops ended attempts before their time, the oldest first, while the attempts hold so
// much that no more may start. The caller holds mu.
func (t *attemptTable) dropExcess(now time.Time) {
	excess := t.outputs.excess()
	if excess == 0 {
		return
	}
	ids := slices.SortedFunc(maps.Keys(t.ended), func(x, y callID) int { return t.ended[x].Compare(t.ended[y]) })
	for _, id := range ids {
		if excess <= 0 {
			return
		}
		excess -= t.calls[id].heldBytes()
		t.removeEnded(id, now)
	}
}

// removeEnded removes an ended attempt and remembers that it may have run. The caller holds mu.
func (t *attemptTable) removeEnded(id callID, now time.Time) {
	if a := t.calls[id]; a != nil {
		t.remember(a, now)
		a.drop()
		delete(t.calls, id)
	}
	delete(t.ended, id)
}

// sweep removes attempts that ended at least endedRetentionPeriod ago, and remembers those
// that may have run.
func (t *attemptTable) sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.swept.expire(now)
	t.answered.expire(now)
	for id, endedAt := range t.ended {
		if now.Sub(endedAt) < endedRetentionPeriod {
			continue
		}
		t.removeEnded(id, now)
	}
}

// remember records a swept attempt. Of an attempt that was refused as not run, only the
// earlier ones of its call may have run. The caller holds mu.
func (t *attemptTable) remember(a *attempt, now time.Time) {
	st := a.state(0)
	n := a.number()
	if st.committed {
		t.answered.add(a.id, n, now)
		return
	}
	if st.refused.GetNotRun() {
		n.number--
	}
	if n.number > 0 {
		t.swept.add(a.id, n, now)
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
