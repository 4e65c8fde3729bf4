// Package drain decides which requests an entry that stops still takes.
//
// It answers rolling stops under load: until the load balancer has noticed, and on connections
// opened before, an entry gets requests whose time limits end after it does. One that is passed
// on and cut off may have run, so that nobody can repeat an unsafe one; one that is refused is
// repeated at another entry at once. Most requests take a small part of their time limit, so
// refusing all whose limit lies beyond the end would refuse many that had been served.
package drain

import "time"

const (
	// unsafeMarginDivisor and unsafeMargin are added to the longest of the latest runs on a route:
	// a part of it, and the same time for all routes.
	unsafeMarginDivisor = 4
	unsafeMargin        = 250 * time.Millisecond
	// minRuns is the number of runs below which the longest of them is no estimate.
	minRuns = 5
	// unknownDivisor divides the time limit of a repeatable request into the time that it must
	// have left without an estimate.
	unknownDivisor = 2
)

// Request is a request that has not been sent to a backend server, or that may be sent to another
// one.
type Request struct {
	Repeatable bool          // it may run again at another entry after it was cut off
	Stream     bool          // a response that has begun is broken off at the end: no other can be sent
	TimeLimit  time.Duration // after which it ends in any case
	Runs       Runs          // on its route
}

// Runs are the latest runs on a route.
type Runs struct {
	Count   int
	Longest time.Duration
}

// Admit reports whether a request is taken. left is the time until all responses must be complete.
// A request that ends in any case before is always taken, and none is when no time is left.
func Admit(r Request, left time.Duration) bool {
	return left > 0 && left >= min(r.TimeLimit, expected(r))
}

// expected returns the time within which a request is expected to end.
func expected(r Request) time.Duration {
	known := r.Runs.Count >= minRuns
	switch {
	case r.Repeatable && !r.Stream && known:
		return r.Runs.Longest
	case r.Repeatable && !known:
		return r.TimeLimit / unknownDivisor
	case known:
		return r.Runs.Longest + r.Runs.Longest/unsafeMarginDivisor + unsafeMargin
	}
	return r.TimeLimit
}
