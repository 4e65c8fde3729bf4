package shard

import (
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/shardpb"
)

func TestExpireEndsAbandonedProgramsInOrder(t *testing.T) {
	f := newFixture(t)
	f.exchange("b", "c1")
	f.exchange("a", "c1")
	f.nowMs++
	f.exchange("c", "c1")
	f.nowMs += testIdleMs
	f.restart()
	result := f.expire(2)
	assert.Equal(t, len(result.GetEnded()), 2)
	assert.Equal(t, result.GetEnded()[0].GetProgram(), "a")
	assert.Equal(t, result.GetEnded()[1].GetProgram(), "b")
	assert.Equal(t, result.GetEnded()[0].GetLastTarget().GetServer(), "engine-1")
	assert.Assert(t, result.GetMore())
	assert.Equal(t, f.expire(2).GetEnded()[0].GetProgram(), "c")
}

func TestActivityOfSubAgentKeepsParentAlive(t *testing.T) {
	f := newFixture(t)
	f.exchange("p", "c1")
	f.nowMs += testIdleMs - 1
	child := modelCall("sub", "s1")
	child.ParentProgram = "p"
	begun := f.mustBegin(child)
	f.nowMs += testIdleMs - 1
	f.finish(begun, child.GetKey(), testAnswer("a", 1, 1))
	assert.Equal(t, len(f.expire(0).GetEnded()), 0)
	f.nowMs += testIdleMs
	assert.Equal(t, len(f.expire(0).GetEnded()), 2)
}

func TestOpenCallKeepsProgramAliveUntilItsDeadline(t *testing.T) {
	f := newFixture(t)
	op := modelCall("p", "c1")
	op.DeadlineMs = f.nowMs + 10*testIdleMs
	f.mustBegin(op)
	f.nowMs = op.GetDeadlineMs() + OpenCallGraceMs - 1
	f.expire(0)
	assert.Equal(t, f.mustBegin(op).GetBegin().GetState(), shardpb.CallState_CALL_STATE_DISPATCHED)
	f.nowMs++
	f.expire(0)
	assert.Equal(t, f.mustBegin(op).GetBegin().GetState(), shardpb.CallState_CALL_STATE_FAILED)
}

func TestOverdueCallOutcomes(t *testing.T) {
	cases := []struct {
		name       string
		operation  string
		dispatched bool
		state      shardpb.CallState
		notRun     bool
	}{
		{"never dispatched", "create", false, shardpb.CallState_CALL_STATE_FAILED, true},
		{"non-repeatable", "create", true, shardpb.CallState_CALL_STATE_UNKNOWN, false},
		{"repeatable", "lookup", true, shardpb.CallState_CALL_STATE_FAILED, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			op := serviceCall("overdue", "t1", tc.operation)
			if !tc.dispatched {
				op.Target = nil
			}
			begun := f.mustBegin(op).GetBegin()
			f.nowMs += MaxOpenCallMs + OpenCallGraceMs
			f.expire(0)
			recorded := f.fail(&shardpb.Fail{Key: op.GetKey(), Epoch: begun.GetEpoch(), Attempt: begun.GetAttempt(), Failure: &shardpb.Failure{Reason: "late"}}).GetFail()
			assert.Equal(t, recorded.GetState(), tc.state)
			assert.Equal(t, recorded.GetFailure().GetNotRun(), tc.notRun)
		})
	}
}

func TestEndedProgramIsKeptForResendsAndThenRemoved(t *testing.T) {
	f := newFixture(t)
	f.exchange("p", "c1")
	f.endProgram("p")
	f.nowMs += EndedRetentionMs - 1
	f.expire(0)
	epoch := f.mustBegin(modelCall("p", "c1")).GetBegin().GetEpoch()
	f.nowMs++
	f.expire(0)
	assert.Equal(t, len(f.state.Programs(testCustomer)), 0)
	assert.Equal(t, len(f.state.bodies.(*MemoryBodies).bodies), 0)
	next := f.mustBegin(modelCall("p", "c1")).GetBegin()
	assert.Assert(t, next.GetEpoch() > epoch)
}

func TestChangedIdleLimitAppliesToIdlePrograms(t *testing.T) {
	f := newFixture(t)
	f.exchange("p", "c1")
	f.changeContract("shorter", func(c *shardpb.Contract) { c.ProgramIdleMs = 1000 })
	f.nowMs += 1000
	assert.Equal(t, len(f.expire(0).GetEnded()), 1)
}

func TestHoldsAreLimitedAndReleased(t *testing.T) {
	f := newFixture(t)
	f.exchange("p", "c1")
	f.exchange("q", "c1")
	hold := func(program string, tokens uint64) *shardpb.Result {
		view, err := f.state.Program(testCustomer, program)
		assert.NilError(t, err)
		return f.renewHold(&shardpb.RenewHold{
			Customer: testCustomer, Program: program, Epoch: view.GetEpoch(),
			Target: testTarget("engine-1"), Tokens: tokens, TtlMs: 5000,
		})
	}
	assert.Equal(t, hold("p", 600).GetRenewHold().GetUntilMs(), f.nowMs+5000)
	assert.Assert(t, hold("p", 700).GetRefusal() == nil)
	assertRefused(t, hold("q", 301), shardpb.Reason_REASON_HOLD_LIMIT)
	stats, err := f.state.CustomerStats(testCustomer)
	assert.NilError(t, err)
	assert.Equal(t, stats.HeldTokens, uint64(700))
	f.restart()
	f.nowMs += 4999
	f.expire(0)
	assertRefused(t, hold("q", 301), shardpb.Reason_REASON_HOLD_LIMIT)
	f.nowMs++
	f.expire(0)
	assert.Assert(t, hold("q", 1000).GetRefusal() == nil)
	f.endProgram("q")
	assert.Assert(t, hold("p", 1000).GetRefusal() == nil)
	assertRefused(t, hold("q", 1), shardpb.Reason_REASON_PROGRAM_ENDED)
}

func TestTimeNeverMovesBack(t *testing.T) {
	f := newFixture(t)
	f.exchange("p", "c1")
	f.nowMs += testIdleMs
	f.exchange("q", "c1")
	f.nowMs = 5
	assert.Equal(t, len(f.expire(0).GetEnded()), 1)
	view, err := f.state.Program(testCustomer, "q")
	assert.NilError(t, err)
	assert.Equal(t, view.GetLastActivityMs(), int64(1_000_000_000+testIdleMs))
}
