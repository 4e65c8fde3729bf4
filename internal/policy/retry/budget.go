package retry

import "sync/atomic"

// Default parameters of the retry budget of a process.
const (
	DefaultBudgetShare = 0.5 // retries per first attempt
	DefaultBudgetBurst = 50  // retries at once
)

// millitokensPerRetry is the cost of a retry in thousandths of a token, the unit in
// which a Budget counts.
const millitokensPerRetry = 1000

// Budget limits retries to a share of the traffic with a token bucket: each first
// attempt adds a fraction of a token, and each retry takes one token. The number of
// retries never exceeds burst + share * first attempts. It is safe for concurrent use.
type Budget struct {
	level   atomic.Int64 // in thousandths of a token, like the other fields
	deposit int64        // added by each first attempt
	limit   int64        // capacity of the bucket
}

// NewBudget returns a full budget. The share is the number of retries allowed per
// first attempt, 0 to 1; the burst is the number of retries allowed at once.
func NewBudget(share float64, burst int) *Budget {
	b := &Budget{
		deposit: int64(share * millitokensPerRetry),
		limit:   int64(burst) * millitokensPerRetry,
	}
	b.level.Store(b.limit)
	return b
}

// RecordFirstAttempt adds the deposit of a first attempt to the budget.
func (b *Budget) RecordFirstAttempt() {
	for {
		old := b.level.Load()
		next := min(old+b.deposit, b.limit)
		if b.level.CompareAndSwap(old, next) {
			return
		}
	}
}

// TrySpend takes the token for one retry. It returns false, and takes nothing, if
// the budget does not hold a whole token.
func (b *Budget) TrySpend() bool {
	for {
		old := b.level.Load()
		if old < millitokensPerRetry {
			return false
		}
		if b.level.CompareAndSwap(old, old-millitokensPerRetry) {
			return true
		}
	}
}
