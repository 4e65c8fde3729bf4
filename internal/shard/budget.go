package shard

import "ibistray.example/ibistray/proto/shardpb"

// ledger is a customer's budget in the current period, in tokens. Used plus
// reserved is at most the limit that was in force at the latest reservation.
type ledger struct {
	period   uint64 // number of the period, grows by one
	startMs  int64
	endMs    int64 // 0: the period does not end
	used     uint64
	reserved uint64
	clamped  uint64 // reported usage above the reservations, of all periods
}

// setLength follows a contract change. Periods are aligned to the Unix epoch. A
// new length keeps what is used until the next boundary of the new length.
func (l *ledger) setLength(previous, next *shardpb.Budget, nowMs int64) {
	if previous == nil {
		l.startMs, l.endMs = periodOf(next, nowMs)
		return
	}
	l.roll(previous, nowMs)
	if previous.GetPeriodMs() != next.GetPeriodMs() {
		_, l.endMs = periodOf(next, nowMs)
	}
}

// roll starts a new period when the current one has ended.
func (l *ledger) roll(budget *shardpb.Budget, nowMs int64) {
	if l.endMs == 0 || nowMs < l.endMs {
		return
	}
	l.period++
	l.startMs, l.endMs = periodOf(budget, nowMs)
	l.used = 0
	l.reserved = 0
}

// periodOf returns the bounds of the period that contains now, zeros for a
// budget for all time.
func periodOf(budget *shardpb.Budget, nowMs int64) (startMs, endMs int64) {
	length := budget.GetPeriodMs()
	if length == 0 {
		return 0, 0
	}
	startMs = nowMs - nowMs%length
	return startMs, startMs + length
}

// reserve sets tokens aside, or refuses with the time until the period's end.
func (l *ledger) reserve(budget *shardpb.Budget, tokens uint64, nowMs int64) *shardpb.Refusal {
	taken := l.used + l.reserved
	if taken+tokens <= budget.GetTokens() {
		l.reserved += tokens
		return nil
	}
	refusal := refuse(shardpb.Reason_REASON_BUDGET_EXHAUSTED,
		"the call may need %d tokens; %d of %d are used or reserved", tokens, taken, budget.GetTokens())
	if l.endMs != 0 {
		refusal.RetryAfterMs = l.endMs - nowMs
	}
	return refusal
}

// settle releases a reservation and charges the usage, at most the
// reservation. A reservation of an earlier period was charged to that period,
// so it leaves the current one as it is.
func (l *ledger) settle(open *openCall, usage uint64) {
	charge := min(usage, open.reserved)
	l.clamped += usage - charge
	if open.period != l.period {
		return
	}
	l.reserved -= open.reserved
	l.used += charge
}

// tokensOf returns the tokens that count against a budget.
func tokensOf(usage *shardpb.Usage) uint64 {
	return usage.GetPromptTokens() + usage.GetCompletionTokens()
}
