// Package order decides which waiting call runs next. A Queue holds the calls that
// wait for a backend server or at an entry. It is deterministic: the same sequence
// of operations gives the same order.
package order

import (
	"cmp"
	"math/bits"
	"time"
)

// Call holds the properties of a call that determine its place in a queue. Times
// are on the clock of the queue's caller.
type Call struct {
	ID             string // unique within a queue
	Program        string // qualified by the customer
	Customer       string
	Priority       int32         // of the contract; higher values go first
	SharePermille  uint32        // weight for FairShare, of the contract; 0 counts as 1
	AttainedTokens uint64        // tokens served to the program by its earlier calls
	Cost           uint64        // expected tokens of this call; 0 counts as 1
	Arrived        time.Duration // when the call began to wait
	Deadline       time.Duration // the call must start before it; 0 means none
	Alone          bool          // must run alone on its server; only the callback of PopIf checks it
}

// Policy selects the rules that rank waiting calls. The rules apply in the order
// of the fields, each to calls that the earlier ones rank as equal. The zero
// Policy is first in, first out.
type Policy struct {
	// StarvationWait is the wait after which a call is overdue; 0 disables the
	// protection from starvation. While calls are overdue, at least one in
	// StarvationPeriod pops returns the oldest of them.
	StarvationWait   time.Duration
	StarvationPeriod int // number of pops; 0 counts as 1
	// Priority ranks calls by the priority of their contract.
	Priority bool
	// AgingInterval, if not 0, adds aging to Priority: a call gains one priority
	// level for each AgingInterval that it has waited.
	AgingInterval time.Duration
	// FairShare ranks calls by the service that their customer has received in
	// relation to its share, least first.
	FairShare bool
	// LeastAttained ranks calls by the attained service of their program in powers
	// of two, least first. It is off by default: see docs/design/policy-order.md.
	LeastAttained bool
	// Capacity is the maximum number of waiting calls; 0 means no limit.
	Capacity int
}

// DefaultPolicy returns the rules for calls that wait for a backend server.
func DefaultPolicy() Policy {
	return Policy{
		StarvationWait:   30 * time.Second,
		StarvationPeriod: 8,
		Priority:         true,
		FairShare:        true,
		Capacity:         256,
	}
}

// rank holds the values by which calls are compared.
type rank struct {
	call    *Call
	service float64 // that the customer has received, divided by its share
	seq     uint64  // increases with each Push
}

// compare returns a negative number if a goes before b. It is a total order: it
// returns 0 only if the seq of both is equal.
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

// comparePriority returns a negative number if a has a higher priority, with aging
// if the policy sets an AgingInterval.
func (p *Policy) comparePriority(a, b *Call) int {
	if p.AgingInterval == 0 {
		return cmp.Compare(b.Priority, a.Priority)
	}
	return cmp.Compare(p.weightedArrival(a), p.weightedArrival(b))
}

// weightedArrival returns the arrival time less one AgingInterval for each
// priority level. Comparing it is equivalent to comparing aged priorities and does
// not depend on the current time.
func (p *Policy) weightedArrival(c *Call) time.Duration {
	return c.Arrived - time.Duration(c.Priority)*p.AgingInterval
}

// compareArrival orders calls by arrival time, then by the order in which they were
// pushed.
func compareArrival(a, b rank) int {
	if c := cmp.Compare(a.call.Arrived, b.call.Arrived); c != 0 {
		return c
	}
	return cmp.Compare(a.seq, b.seq)
}
