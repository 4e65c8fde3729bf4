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

func allowed() *rpcpb.RunRefused { return nil }

func TestFencedAttemptNeverStarts(t *testing.T) {
	table := newAttempts()
	req := runRequest("c", 1, 1)
	assert.Assert(t, table.fenceCall(req.Key, 1))
	got := table.admit(req, allowed)
	assert.Equal(t, got.refused.GetReason(), rpcpb.RunRefusal_RUN_REFUSAL_FENCED)
	assert.Assert(t, got.refused.NotRun)

	next := table.admit(runRequest("c", 1, 2), allowed)
	assert.Assert(t, next.started)
}

func TestStartedAttemptCannotBeFenced(t *testing.T) {
	table := newAttempts()
	req := runRequest("c", 1, 1)
	assert.Assert(t, table.admit(req, allowed).started)
	assert.Assert(t, !table.fenceCall(req.Key, 1))
}

func TestAttachToUnknownAttemptFencesIt(t *testing.T) {
	table := newAttempts()
	attach := runRequest("c", 1, 1)
	attach.AttachOnly = true
	got := table.admit(attach, allowed)
	assert.Equal(t, got.refused.GetReason(), rpcpb.RunRefusal_RUN_REFUSAL_UNKNOWN_ATTEMPT)
	late := table.admit(runRequest("c", 1, 1), allowed)
	assert.Equal(t, late.refused.GetReason(), rpcpb.RunRefusal_RUN_REFUSAL_FENCED)
}

func TestOlderEpochAndAttemptAreRefused(t *testing.T) {
	table := newAttempts()
	assert.Assert(t, table.admit(runRequest("c", 2, 3), allowed).started)
	for _, req := range []*rpcpb.RunRequest{runRequest("c", 2, 2), runRequest("d", 1, 1)} {
		got := table.admit(req, allowed)
		assert.Equal(t, got.refused.GetReason(), rpcpb.RunRefusal_RUN_REFUSAL_FENCED)
	}
}

func TestNewerAttemptStopsTheRunningOne(t *testing.T) {
	table := newAttempts()
	first := table.admit(runRequest("c", 1, 1), allowed).attempt
	stopped := false
	first.onStop(func() { stopped = true })
	assert.Assert(t, table.admit(runRequest("c", 1, 2), allowed).started)
	assert.Assert(t, stopped)
}

func TestRefusalThatSaysNotRunFences(t *testing.T) {
	table := newAttempts()
	leaving := func() *rpcpb.RunRefused {
		return refusal(rpcpb.RunRefusal_RUN_REFUSAL_LEAVING, true, "")
	}
	assert.Assert(t, table.admit(runRequest("c", 1, 1), leaving).refused.NotRun)
	assert.Assert(t, table.admit(runRequest("c", 1, 1), allowed).refused != nil)
}

// TestAnswersToFencesAndStartsAgree checks, over random orders of requests, that
// an attempt that was reported as never started does not start afterwards, and
// that none starts twice.
func TestAnswersToFencesAndStartsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newAttempts()
		started := make(map[uint64]bool)
		neverStarted := make(map[uint64]bool)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			number := rapid.Uint64Range(1, 4).Draw(t, "attempt")
			req := runRequest("c", 1, number)
			switch rapid.SampledFrom([]string{"run", "attach", "fence", "sweep"}).Draw(t, "step") {
			case "run":
				if table.admit(req, allowed).started {
					assert.Assert(t, !started[number], "attempt %d started twice", number)
					assert.Assert(t, !neverStarted[number], "attempt %d started after it was fenced", number)
					started[number] = true
				}
			case "attach":
				req.AttachOnly = true
				if table.admit(req, allowed).refused.GetReason() == rpcpb.RunRefusal_RUN_REFUSAL_UNKNOWN_ATTEMPT {
					assert.Assert(t, !started[number])
					neverStarted[number] = true
				}
			case "fence":
				if table.fenceCall(req.Key, number) {
					assert.Assert(t, !started[number], "attempt %d was started", number)
					neverStarted[number] = true
				}
			case "sweep":
				table.sweep(time.Now())
			}
		}
	})
}

func TestSweepForgetsEndedAttemptsOnly(t *testing.T) {
	table := newAttempts()
	now := time.Now()
	done := table.admit(runRequest("done", 1, 1), allowed).attempt
	table.admit(runRequest("open", 1, 1), allowed)
	table.end(done, now)
	table.sweep(now.Add(endedRetention))
	assert.Equal(t, len(table.calls), 1)
	assert.Equal(t, table.runningCount(), 1)
}
