package sidecar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ibistray.example/ibistray/proto/rpcpb"
	"ibistray.example/ibistray/proto/shardpb"
)

func runRequest(call string, epoch, number uint64) *rpcpb.RunRequest {
	return &rpcpb.RunRequest{
		Key:     &shardpb.CallKey{Customer: "wharf", Program: "p", Call: call},
		Epoch:   epoch,
		Attempt: number,
	}
}

func allowStart() *rpcpb.RunRefused { return nil }

func TestFencedAttemptNeverStarts(t *testing.T) {
	table := newAttemptTable()
	req := runRequest("c", 1, 1)
	assert.Assert(t, table.fenceUnlessStarted(req.Key, 1))
	got := table.admit(req, allowStart)
	assert.Equal(t, got.refused.GetReason(), rpcpb.RunRefusal_RUN_REFUSAL_FENCED)
	assert.Assert(t, got.refused.NotRun)

	next := table.admit(runRequest("c", 1, 2), allowStart)
	assert.Assert(t, next.started)
}

func TestStartedAttemptCannotBeFenced(t *testing.T) {
	table := newAttemptTable()
	req := runRequest("c", 1, 1)
	assert.Assert(t, table.admit(req, allowStart).started)
	assert.Assert(t, !table.fenceUnlessStarted(req.Key, 1))
}

func TestAttachToUnknownAttemptFencesIt(t *testing.T) {
	table := newAttemptTable()
	attach := runRequest("c", 1, 1)
	attach.AttachOnly = true
	got := table.admit(attach, allowStart)
	assert.Equal(t, got.refused.GetReason(), rpcpb.RunRefusal_RUN_REFUSAL_UNKNOWN_ATTEMPT)
	late := table.admit(runRequest("c", 1, 1), allowStart)
	assert.Equal(t, late.refused.GetReason(), rpcpb.RunRefusal_RUN_REFUSAL_FENCED)
}

func TestOlderEpochAndAttemptAreRefused(t *testing.T) {
	table := newAttemptTable()
	assert.Assert(t, table.admit(runRequest("c", 2, 3), allowStart).started)
	for _, req := range []*rpcpb.RunRequest{runRequest("c", 2, 2), runRequest("d", 1, 1)} {
		got := table.admit(req, allowStart)
		assert.Equal(t, got.refused.GetReason(), rpcpb.RunRefusal_RUN_REFUSAL_FENCED)
	}
}

func TestNewerAttemptStopsOlderOne(t *testing.T) {
	table := newAttemptTable()
	first := table.admit(runRequest("c", 1, 1), allowStart).attempt
	stopped := false
	first.setCancel(func() { stopped = true })
	assert.Assert(t, table.admit(runRequest("c", 1, 2), allowStart).started)
	assert.Assert(t, stopped)
}

func TestNotRunRefusalFencesAttempt(t *testing.T) {
	table := newAttemptTable()
	leaving := func() *rpcpb.RunRefused {
		return newRefusal(rpcpb.RunRefusal_RUN_REFUSAL_LEAVING, true, "")
	}
	assert.Assert(t, table.admit(runRequest("c", 1, 1), leaving).refused.NotRun)
	assert.Assert(t, table.admit(runRequest("c", 1, 1), allowStart).refused != nil)
}

// TestFencedAttemptsNeverStartInAnyOrder checks for random sequences of requests that no
// attempt starts after it was reported as never started, that none is reported so after it
// has started, and that none starts twice.
func TestFencedAttemptsNeverStartInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newAttemptTable()
		started := make(map[uint64]bool)
		neverStarted := make(map[uint64]bool)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			number := rapid.Uint64Range(1, 4).Draw(t, "attempt")
			req := runRequest("c", 1, number)
			switch rapid.SampledFrom([]string{"run", "attach", "fence", "sweep"}).Draw(t, "step") {
			case "run":
				if table.admit(req, allowStart).started {
					assert.Assert(t, !started[number], "attempt %d started twice", number)
					assert.Assert(t, !neverStarted[number], "attempt %d started after it was fenced", number)
					started[number] = true
				}
			case "attach":
				req.AttachOnly = true
				if table.admit(req, allowStart).refused.GetReason() == rpcpb.RunRefusal_RUN_REFUSAL_UNKNOWN_ATTEMPT {
					assert.Assert(t, !started[number])
					neverStarted[number] = true
				}
			case "fence":
				if table.fenceUnlessStarted(req.Key, number) {
					assert.Assert(t, !started[number], "attempt %d was fenced after it had started", number)
					neverStarted[number] = true
				}
			case "sweep":
				table.sweep(time.Now())
			}
		}
	})
}

func TestSweepRemovesOnlyEndedAttempts(t *testing.T) {
	table := newAttemptTable()
	now := time.Now()
	done := table.admit(runRequest("done", 1, 1), allowStart).attempt
	table.admit(runRequest("open", 1, 1), allowStart)
	table.markEnded(done, now)
	table.sweep(now.Add(endedRetentionPeriod))
	assert.Equal(t, len(table.calls), 1)
	assert.Equal(t, table.runningCount(), 1)
}
