// Package order decides which waiting call runs next. A Queue holds the calls
// that wait in front of one backend server or at an entry; its order depends on
// the arguments only, so the same operations give the same order.
package order

import (
	"cmp"
	"math/bits"
	"time"
)

// Call is what the order of calls depends on.
type Call struct {
	ID             string // unique within a queue
	Program        string // customer and program
	Customer       string
	Priority       int32         // of the contract, higher goes first
	SharePermille  uint32        // of the contract in permille; 0 counts as 1
	AttainedTokens uint64        // tokens served to the program by its earlier calls
	Cost           uint64        // expected tokens of this call; 0 counts as 1
	Arrived        time.Duration // when the call began to wait
	Deadline       time.Duration // the call must not start at or after it; 0: none
	Alone          bool          // must run with nothing else; for the eligible function of PopIf
}

// Policy selects the rules that rank waiting calls, each tried in the order of
// the fields. The zero Policy is the order of arrival.
type Policy struct {
	// StarvationWait is the wait after which a call is overdue; 0 turns the
	// guarantee off. While calls are overdue, the oldest one is taken at least
	// once in each StarvationPeriod pops.
	StarvationWait   time.Duration
	StarvationPeriod int // 0 counts as 1
	// Priority ranks by contract priority.
	Priority bool
	// AgingInterval, if not 0, replaces the strict rank of Priority by an
	// age-weighted one: each AgingInterval of waiting counts as one priority level.
	AgingInterval time.Duration
	// FairShare ranks by the customer's service in proportion to its share.
	FairShare bool
	// LeastAttained ranks by the program's attained service, in powers of two.
	// It is off by default: see docs/design/policy-order.md.
	LeastAttained bool
	// Capacity is the most calls that may wait; 0: no bound.
	Capacity int
}

// DefaultPolicy returns the rules in use.
func DefaultPolicy() Policy {
	return Policy{
		StarvationWait:   30 * time.Second,
		StarvationPeriod: 8,
		Priority:         true,
		FairShare:        true,
		Capacity:         256,
	}
}

// rank is a call with what the queue knows of its customer.
type rank struct {
	call    *Call
	service float64 // customer's service in proportion to its share
	seq     uint64  // order of Push
}

// compare returns a negative number when a goes before b. It is a total order:
// it returns 0 only for equal seq.
func (p *Policy) compare(a, b rank) int {
	if p.Priority {
		if c := p.comparePriority(a.call, b.call); c != 0 {
			return c
		}
	}
	if p.FairShare {
		if c := cmp.Compare(a.service, b.service); c != 0 {
			return c
		}
	}
	if p.LeastAttained {
		if c := cmp.Compare(bits.Len64(a.call.AttainedTokens), bits.Len64(b.call.AttainedTokens)); c != 0 {
			return c
		}
	}
	return compareArrival(a, b)
}

func (p *Policy) comparePriority(a, b *Call) int {
	if p.AgingInterval == 0 {
		return cmp.Compare(b.Priority, a.Priority)
	}
	return cmp.Compare(p.weightedArrival(a), p.weightedArrival(b))
}

// weightedArrival moves the arrival forward by one AgeStep for each priority
// level, which ranks calls the same at any time.
func (p *Policy) weightedArrival(c *Call) time.Duration {
	return c.Arrived - time.Duration(c.Priority)*p.AgingInterval
}

func compareArrival(a, b rank) int {
	if c := cmp.Compare(a.call.Arrived, b.call.Arrived); c != 0 {
		return c
	}
	return cmp.Compare(a.seq, b.seq)
}
