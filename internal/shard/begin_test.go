package shard

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/shardpb"
)

func TestBeginIsIdempotent(t *testing.T) {
	f := newFixture(t)
	begun := f.mustBegin(modelCall("p", "c1"))
	f.restart()
	again := f.mustBegin(modelCall("p", "c1"))
	assert.Assert(t, begun.GetBegin().GetFirst())
	assert.Assert(t, !again.GetBegin().GetFirst())
	assert.Equal(t, again.GetBegin().GetState(), shardpb.CallState_CALL_STATE_DISPATCHED)
	assert.Equal(t, again.GetBegin().GetAttempt(), uint64(1))
	assert.Assert(t, proto.Equal(again.GetBegin().GetTarget(), testTarget("engine-1")))
}

func TestBeginReturnsStoredAnswer(t *testing.T) {
	f := newFixture(t)
	f.exchange("p", "c1")
	f.exchange("p", "c2")
	f.changeContract("suspend", func(c *shardpb.Contract) { c.Suspended = true })
	f.restart()
	again := f.mustBegin(modelCall("p", "c1")).GetBegin()
	assert.Equal(t, again.GetState(), shardpb.CallState_CALL_STATE_FINISHED)
	assert.Assert(t, proto.Equal(again.GetAnswer(), testAnswer("answer c1", 40, 10)))
	assert.Equal(t, again.GetTurn(), uint64(1))
}

func TestHasCall(t *testing.T) {
	f := newFixture(t)
	f.exchange("p", "c1")
	assert.Assert(t, f.state.HasCall(testCall("p", "c1")))
	assert.Assert(t, !f.state.HasCall(testCall("p", "c2")))
	assert.Assert(t, !f.state.HasCall(testCall("q", "c1")))
}

func TestBeginRefusesReusedCallID(t *testing.T) {
	f := newFixture(t)
	f.exchange("p", "c1")
	other := modelCall("p", "c1")
	other.Fingerprint = testKey("another body")
	assertRefused(t, f.begin(other), shardpb.Reason_REASON_CALL_ID_REUSED)
}

func TestBeginRefusesCallsOutOfOrder(t *testing.T) {
	f := newFixture(t)
	second := modelCall("p", "c2")
	second.Sequence = 2
	assertRefused(t, f.begin(second), shardpb.Reason_REASON_SEQUENCE_GAP)
	firstCall := modelCall("p", "c1")
	firstCall.Sequence = 1
	begun := f.mustBegin(firstCall)
	assertRefused(t, f.begin(second), shardpb.Reason_REASON_PROGRAM_BUSY)
	f.finish(begun, firstCall.GetKey(), testAnswer("a", 40, 10))
	assert.Equal(t, f.mustBegin(second).GetBegin().GetTurn(), uint64(2))
	reused := modelCall("p", "c3")
	reused.Sequence = 1
	assertRefused(t, f.begin(reused), shardpb.Reason_REASON_SEQUENCE_REUSED)
}

func TestBeginRefusals(t *testing.T) {
	cases := []struct {
		name   string
		edit   func(*shardpb.Contract)
		begin  func(*shardpb.Begin)
		reason shardpb.Reason
	}{
		{"model", nil, func(b *shardpb.Begin) { b.Model = "other" }, shardpb.Reason_REASON_MODEL_NOT_ALLOWED},
		{"operation", nil, func(b *shardpb.Begin) {
			proto.Reset(b)
			proto.Merge(b, serviceCall("p", "c1", "delete"))
		}, shardpb.Reason_REASON_OPERATION_NOT_ALLOWED},
		{"deadline", nil, func(b *shardpb.Begin) { b.DeadlineMs = 1_000_000_000 }, shardpb.Reason_REASON_DEADLINE_EXCEEDED},
		{"program tokens", nil, func(b *shardpb.Begin) { b.NewInputTokensMax = 4_951 }, shardpb.Reason_REASON_PROGRAM_TOKEN_LIMIT},
		{"budget", func(c *shardpb.Contract) { c.Budget.Tokens = 149 }, nil, shardpb.Reason_REASON_BUDGET_EXHAUSTED},
		{"parent", nil, func(b *shardpb.Begin) { b.ParentProgram = "none" }, shardpb.Reason_REASON_UNKNOWN_PROGRAM},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			if tc.edit != nil {
				f.changeContract("edit", tc.edit)
			}
			op := modelCall("p", "c1")
			if tc.begin != nil {
				tc.begin(op)
			}
			assertRefused(t, f.begin(op), tc.reason)
			_, err := f.state.Program(testCustomer, "p")
			assert.ErrorIs(t, err, ErrUnknownProgram)
		})
	}
}

func TestConcurrencyLimit(t *testing.T) {
	f := newFixture(t)
	f.changeContract("one", func(c *shardpb.Contract) { c.MaxConcurrentCalls = 1 })
	begun := f.mustBegin(modelCall("p", "c1"))
	assertRefused(t, f.begin(modelCall("q", "c1")), shardpb.Reason_REASON_CONCURRENCY_LIMIT)
	f.finish(begun, testCall("p", "c1"), testAnswer("a", 1, 1))
	f.mustBegin(modelCall("q", "c1"))
}

func TestTurnLimitCountsSubAgents(t *testing.T) {
	f := newFixture(t)
	f.changeContract("turns", func(c *shardpb.Contract) { c.MaxTurns = 3 })
	f.exchange("p", "c1")
	child := modelCall("sub", "s1")
	child.ParentProgram = "p"
	begun := f.mustBegin(child)
	f.finish(begun, child.GetKey(), testAnswer("a", 1, 1))
	f.restart()
	f.exchange("p", "c2")
	again := modelCall("sub", "s2")
	again.ParentProgram = "p"
	assertRefused(t, f.begin(again), shardpb.Reason_REASON_TURN_LIMIT)
	assertRefused(t, f.begin(modelCall("p", "c3")), shardpb.Reason_REASON_TURN_LIMIT)
}

func TestSubAgentEndsWithItsParent(t *testing.T) {
	f := newFixture(t)
	f.exchange("p", "c1")
	child := modelCall("sub", "s1")
	child.ParentProgram = "p"
	begun := f.mustBegin(child)
	f.endProgram("p")
	assert.Assert(t, f.finish(begun, child.GetKey(), testAnswer("a", 1, 1)).GetCommit().GetFirst())
	again := modelCall("sub", "s2")
	again.ParentProgram = "p"
	assertRefused(t, f.begin(again), shardpb.Reason_REASON_PROGRAM_ENDED)
}

func TestProgramCannotChangeItsParent(t *testing.T) {
	f := newFixture(t)
	f.exchange("p", "c1")
	f.exchange("q", "c1")
	other := modelCall("q", "c2")
	other.ParentProgram = "p"
	assertRefused(t, f.begin(other), shardpb.Reason_REASON_UNKNOWN_PROGRAM)
}

func TestSubAgentDoesNotJoinALaterParentOfTheSameName(t *testing.T) {
	f := newFixture(t)
	f.changeContract("idle", func(c *shardpb.Contract) { c.ProgramIdleMs = 2 * EndedRetentionMs })
	f.exchange("p", "c1")
	child := modelCall("sub", "s1")
	child.ParentProgram = "p"
	f.finish(f.mustBegin(child), child.GetKey(), testAnswer("a", 1, 1))
	f.endProgram("p")
	f.nowMs += EndedRetentionMs
	f.expire(0)
	f.exchange("p", "c1")
	again := modelCall("sub", "s2")
	again.ParentProgram = "p"
	assertRefused(t, f.begin(again), shardpb.Reason_REASON_PROGRAM_ENDED)
}

func TestSubAgentNestingIsLimited(t *testing.T) {
	f := newFixture(t)
	f.changeContract("more turns", func(c *shardpb.Contract) { c.MaxTurns = 100 })
	parent := ""
	for depth := range maxProgramDepth + 1 {
		op := modelCall(fmt.Sprintf("p%d", depth), "c1")
		op.ParentProgram = parent
		result := f.begin(op)
		if depth == maxProgramDepth {
			assertRefused(t, result, shardpb.Reason_REASON_TURN_LIMIT)
			return
		}
		f.finish(result, op.GetKey(), testAnswer("a", 1, 1))
		parent = op.GetKey().GetProgram()
	}
}

func TestEndedProgramRefusesNewCalls(t *testing.T) {
	f := newFixture(t)
	f.exchange("p", "c1")
	assert.Assert(t, f.endProgram("p").GetEndProgram().GetFirst())
	assert.Assert(t, !f.endProgram("p").GetEndProgram().GetFirst())
	assertRefused(t, f.begin(modelCall("p", "c2")), shardpb.Reason_REASON_PROGRAM_ENDED)
	assert.Assert(t, f.mustBegin(modelCall("p", "c1")).GetBegin().GetAnswer() != nil)
}

// TestModelCallAcceptsOnlyTheServerWithItsPrefix checks that the target of a model
// call's Begin becomes the first attempt only if the program has no history or
// its last call ran on the same server, which holds the program's prefix.
func TestModelCallAcceptsOnlyTheServerWithItsPrefix(t *testing.T) {
	f := newFixture(t)
	op := modelCall("p", "c1")
	op.Target = testTarget("engine-1")
	first := f.mustBegin(op)
	assert.Equal(t, first.GetBegin().GetState(), shardpb.CallState_CALL_STATE_DISPATCHED)
	assert.Assert(t, first.GetBegin().GetFence() != 0)
	f.finish(first, op.GetKey(), testAnswer("one", 10, 10))

	otherServer := modelCall("p", "c2")
	otherServer.Target = testTarget("engine-2")
	begun := f.mustBegin(otherServer).GetBegin()
	assert.Equal(t, begun.GetState(), shardpb.CallState_CALL_STATE_BEGUN)
	assert.Equal(t, begun.GetFence(), uint64(0))
	assert.Equal(t, begun.GetLastTarget().GetServer(), "engine-1")
	f.fail(&shardpb.Fail{Key: otherServer.GetKey(), Epoch: begun.GetEpoch(), Failure: &shardpb.Failure{Reason: "no_server"}})

	sameServer := modelCall("p", "c3")
	sameServer.Target = testTarget("engine-1")
	assert.Equal(t, f.mustBegin(sameServer).GetBegin().GetState(), shardpb.CallState_CALL_STATE_DISPATCHED)
}
