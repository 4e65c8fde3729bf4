// Package memory decides which requests an entry turns away, and which connections it
// closes, while it is short of memory or descriptors.
//
// It answers clients that read or write slowly: each of them keeps a connection, what it has
// sent and what it has not read yet, so a few hundred hold as much as thousands of quick ones.
// What has cost the least so far is turned away first: large bodies, and buffers that only
// allow a retry, before a program that would begin, on a less urgent route before an urgent
// one, before a small request of a running program, and any request before the response to
// one that runs.
//
// It also answers backend servers whose streams do not end, on routes where the output of a turn
// is kept: the largest output is ended first, and none may exceed a fixed size or be far larger
// than its request declared. Decisions are pure functions of their inputs.
package memory

// Class is the rank of a use of memory. Higher classes may use more of it.
type Class uint8

// Classes, the least important first.
const (
	Bulk              Class = iota // parts of bodies and buffered responses beyond their first bytes
	LessUrgentProgram              // begins a program on a route that is not urgent
	UrgentProgram                  // begins a program on a route of priority 0
	Request                        // any other request
	Response                       // part of the response to a request that runs
	classes
)

// shares are the parts of the budget up to which each class may use memory. The distance to
// the next one is what requests of the classes above find free when a class is turned away.
var shares = [classes]float64{Bulk: 0.4, LessUrgentProgram: 0.5, UrgentProgram: 0.7, Request: 0.85, Response: 1}

// ClassOf returns the class of a request that begins a program or does not, on a route of
// the given priority, 0 being the most urgent.
func ClassOf(newProgram bool, priority int) Class {
	switch {
	case !newProgram:
		return Request
	case priority <= 0:
		return UrgentProgram
	default:
		return LessUrgentProgram
	}
}

// Fits reports whether a use of memory may grow so that all uses together hold the given
// number of bytes.
func Fits(class Class, held, budget int64) bool {
	return float64(held) <= shares[class]*float64(budget)
}
