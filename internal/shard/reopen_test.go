package shard

import (
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/shardpb"
)

// failNotRun begins a call and fails it as proven not to have run. It returns the result
// of the Begin.
func (f *fixture) failNotRun(op *shardpb.Begin) *shardpb.BeginResult {
	f.t.Helper()
	begun := f.mustBegin(op).GetBegin()
	failed := f.fail(&shardpb.Fail{
		Key: op.GetKey(), Epoch: begun.GetEpoch(), Attempt: begun.GetAttempt(),
		Failure: &shardpb.Failure{Reason: "leaving", NotRun: true},
	})
	assert.Assert(f.t, failed.GetFail().GetFailure().GetNotRun())
	return begun
}

func TestReopenedCallReservesItsBudget(t *testing.T) {
	f := newFixture(t)
	f.failNotRun(modelCall("p", "c1"))
	assert.Equal(t, f.budget().GetReserved(), uint64(0))
	f.mustBegin(modelCall("p", "c1"))
	assert.Equal(t, f.budget().GetReserved(), uint64(150))
	f.restart()
	assert.Equal(t, f.budget().GetReserved(), uint64(150))
}

func TestReopenedCallIsCheckedAgainstTheContract(t *testing.T) {
	f := newFixture(t)
	f.failNotRun(modelCall("p", "c1"))
	f.changeContract("lower", func(c *shardpb.Contract) { c.Budget.Tokens = 149 })
	assertRefused(t, f.begin(modelCall("p", "c1")), shardpb.Reason_REASON_BUDGET_EXHAUSTED)
	f.changeContract("suspend", func(c *shardpb.Contract) { c.Suspended = true })
	assertRefused(t, f.begin(modelCall("p", "c1")), shardpb.Reason_REASON_SUSPENDED)
	f.changeContract("one", func(c *shardpb.Contract) { c.Suspended, c.Budget.Tokens, c.MaxConcurrentCalls = false, 1000, 1 })
	f.mustBegin(modelCall("q", "c1"))
	assertRefused(t, f.begin(modelCall("p", "c1")), shardpb.Reason_REASON_CONCURRENCY_LIMIT)
}

func TestCallOfAnEndedProgramIsNotReopened(t *testing.T) {
	f := newFixture(t)
	f.failNotRun(modelCall("p", "c1"))
	f.endProgram("p")
	again := f.mustBegin(modelCall("p", "c1")).GetBegin()
	assert.Assert(t, !again.GetFirst())
	assert.Equal(t, again.GetState(), shardpb.CallState_CALL_STATE_FAILED)
}

func TestReopenedCallWithoutServerFailsAsNotRun(t *testing.T) {
	f := newFixture(t)
	op := serviceCall("p", "t1", "create")
	f.failNotRun(op)
	op.Target = nil
	begun := f.mustBegin(op).GetBegin()
	failed := f.fail(&shardpb.Fail{
		Key: op.GetKey(), Epoch: begun.GetEpoch(), Attempt: begun.GetAttempt(), Failure: &shardpb.Failure{Reason: "no_server"},
	})
	assert.Equal(t, failed.GetFail().GetState(), shardpb.CallState_CALL_STATE_FAILED)
	assert.Assert(t, failed.GetFail().GetFailure().GetNotRun())
}
