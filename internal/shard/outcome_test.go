package shard

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/shardpb"
)

func TestCommitIsIdempotent(t *testing.T) {
	f := newFixture(t)
	begun := f.mustBegin(modelCall("p", "c1"))
	f.finish(begun, testCall("p", "c1"), testAnswer("first", 40, 10))
	again := f.finish(begun, testCall("p", "c1"), testAnswer("second", 40, 10)).GetCommit()
	assert.Assert(t, !again.GetFirst())
	assert.Equal(t, string(again.GetAnswer().GetBody()), "first")
	view, err := f.state.History(testCustomer, "p", 0)
	assert.NilError(t, err)
	assert.Equal(t, len(view.Items), 1)
}

func TestCommitRefusesDamagedAnswer(t *testing.T) {
	f := newFixture(t)
	begun := f.mustBegin(modelCall("p", "c1"))
	truncated := testAnswer("whole answer", 40, 10)
	truncated.Body = truncated.Body[:5]
	assertRefused(t, f.finish(begun, testCall("p", "c1"), truncated), shardpb.Reason_REASON_INVALID_COMMAND)
}

func TestLateAnswerOfOlderAttemptIsRefused(t *testing.T) {
	f := newFixture(t)
	begun := f.mustBegin(modelCall("p", "c1"))
	epoch := begun.GetBegin().GetEpoch()
	op := &shardpb.Dispatch{Key: testCall("p", "c1"), Epoch: epoch, Attempt: 2, Target: testTarget("engine-2")}
	assert.Equal(t, f.dispatch(op).GetDispatch().GetAttempt(), uint64(2))
	late := f.finish(begun, testCall("p", "c1"), testAnswer("late", 40, 10))
	assertRefused(t, late, shardpb.Reason_REASON_STALE_ATTEMPT)
}

func TestCommitOfOtherEpochIsRefused(t *testing.T) {
	f := newFixture(t)
	begun := f.mustBegin(modelCall("p", "c1"))
	begun.GetBegin().Epoch++
	assertRefused(t, f.finish(begun, testCall("p", "c1"), testAnswer("a", 1, 1)), shardpb.Reason_REASON_STALE_ATTEMPT)
}

func TestHistoryKeepsOrderAndSkipsFailures(t *testing.T) {
	f := newFixture(t)
	f.exchange("p", "c1")
	begun := f.mustBegin(modelCall("p", "c2"))
	f.fail(&shardpb.Fail{
		Key: testCall("p", "c2"), Epoch: begun.GetBegin().GetEpoch(), Attempt: 1,
		Failure: &shardpb.Failure{Reason: "server_error", Status: 500},
	})
	f.exchange("p", "c3")
	f.restart()
	view, err := f.state.History(testCustomer, "p", 0)
	assert.NilError(t, err)
	assert.Equal(t, len(view.Items), 2)
	assert.Equal(t, view.Items[0].GetCall(), "c1")
	assert.Equal(t, view.Items[1].GetCall(), "c3")
	assert.Equal(t, view.Items[1].GetTurn(), uint64(2))
	assert.DeepEqual(t, view.Digest, digestOf(view.Items))
	after, err := f.state.History(testCustomer, "p", 1)
	assert.NilError(t, err)
	assert.Equal(t, len(after.Items), 1)
}

func digestOf(items []*shardpb.HistoryItem) []byte {
	var digest []byte
	for _, item := range items {
		digest = ChainDigest(digest, item.GetInput(), item.GetAnswer())
	}
	return digest
}

func TestChainDigestCoversAllExchanges(t *testing.T) {
	a, b := []byte("a"), []byte("b")
	ab := ChainDigest(ChainDigest(nil, a, a), b, b)
	ba := ChainDigest(ChainDigest(nil, b, b), a, a)
	assert.Assert(t, string(ab) != string(ba))
	assert.Assert(t, string(ab) != string(ChainDigest(nil, b, b)))
	assert.Assert(t, string(ChainDigest(nil, a, b)) != string(ChainDigest(nil, b, a)))
}

func TestServiceCallsAreNotAddedToTheHistory(t *testing.T) {
	f := newFixture(t)
	begun := f.mustBegin(serviceCall("p", "t1", "create"))
	f.finish(begun, testCall("p", "t1"), testAnswer(`{"ticket":7}`, 0, 0))
	view, err := f.state.History(testCustomer, "p", 0)
	assert.NilError(t, err)
	assert.Equal(t, len(view.Items), 0)
	again := f.mustBegin(serviceCall("p", "t1", "create"))
	assert.Equal(t, string(again.GetBegin().GetAnswer().GetBody()), `{"ticket":7}`)
}

func TestNonRepeatableCallIsDispatchedAgainOnlyWithFence(t *testing.T) {
	f := newFixture(t)
	begun := f.mustBegin(serviceCall("p", "t1", "create"))
	op := &shardpb.Dispatch{
		Key: testCall("p", "t1"), Epoch: begun.GetBegin().GetEpoch(), Attempt: 2, Target: testTarget("tickets-2"),
	}
	assertRefused(t, f.dispatch(op), shardpb.Reason_REASON_NOT_FENCED)
	op.FencedAttempt = 1
	assert.Equal(t, f.dispatch(op).GetDispatch().GetAttempt(), uint64(2))
	assertRefused(t, f.dispatch(op), shardpb.Reason_REASON_STALE_ATTEMPT)
	op.Target = testTarget("tickets-3")
	assertRefused(t, f.dispatch(op), shardpb.Reason_REASON_STALE_ATTEMPT)
	op.Attempt = 3
	assertRefused(t, f.dispatch(op), shardpb.Reason_REASON_NOT_FENCED)
}

func TestFailureOutcomes(t *testing.T) {
	cases := []struct {
		name       string
		operation  string
		redispatch *shardpb.Dispatch
		notRun     bool
		state      shardpb.CallState
		wantNotRun bool
	}{
		{"non-repeatable may have run", "create", nil, false, shardpb.CallState_CALL_STATE_UNKNOWN, false},
		{"non-repeatable proven not run", "create", nil, true, shardpb.CallState_CALL_STATE_FAILED, true},
		{"non-repeatable fenced and proven not run", "create", &shardpb.Dispatch{FencedAttempt: 1}, true, shardpb.CallState_CALL_STATE_FAILED, true},
		{"repeatable may have run", "lookup", nil, false, shardpb.CallState_CALL_STATE_FAILED, false},
		{"repeatable, an earlier attempt may have run", "lookup", &shardpb.Dispatch{}, true, shardpb.CallState_CALL_STATE_FAILED, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			begun := f.mustBegin(serviceCall("p", "t1", tc.operation)).GetBegin()
			attempt := uint64(1)
			if op := tc.redispatch; op != nil {
				op.Key, op.Epoch, op.Attempt, op.Target = testCall("p", "t1"), begun.GetEpoch(), 2, testTarget("s2")
				attempt = f.dispatch(op).GetDispatch().GetAttempt()
			}
			op := &shardpb.Fail{
				Key: testCall("p", "t1"), Epoch: begun.GetEpoch(), Attempt: attempt,
				Failure: &shardpb.Failure{Reason: "server_died", NotRun: tc.notRun},
			}
			failed := f.fail(op).GetFail()
			assert.Equal(t, failed.GetState(), tc.state)
			assert.Equal(t, failed.GetFailure().GetNotRun(), tc.wantNotRun)
			f.restart()
			assert.Assert(t, proto.Equal(f.fail(op).GetFail(), failed))
			late := &shardpb.Commit{Key: op.GetKey(), Epoch: begun.GetEpoch(), Attempt: attempt, Answer: testAnswer("x", 0, 0)}
			assertRefused(t, f.commit(late), shardpb.Reason_REASON_CALL_FINAL)
			if !tc.wantNotRun {
				again := f.mustBegin(serviceCall("p", "t1", tc.operation)).GetBegin()
				assert.Equal(t, again.GetState(), tc.state)
				assert.Assert(t, !again.GetFirst())
			}
			f.exchange("p", "next")
			after := f.mustBegin(serviceCall("p", "t1", tc.operation)).GetBegin()
			assert.Equal(t, after.GetState(), tc.state)
		})
	}
}

// TestCallThatWasNotRunIsBegunAgain checks that a call that failed as not run is
// begun again as a new attempt when its caller resends it, and that the earlier
// attempt can no longer commit an answer.
func TestCallThatWasNotRunIsBegunAgain(t *testing.T) {
	f := newFixture(t)
	op := serviceCall("p", "t1", "create")
	begun := f.mustBegin(op).GetBegin()
	key := testCall("p", "t1")
	f.fail(&shardpb.Fail{Key: key, Epoch: begun.GetEpoch(), Attempt: 1, Failure: &shardpb.Failure{Reason: "leaving", NotRun: true}})
	f.restart()

	again := f.mustBegin(op).GetBegin()
	assert.Assert(t, again.GetFirst())
	assert.Equal(t, again.GetState(), shardpb.CallState_CALL_STATE_DISPATCHED)
	assert.Equal(t, again.GetAttempt(), uint64(2))
	assert.Equal(t, again.GetTurn(), begun.GetTurn())
	late := &shardpb.Commit{Key: key, Epoch: begun.GetEpoch(), Attempt: 1, Answer: testAnswer("x", 0, 0)}
	assertRefused(t, f.commit(late), shardpb.Reason_REASON_STALE_ATTEMPT)
	assertRefused(t, f.begin(modelCall("p", "next")), shardpb.Reason_REASON_PROGRAM_BUSY)
	f.finish(&shardpb.Result{Outcome: &shardpb.Result_Begin{Begin: again}}, key, testAnswer(`{"ticket":7}`, 0, 0))
}

// TestCallBegunAgainWithoutServer checks that a call that is begun again without a
// target refuses the answer of the attempt that was proven not to have run, and that its
// next attempt needs no fence.
func TestCallBegunAgainWithoutServer(t *testing.T) {
	f := newFixture(t)
	op := serviceCall("p", "t1", "create")
	begun := f.mustBegin(op).GetBegin()
	key := testCall("p", "t1")
	f.fail(&shardpb.Fail{Key: key, Epoch: begun.GetEpoch(), Attempt: 1, Failure: &shardpb.Failure{Reason: "leaving", NotRun: true}})
	op.Target = nil
	assert.Equal(t, f.mustBegin(op).GetBegin().GetState(), shardpb.CallState_CALL_STATE_BEGUN)
	late := &shardpb.Commit{Key: key, Epoch: begun.GetEpoch(), Attempt: 1, Answer: testAnswer("x", 0, 0)}
	assertRefused(t, f.commit(late), shardpb.Reason_REASON_STALE_ATTEMPT)
	next := &shardpb.Dispatch{Key: key, Epoch: begun.GetEpoch(), Attempt: 2, Target: testTarget("s2")}
	assert.Equal(t, f.dispatch(next).GetDispatch().GetAttempt(), uint64(2))
	failed := f.fail(&shardpb.Fail{Key: key, Epoch: begun.GetEpoch(), Attempt: 2, Failure: &shardpb.Failure{Reason: "died"}})
	assert.Equal(t, failed.GetFail().GetState(), shardpb.CallState_CALL_STATE_UNKNOWN)
}

func TestFailBeforeDispatchIsNotRun(t *testing.T) {
	f := newFixture(t)
	op := serviceCall("p", "t1", "create")
	op.Target = nil
	begun := f.mustBegin(op).GetBegin()
	assert.Equal(t, begun.GetState(), shardpb.CallState_CALL_STATE_BEGUN)
	failed := f.fail(&shardpb.Fail{Key: op.GetKey(), Epoch: begun.GetEpoch(), Failure: &shardpb.Failure{Reason: "no_server"}})
	assert.Equal(t, failed.GetFail().GetState(), shardpb.CallState_CALL_STATE_FAILED)
	assert.Assert(t, failed.GetFail().GetFailure().GetNotRun())
	late := &shardpb.Dispatch{Key: op.GetKey(), Epoch: begun.GetEpoch(), Attempt: 1, Target: testTarget("s")}
	assertRefused(t, f.dispatch(late), shardpb.Reason_REASON_CALL_FINAL)
}

func TestCommitBeforeDispatchIsRefused(t *testing.T) {
	f := newFixture(t)
	op := modelCall("p", "c1")
	op.Target = nil
	begun := f.mustBegin(op)
	assertRefused(t, f.finish(begun, op.GetKey(), testAnswer("a", 1, 1)), shardpb.Reason_REASON_STALE_ATTEMPT)
}

func TestDispatchAfterTheDeadlineIsRefused(t *testing.T) {
	f := newFixture(t)
	op := modelCall("p", "c1")
	op.DeadlineMs = f.nowMs + 1000
	begun := f.mustBegin(op).GetBegin()
	f.nowMs += 1000
	again := &shardpb.Dispatch{Key: op.GetKey(), Epoch: begun.GetEpoch(), Attempt: 2, Target: testTarget("engine-2")}
	assertRefused(t, f.dispatch(again), shardpb.Reason_REASON_DEADLINE_EXCEEDED)
}

func TestFailOfOlderAttemptIsRefused(t *testing.T) {
	f := newFixture(t)
	begun := f.mustBegin(modelCall("p", "c1")).GetBegin()
	f.dispatch(&shardpb.Dispatch{Key: testCall("p", "c1"), Epoch: begun.GetEpoch(), Attempt: 2, Target: testTarget("e2")})
	op := &shardpb.Fail{Key: testCall("p", "c1"), Epoch: begun.GetEpoch(), Attempt: 1, Failure: &shardpb.Failure{Reason: "timeout"}}
	assertRefused(t, f.fail(op), shardpb.Reason_REASON_STALE_ATTEMPT)
}

// TestQuarantinedRequestIsRefusedUnderEachCallID checks that the shard refuses a
// quarantined request from the next Begin on, in any program, under any call ID
// and after a restart, for LocalQuarantineMs.
func TestQuarantinedRequestIsRefusedUnderEachCallID(t *testing.T) {
	f := newFixture(t)
	op := modelCall("p", "c1")
	op.Target = testTarget("engine-1")
	begun := f.mustBegin(op).GetBegin()
	failure := &shardpb.Failure{Reason: ReasonQuarantined, Status: 422}
	f.fail(&shardpb.Fail{Key: op.GetKey(), Epoch: begun.GetEpoch(), Attempt: 1, Failure: failure})
	f.restart()

	again := modelCall("q", "c9")
	again.Fingerprint = op.GetFingerprint()
	assertRefused(t, f.begin(again), shardpb.Reason_REASON_QUARANTINED)
	other := modelCall("q", "c8")
	other.Fingerprint = bytes.Repeat([]byte{9}, len(op.GetFingerprint()))
	f.finish(f.mustBegin(other), other.GetKey(), testAnswer("fine", 1, 1))
	f.nowMs += LocalQuarantineMs
	afterQuarantine := modelCall("r", "c7")
	afterQuarantine.Fingerprint = op.GetFingerprint()
	assert.Assert(t, f.mustBegin(afterQuarantine).GetBegin().GetFirst())
}
