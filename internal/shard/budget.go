package shard

import "ibistray.example/ibistray/proto/shardpb"

// budgetAccount tracks a customer's budget in the current period, in tokens. The
// sum of used and reserved never exceeds the limit that was in force at the
// latest reservation.
type budgetAccount struct {
	period        uint64 // sequence number of the period
	startMs       int64
	endMs         int64 // 0: the period does not end
	used          uint64
	reserved      uint64
	clampedTokens uint64 // reported usage above the reservations, over all periods
}

// changePeriod adapts the account to a contract's new budget. Periods are aligned
// to the Unix epoch. After a change of the period length, used tokens count until
// the next boundary of the new length.
func (a *budgetAccount) changePeriod(previous, next *shardpb.Budget, nowMs int64) {
	if previous == nil {
		a.startMs, a.endMs = periodBounds(next, nowMs)
		return
	}
	a.rollOver(previous, nowMs)
	if previous.GetPeriodMs() != next.GetPeriodMs() {
		_, a.endMs = periodBounds(next, nowMs)
	}
}

// rollOver starts a new period if the current one has ended.
func (a *budgetAccount) rollOver(budget *shardpb.Budget, nowMs int64) {
	if a.endMs == 0 || nowMs < a.endMs {
		return
	}
	a.period++
	a.startMs, a.endMs = periodBounds(budget, nowMs)
	a.used = 0
	a.reserved = 0
}

// periodBounds returns the bounds of the period that contains nowMs, or zeros if
// the budget has no period.
func periodBounds(budget *shardpb.Budget, nowMs int64) (startMs, endMs int64) {
	length := budget.GetPeriodMs()
	if length == 0 {
		return 0, 0
	}
	startMs = nowMs - nowMs%length
	return startMs, startMs + length
}

// reserve reserves tokens, or returns a refusal that suggests a retry at the end
// of the period.
func (a *budgetAccount) reserve(budget *shardpb.Budget, tokens uint64, nowMs int64) *shardpb.Refusal {
	taken := a.used + a.reserved
	if taken+tokens <= budget.GetTokens() {
		a.reserved += tokens
		return nil
	}
	refusal := newRefusal(shardpb.Reason_REASON_BUDGET_EXHAUSTED,
		"the call may need %d tokens; %d of %d are used or reserved", tokens, taken, budget.GetTokens())
	if a.endMs != 0 {
		refusal.RetryAfterMs = a.endMs - nowMs
	}
	return refusal
}

// settle releases the reservation of an open call and charges the usage, limited
// to the reservation. A reservation of an earlier period does not change the
// current one: it counted against the period in which it was made.
func (a *budgetAccount) settle(open *openCall, usage uint64) {
	charge := min(usage, open.reserved)
	a.clampedTokens += usage - charge
	if open.period != a.period {
		return
	}
	a.reserved -= open.reserved
	a.used += charge
}

// totalTokens returns the prompt and completion tokens, which count against the
// budget.
func totalTokens(usage *shardpb.Usage) uint64 {
	return usage.GetPromptTokens() + usage.GetCompletionTokens()
}
