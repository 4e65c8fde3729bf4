package retry

import "sync/atomic"

// Constants of the budget of one process.
const (
	DefaultBudgetShare = 0.5 // retries for each first attempt
	DefaultBudgetBurst = 50  // retries at once
)

// millitokens is the unit of a Budget: one retry costs 1,000.
const millitokens = 1000

// Budget bounds retries to a share of the traffic: a token bucket that each
// first attempt fills a little and each retry takes one token from. It is safe
// for concurrent use. Retries never exceed burst + share * first attempts.
type Budget struct {
	level   atomic.Int64
	deposit int64
	limit   int64
}

// NewBudget returns a full budget. Share is the retries allowed for each first
// attempt, 0 to 1; burst is the retries allowed at once.
func NewBudget(share float64, burst int) *Budget {
	b := &Budget{
		deposit: int64(share * millitokens),
		limit:   int64(burst) * millitokens,
	}
	b.level.Store(b.limit)
	return b
}

// RecordFirstAttempt counts a first attempt.
func (b *Budget) RecordFirstAttempt() {
	for {
		old := b.level.Load()
		next := min(old+b.deposit, b.limit)
		if b.level.CompareAndSwap(old, next) {
			return
		}
	}
}

// TrySpend takes the token of one retry and reports whether there was one.
func (b *Budget) TrySpend() bool {
	for {
		old := b.level.Load()
		if old < millitokens {
			return false
		}
		if b.level.CompareAndSwap(old, old-millitokens) {
			return true
		}
	}
}
