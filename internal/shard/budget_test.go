package shard

import (
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/shardpb"
)

func (f *fixture) budget() *shardpb.BudgetView {
	f.t.Helper()
	view, err := f.state.Budget(testCustomer)
	assert.NilError(f.t, err)
	return view
}

func TestBudgetReservesTheWorstCaseAndChargesTheUsage(t *testing.T) {
	f := newFixture(t)
	f.exchange("p", "c1")
	assert.Equal(t, f.budget().GetUsed(), uint64(50))
	begun := f.mustBegin(modelCall("p", "c2"))
	assert.Equal(t, f.budget().GetReserved(), uint64(50+100+50))
	f.finish(begun, testCall("p", "c2"), testAnswer("a", 90, 20))
	assert.Equal(t, f.budget().GetReserved(), uint64(0))
	assert.Equal(t, f.budget().GetUsed(), uint64(50+110))
}

func TestUsageAboveTheReservationIsClampedAndCounted(t *testing.T) {
	f := newFixture(t)
	begun := f.mustBegin(modelCall("p", "c1"))
	f.finish(begun, testCall("p", "c1"), testAnswer("a", 1000, 50))
	assert.Equal(t, f.budget().GetUsed(), uint64(150))
	stats, err := f.state.CustomerStats(testCustomer)
	assert.NilError(t, err)
	assert.Equal(t, stats.ClampedTokens, uint64(900))
	view, err := f.state.Program(testCustomer, "p")
	assert.NilError(t, err)
	assert.Equal(t, view.GetHistoryTokens(), uint64(150))
}

func TestChargeWithoutReportedUsage(t *testing.T) {
	cases := []struct {
		name    string
		failure *shardpb.Failure
		used    uint64
	}{
		{"answer", nil, 150},
		{"not run", &shardpb.Failure{Reason: "full", NotRun: true}, 0},
		{"error status", &shardpb.Failure{Reason: "server_error", Status: 500}, 0},
		{"server died", &shardpb.Failure{Reason: "server_died"}, 150},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			begun := f.mustBegin(modelCall("p", "c1")).GetBegin()
			if tc.failure == nil {
				f.commit(&shardpb.Commit{Key: testCall("p", "c1"), Epoch: begun.GetEpoch(), Attempt: 1, Answer: &shardpb.Answer{}})
			} else {
				f.fail(&shardpb.Fail{Key: testCall("p", "c1"), Epoch: begun.GetEpoch(), Attempt: 1, Failure: tc.failure})
			}
			assert.Equal(t, f.budget().GetUsed(), tc.used)
			assert.Equal(t, f.budget().GetReserved(), uint64(0))
		})
	}
}

func TestReservedTokensCountAgainstTheLimit(t *testing.T) {
	f := newFixture(t)
	f.changeContract("small", func(c *shardpb.Contract) { c.Budget.Tokens = 299 })
	begun := f.mustBegin(modelCall("p", "c1"))
	assertRefused(t, f.begin(modelCall("q", "c1")), shardpb.Reason_REASON_BUDGET_EXHAUSTED)
	f.finish(begun, testCall("p", "c1"), testAnswer("a", 100, 49))
	f.mustBegin(modelCall("q", "c1"))
}

func TestReservationIsChargedToItsOwnPeriod(t *testing.T) {
	f := newFixture(t)
	begun := f.mustBegin(modelCall("p", "c1"))
	f.nowMs += testPeriodMs
	f.exchange("q", "c1")
	assert.Equal(t, f.budget().GetReserved(), uint64(0))
	f.restart()
	f.finish(begun, testCall("p", "c1"), testAnswer("a", 90, 20))
	assert.Equal(t, f.budget().GetUsed(), uint64(50))
	assert.Equal(t, f.budget().GetReserved(), uint64(0))
}

func TestExpireStartsTheNextPeriod(t *testing.T) {
	f := newFixture(t)
	f.exchange("p", "c1")
	f.nowMs += testPeriodMs
	f.expire(0)
	assert.Equal(t, f.budget().GetUsed(), uint64(0))
}

func TestNewPeriodLengthKeepsUsedTokens(t *testing.T) {
	f := newFixture(t)
	f.nowMs = 20_000*testPeriodMs + testPeriodMs/2
	f.exchange("p", "c1")
	f.changeContract("shorter", func(c *shardpb.Contract) { c.Budget.PeriodMs = testPeriodMs / 4 })
	assert.Equal(t, f.budget().GetUsed(), uint64(50))
	f.nowMs += testPeriodMs/4 - 1
	f.exchange("p", "c2")
	assert.Equal(t, f.budget().GetUsed(), uint64(100))
	f.nowMs++
	f.exchange("p", "c3")
	assert.Equal(t, f.budget().GetUsed(), uint64(50))
	f.changeContract("for all time", func(c *shardpb.Contract) { c.Budget.PeriodMs = 0 })
	f.nowMs += 100 * testPeriodMs
	f.exchange("q", "c1")
	assert.Equal(t, f.budget().GetUsed(), uint64(100))
}

func TestBudgetRefusalSuggestsRetryAtTheEndOfThePeriod(t *testing.T) {
	f := newFixture(t)
	f.changeContract("none", func(c *shardpb.Contract) { c.Budget.Tokens = 0 })
	f.nowMs = 20_000*testPeriodMs + 1000
	refusal := f.begin(modelCall("p", "c1")).GetRefusal()
	assert.Equal(t, refusal.GetReason(), shardpb.Reason_REASON_BUDGET_EXHAUSTED)
	assert.Equal(t, refusal.GetRetryAfterMs(), int64(testPeriodMs-1000))
	f.mustBegin(serviceCall("p", "t1", "lookup"))
}
