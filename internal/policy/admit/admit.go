// Package admit decides whether a call may wait for a backend server or is
// refused at once. A refused call has not run, and its caller is told when to
// come back. The decisions are pure: a snapshot in, a decision out.
package admit

import "time"

// Reason says why a call was refused; it is a name for counters.
type Reason string

// Reasons of a decision. ReasonNone means that the call was admitted.
const (
	ReasonNone      Reason = ""
	ReasonQueueFull Reason = "queue_full" // as many calls wait as may
	ReasonOverload  Reason = "overload"   // the wait is too long for this priority
	ReasonDeadline  Reason = "deadline"   // the call cannot end before its deadline
	ReasonMemory    Reason = "memory"     // the engine's memory is taken by other programs
)

// topPriority is the highest priority of a contract.
const topPriority = 9

// Policy are the bounds on waiting.
type Policy struct {
	// Capacity is the most calls that wait; 0: no bound.
	Capacity int
	// MaxWait is the longest expected wait at which a call of the highest
	// priority is admitted; 0: no bound. The lowest priority is admitted up to
	// LowestShare of it, those between in proportion.
	MaxWait             time.Duration
	LowestPriorityShare float64
	// NewProgramShare, 0 to 1, scales the bound for the first call of a
	// program: under overload, programs that have begun are finished before
	// new ones begin.
	NewProgramShare float64
	// NewProgramMemory is the share of the engine's memory up to which the first
	// call of a program of the highest priority is admitted; 0: no bound. The
	// lowest priority is admitted up to LowestMemory, those between in
	// proportion. It keeps programs that have begun from losing their prefixes.
	NewProgramMemory     float64
	LowestPriorityMemory float64
	// EnforceDeadlines refuses calls that cannot end in time.
	EnforceDeadlines bool
	// MinRetryAfter and MaxRetryAfter bound the hint when to come back.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
}

// DefaultPolicy returns the bounds in use.
func DefaultPolicy() Policy {
	return Policy{
		Capacity:             256,
		MaxWait:              60 * time.Second,
		LowestPriorityShare:  0.25,
		NewProgramShare:      0.05,
		NewProgramMemory:     0.9,
		LowestPriorityMemory: 0.75,
		EnforceDeadlines:     true,
		MinRetryAfter:        10 * time.Second,
		MaxRetryAfter:        time.Minute,
	}
}

// Request is what the decision needs to know of a call.
type Request struct {
	Priority   int32         // of the contract, 0 to 9
	NewProgram bool          // the program's first call
	RunTime    time.Duration // expected time from start to end
	Deadline   time.Duration // 0: none
}

// Load is the state of the queue that the call would join.
type Load struct {
	Waiting      int           // calls in the queue
	Running      int           // calls on the engine
	ExpectedWait time.Duration // expected wait of a new call of this priority
	// MemoryShare is the share of the engine's memory that prefixes of running,
	// waiting and paused programs hold; 0: not known. It must leave out
	// programs that are gone: an engine that evicts only when it must is always
	// full, and new programs would be admitted only while it idles.
	MemoryShare float64
}

// Decision admits a call or refuses it with the time after which the caller
// should come back.
type Decision struct {
	Admit      bool
	Reason     Reason
	RetryAfter time.Duration // for a refusal
}

// Decide returns the decision on a call.
func (p Policy) Decide(req Request, load Load, now time.Duration) Decision {
	if p.EnforceDeadlines && req.Deadline != 0 && now+load.ExpectedWait+req.RunTime > req.Deadline {
		return p.refuse(ReasonDeadline, load.ExpectedWait+req.RunTime-max(req.Deadline-now, 0))
	}
	if p.Capacity > 0 && load.Waiting >= p.Capacity {
		return p.refuse(ReasonQueueFull, load.ExpectedWait)
	}
	if p.memoryShort(req, load) {
		return p.refuse(ReasonMemory, load.ExpectedWait+req.RunTime)
	}
	bound := p.bound(req)
	if p.MaxWait > 0 && load.ExpectedWait > bound {
		return p.refuse(ReasonOverload, load.ExpectedWait-bound)
	}
	return Decision{Admit: true}
}

// rank maps the priority to 0 (lowest) to 1 (highest).
func (r Request) rank() float64 {
	return float64(min(max(r.Priority, 0), topPriority)) / topPriority
}

// memoryShort reports whether a new program must not begin because of the
// memory. An engine that runs nothing takes it in any case, so that memory which
// nobody releases cannot stop all work.
func (p Policy) memoryShort(req Request, load Load) bool {
	if !req.NewProgram || p.NewProgramMemory == 0 || load.Running == 0 {
		return false
	}
	rank := req.rank()
	return load.MemoryShare >= rank*p.NewProgramMemory+(1-rank)*p.LowestPriorityMemory
}

// bound returns the longest expected wait at which the call is admitted.
func (p Policy) bound(req Request) time.Duration {
	rank := req.rank()
	share := rank + (1-rank)*p.LowestPriorityShare
	if req.NewProgram {
		share *= p.NewProgramShare
	}
	return time.Duration(share * float64(p.MaxWait))
}

// refuse returns a refusal whose hint is the time in which the queue is
// expected to have shrunk enough.
func (p Policy) refuse(reason Reason, excess time.Duration) Decision {
	hint := min(max(excess, p.MinRetryAfter), p.MaxRetryAfter)
	return Decision{Reason: reason, RetryAfter: hint}
}

// permille is the unit of a contract's share.
const permille = 1000

// SlotLimit returns how many of the slots a customer may hold under a contract
// share in permille: at least one. A share of 0 means that the contract sets no
// limit.
func SlotLimit(slots int, sharePermille uint32) int {
	if sharePermille == 0 || sharePermille >= permille {
		return slots
	}
	return max(slots*int(sharePermille)/permille, 1)
}
