package shard

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/shardpb"
)

func TestApplyContractResendReturnsFirstResult(t *testing.T) {
	f := newFixture(t)
	changed := testContract(testCustomer)
	changed.Priority = 9
	firstResult := f.applyContract(changed, 1, "raise")
	f.changeContract("later", func(c *shardpb.Contract) { c.Priority = 1 })
	f.restart()
	again := f.applyContract(changed, 1, "raise")
	assert.Assert(t, proto.Equal(again, firstResult))
	assert.Equal(t, f.state.Contract(testCustomer).GetPriority(), int32(1))
}

func TestApplyContractRefusesReusedChangeID(t *testing.T) {
	f := newFixture(t)
	other := testContract(testCustomer)
	other.Priority = 9
	assertRefused(t, f.applyContract(other, 1, "create"), shardpb.Reason_REASON_CHANGE_ID_REUSED)
}

func TestApplyContractRefusesTheSecondOfTwoConcurrentChanges(t *testing.T) {
	f := newFixture(t)
	a, b := testContract(testCustomer), testContract(testCustomer)
	a.Priority, b.Priority = 1, 2
	assert.Assert(t, f.applyContract(a, 1, "a").GetContract() != nil)
	lost := f.applyContract(b, 1, "b")
	assertRefused(t, lost, shardpb.Reason_REASON_VERSION_CONFLICT)
	assert.Equal(t, lost.GetRefusal().GetWinner().GetPriority(), int32(1))
	assert.Equal(t, lost.GetRefusal().GetWinner().GetVersion(), uint64(2))
}

func TestApplyContractDoesNotRepeatAForgottenChange(t *testing.T) {
	f := newFixture(t)
	for i := range MaxChanges {
		f.changeContract(fmt.Sprintf("change-%d", i), func(c *shardpb.Contract) { c.Priority = int32(i % 9) })
	}
	before := f.state.Contract(testCustomer)
	assertRefused(t, f.applyContract(testContract(testCustomer), 0, "create"), shardpb.Reason_REASON_VERSION_CONFLICT)
	assert.Assert(t, proto.Equal(f.state.Contract(testCustomer), before))
	assert.Equal(t, len(f.state.customers[testCustomer].changes.entries), MaxChanges)
}

func TestApplyContractRefusesInvalidContract(t *testing.T) {
	f := newFixture(t)
	bad := testContract(testCustomer)
	bad.MaxTurns = 0
	refusedResult := f.applyContract(bad, 1, "bad")
	assertRefused(t, refusedResult, shardpb.Reason_REASON_INVALID_CONTRACT)
	assert.Equal(t, f.state.Contract(testCustomer).GetVersion(), uint64(1))
}

func TestContractAppliesFromTheNextCommand(t *testing.T) {
	f := newFixture(t)
	f.changeContract("suspend", func(c *shardpb.Contract) { c.Suspended = true })
	assertRefused(t, f.begin(modelCall("p", "c1")), shardpb.Reason_REASON_SUSPENDED)
	f.changeContract("resume", func(c *shardpb.Contract) { c.Suspended = false })
	f.mustBegin(modelCall("p", "c1"))
}

func TestLoweredBudgetDoesNotAffectOpenCalls(t *testing.T) {
	f := newFixture(t)
	f.exchange("p", "c1")
	begun := f.mustBegin(modelCall("p", "c2"))
	f.changeContract("lower", func(c *shardpb.Contract) { c.Budget.Tokens = 10 })
	assertRefused(t, f.begin(modelCall("q", "c1")), shardpb.Reason_REASON_BUDGET_EXHAUSTED)
	done := f.finish(begun, testCall("p", "c2"), testAnswer("a", 90, 50))
	assert.Assert(t, done.GetCommit().GetFirst())
}

func TestKeyOfAnotherCustomerIsRefused(t *testing.T) {
	f := newFixture(t)
	f.applyContract(testContract("wharf"), 0, "create-wharf")
	f.exchange("p", "c1")
	request := modelCall("p", "c1")
	request.KeyHash = testKey("wharf")
	assertRefused(t, f.begin(request), shardpb.Reason_REASON_BAD_KEY)
	assert.Assert(t, !f.state.Authenticated(testCustomer, testKey("wharf")))
	assert.Assert(t, f.state.Authenticated(testCustomer, testKey(testCustomer)))
}

func TestProgramsOfTwoCustomersAreSeparate(t *testing.T) {
	f := newFixture(t)
	f.applyContract(testContract("wharf"), 0, "create-wharf")
	f.exchange("p", "c1")
	other := modelCall("p", "c1")
	other.Key.Customer = "wharf"
	other.KeyHash = testKey("wharf")
	begun := f.mustBegin(other)
	assert.Assert(t, begun.GetBegin().GetFirst())
	assert.Equal(t, begun.GetBegin().GetHistoryTurns(), uint64(0))
	view, err := f.state.History("wharf", "p", 0)
	assert.NilError(t, err)
	assert.Equal(t, len(view.Items), 0)
}

func TestUnknownCustomerIsRefused(t *testing.T) {
	f := newFixture(t)
	op := modelCall("p", "c1")
	op.Key.Customer = "nobody"
	assertRefused(t, f.begin(op), shardpb.Reason_REASON_UNKNOWN_CUSTOMER)
}
