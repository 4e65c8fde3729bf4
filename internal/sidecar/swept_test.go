package sidecar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ibistray.example/ibistray/internal/entry"
	"ibistray.example/ibistray/proto/rpcpb"
	"ibistray.example/ibistray/proto/shardpb"
)

// Ways in which an attempt ends in these tests.
const (
	endFailed    = "failed"    // after it may have run
	endNotRun    = "not run"   // refused after it was admitted
	endCommitted = "committed" // with an answer that is durable
	endAnswered  = "answered"  // with an answer that was not committed
)

// end ends an attempt that was admitted.
func (t *attemptTable) end(a *attempt, how string, now time.Time) {
	switch how {
	case endFailed:
		a.setRefusal(newRefusal(rpcpb.RunRefusal_RUN_REFUSAL_SERVER_DIED, false, ""))
	case endNotRun:
		a.setRefusal(newRefusal(rpcpb.RunRefusal_RUN_REFUSAL_SHED, true, ""))
	case endCommitted:
		a.setAnswer(new(shardpb.Answer))
		a.markCommitted()
	case endAnswered:
		a.setAnswer(new(shardpb.Answer))
	}
	t.markEnded(a, now)
}

// runAndSweep admits an attempt, ends it and sweeps it.
func (t *attemptTable) runAndSweep(req *rpcpb.RunRequest, how string, now time.Time) {
	t.end(t.admit(req, allowStart).attempt, how, now)
	t.sweep(now.Add(endedRetentionPeriod))
}

func attachRequest(call string, epoch, number uint64) *rpcpb.RunRequest {
	req := runRequest(call, epoch, number)
	req.AttachOnly = true
	return req
}

// TestSweptAttemptIsReportedAsItEnded checks what a sidecar says about an attempt of each
// end. It reports as not run only one that was refused as not run.
func TestSweptAttemptIsReportedAsItEnded(t *testing.T) {
	for how, notRun := range map[string]bool{endFailed: false, endNotRun: true, endCommitted: false, endAnswered: false} {
		table := newAttemptTable()
		table.runAndSweep(runRequest("c", 1, 1), how, time.Now())
		assert.Equal(t, len(table.calls), 0)
		assert.Equal(t, table.admit(attachRequest("c", 1, 1), allowStart).refused.GetNotRun(), notRun, "%s", how)
	}
}

// TestSweptAttemptIsNotStartedAgain checks that a request which is delayed until the attempt
// was swept does not start it, and that the next attempt starts.
func TestSweptAttemptIsNotStartedAgain(t *testing.T) {
	table := newAttemptTable()
	table.runAndSweep(runRequest("c", 1, 1), endFailed, time.Now())
	got := table.admit(runRequest("c", 1, 1), allowStart)
	assertRefused(t, got, rpcpb.RunRefusal_RUN_REFUSAL_FENCED, false)
	assert.Assert(t, table.admit(runRequest("c", 1, 2), allowStart).started)
}

// TestEarlierAttemptOfRefusedOneIsRemembered has a second attempt that replaces one that may
// have run, and is refused as not run.
func TestEarlierAttemptOfRefusedOneIsRemembered(t *testing.T) {
	table := newAttemptTable()
	table.admit(runRequest("c", 1, 1), allowStart)
	table.runAndSweep(runRequest("c", 1, 2), endNotRun, time.Now())
	assert.Assert(t, !table.admit(attachRequest("c", 1, 1), allowStart).refused.GetNotRun())
	assert.Assert(t, table.admit(attachRequest("c", 1, 2), allowStart).refused.GetNotRun())
}

// TestSweptAttemptOfEarlierEpoch checks that a new program of the same name can use the call
// IDs of an earlier one.
func TestSweptAttemptOfEarlierEpoch(t *testing.T) {
	table := newAttemptTable()
	table.runAndSweep(runRequest("c", 5, 1), endFailed, time.Now())
	assert.Assert(t, table.admit(runRequest("c", 9, 1), allowStart).started)
	assert.Assert(t, !table.admit(attachRequest("c", 5, 1), allowStart).refused.GetNotRun())
}

// TestSweptAttemptsAreKeptWhileEntriesMayAsk checks that the records are kept until the shard
// has closed the longest call, and not for longer.
func TestSweptAttemptsAreKeptWhileEntriesMayAsk(t *testing.T) {
	assert.Equal(t, maxCallDuration, entry.MaxDeadline)
	table := newAttemptTable()
	now := time.Now()
	table.runAndSweep(runRequest("c", 1, 1), endFailed, now)
	table.runAndSweep(runRequest("d", 1, 1), endCommitted, now)
	expires := now.Add(endedRetentionPeriod + sweptRetentionPeriod)
	table.sweep(expires.Add(-1))
	assert.Equal(t, len(table.swept.calls)+len(table.answered.calls), 2)
	table.sweep(expires)
	assert.Equal(t, len(table.swept.calls)+len(table.answered.calls), 0)
	assert.Equal(t, len(table.swept.queue)+len(table.answered.queue), 0)
}

// TestNewerAttemptKeepsRecordOfCall checks that the expiry of an attempt does not remove the
// record of a newer one of the same call.
func TestNewerAttemptKeepsRecordOfCall(t *testing.T) {
	table := newAttemptTable()
	now := time.Now()
	table.runAndSweep(runRequest("c", 1, 1), endFailed, now)
	table.runAndSweep(runRequest("c", 1, 2), endFailed, now.Add(time.Minute))
	table.sweep(now.Add(endedRetentionPeriod + sweptRetentionPeriod))
	assert.Equal(t, len(table.swept.queue), 1)
	assert.Assert(t, !table.admit(attachRequest("c", 1, 2), allowStart).refused.GetNotRun())
}

// TestDroppedAttemptMakesUnknownOnesUncertain has more swept attempts than the table
// remembers. Until the dropped one expires, no unknown attempt is reported as never started.
// A fenced one still is, and new ones start.
func TestDroppedAttemptMakesUnknownOnesUncertain(t *testing.T) {
	table := newAttemptTable()
	table.swept.limit = 2
	now := time.Now()
	assert.Assert(t, table.fenceUnlessStarted(runRequest("fenced", 1, 1).Key, 1))
	for _, call := range []string{"a", "b", "c"} {
		table.runAndSweep(runRequest(call, 1, 1), endFailed, now)
	}
	assert.Equal(t, len(table.swept.calls), 2)
	for _, call := range []string{"a", "b", "c", "unknown"} {
		req := attachRequest(call, 1, 1)
		assertRefused(t, table.admit(req, allowStart), rpcpb.RunRefusal_RUN_REFUSAL_FENCED, false)
		assert.Assert(t, !table.fenceUnlessStarted(req.Key, 1))
	}
	assert.Assert(t, table.admit(attachRequest("fenced", 1, 1), allowStart).refused.NotRun)
	assert.Assert(t, table.admit(runRequest("new", 1, 1), allowStart).started)
	table.sweep(now.Add(endedRetentionPeriod + sweptRetentionPeriod))
	assert.Assert(t, table.admit(attachRequest("unknown", 1, 1), allowStart).refused.NotRun)
}

// TestDroppedAnsweredAttemptsChangeNothing checks that committed answers, which are most of
// the attempts, neither grow without limit nor make others uncertain.
func TestDroppedAnsweredAttemptsChangeNothing(t *testing.T) {
	table := newAttemptTable()
	table.answered.limit = 2
	for _, call := range []string{"a", "b", "c"} {
		table.runAndSweep(runRequest(call, 1, 1), endCommitted, time.Now())
	}
	assert.Equal(t, len(table.answered.calls), 2)
	assert.Assert(t, table.admit(attachRequest("unknown", 1, 1), allowStart).refused.NotRun)
}

// TestNotRunIsCertainInAnyOrder checks for random sequences of requests, ends and sweeps
// that no attempt is reported as not run which may have run or starts later. As entries do, it
// sends each attempt once. Few swept attempts are remembered.
func TestNotRunIsCertainInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &certaintyChecker{table: newAttemptTable(), now: time.Now(), mayRun: map[sentAttempt]bool{}, sent: map[sentAttempt]bool{}, notRun: map[sentAttempt]bool{}}
		c.table.swept.limit = rapid.IntRange(1, 2).Draw(t, "limit")
		for range rapid.IntRange(20, 100).Draw(t, "steps") {
			id := sentAttempt{
				call:   rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "call"),
				number: rapid.Uint64Range(1, 3).Draw(t, "number"),
			}
			switch rapid.SampledFrom([]string{"start", "attach", "fence", "end", "sweep"}).Draw(t, "op") {
			case "start":
				c.start(t, id)
			case "attach":
				c.checkNotRun(t, id, c.table.admit(attachRequest(id.call, 1, id.number), allowStart).refused.GetNotRun())
			case "fence":
				c.checkNotRun(t, id, c.table.fenceUnlessStarted(runRequest(id.call, 1, id.number).Key, id.number))
			case "end":
				c.end(id.call, rapid.SampledFrom([]string{endFailed, endNotRun, endAnswered}).Draw(t, "how"))
			case "sweep":
				c.now = c.now.Add(endedRetentionPeriod)
				c.table.sweep(c.now)
			}
		}
	})
}

// sentAttempt is one attempt of a certaintyChecker.
type sentAttempt struct {
	call   string
	number uint64
}

// certaintyChecker compares the reports of an attempt table with what was run.
type certaintyChecker struct {
	table  *attemptTable
	now    time.Time
	sent   map[sentAttempt]bool
	mayRun map[sentAttempt]bool // started and not refused as not run
	notRun map[sentAttempt]bool // reported as not run
}

// start sends an attempt unless it was sent before.
func (c *certaintyChecker) start(t *rapid.T, id sentAttempt) {
	if c.sent[id] {
		return
	}
	c.sent[id] = true
	if !c.table.admit(runRequest(id.call, 1, id.number), allowStart).started {
		return
	}
	assert.Assert(t, !c.notRun[id], "%v started after it was reported as not run", id)
	c.mayRun[id] = true
}

func (c *certaintyChecker) checkNotRun(t *rapid.T, id sentAttempt, notRun bool) {
	if notRun {
		assert.Assert(t, !c.mayRun[id], "%v may have run, but was reported as not run", id)
		c.notRun[id] = true
	}
}

// end ends the newest attempt of a call if it is running.
func (c *certaintyChecker) end(call, how string) {
	a := c.table.calls[callIDOf(runRequest(call, 1, 1).Key)]
	if a == nil || a.state(0).ended() {
		return
	}
	c.table.end(a, how, c.now)
	if how == endNotRun {
		c.mayRun[sentAttempt{call: call, number: a.request.Attempt}] = false
	}
}
