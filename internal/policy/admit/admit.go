// Package admit implements admission control: it decides whether a call may
// wait for a backend server or is refused at once. A refused call has not run,
// and its caller is told when to retry. Decisions are pure functions of a
// snapshot of the load.
package admit

import "time"

// Reason says why a call was refused. It can serve as the label of a counter.
type Reason string

// Reasons for a refusal. ReasonNone means that the call was admitted.
const (
	ReasonNone      Reason = ""
	ReasonQueueFull Reason = "queue_full" // the queue holds Policy.Capacity calls
	ReasonOverload  Reason = "overload"   // the expected wait exceeds the limit for this priority
	ReasonDeadline  Reason = "deadline"   // the call is expected to end after its deadline
	ReasonMemory    Reason = "memory"     // other programs use too much of the engine's memory
)

// maxPriority is the highest priority of a contract; the lowest is 0.
const maxPriority = 9

// Policy holds the limits of admission.
type Policy struct {
	// Capacity is the maximum number of waiting calls; 0 means no limit.
	Capacity int
	// MaxWait is the longest expected wait at which a call of the highest
	// priority is admitted; 0 means no limit. The limit falls linearly to
	// LowestPriorityShare, 0 to 1, of MaxWait for priority 0.
	MaxWait             time.Duration
	LowestPriorityShare float64
	// NewProgramShare, 0 to 1, scales the wait limit for the first call of a
	// program, so that under overload running programs finish before new ones
	// start.
	NewProgramShare float64
	// NewProgramMemory is the share of the engine's memory, 0 to 1, at which the
	// first call of a program of the highest priority is refused; 0 means no
	// limit. The threshold falls linearly to LowestPriorityMemory for priority 0.
	// It protects the cached prefixes of running programs from eviction.
	NewProgramMemory     float64
	LowestPriorityMemory float64
	// EnforceDeadlines refuses calls that are expected to miss their deadline.
	EnforceDeadlines bool
	// MinRetryAfter and MaxRetryAfter limit the Retry-After hint of a refusal.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
}

// DefaultPolicy returns the limits for calls that wait for a backend server.
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

// Request describes the call to decide on.
type Request struct {
	Priority   int32         // of the contract, 0 to 9
	NewProgram bool          // this is the program's first call
	RunTime    time.Duration // expected time from start to end, 0 if unknown
	Deadline   time.Duration // on the clock of Decide; 0 means none
}

// Load describes the queue that the call would join and its engine.
type Load struct {
	Waiting      int           // calls in the queue
	Running      int           // calls on the engine
	ExpectedWait time.Duration // of a new call of this priority
	// MemoryShare is the share of the engine's memory, 0 to 1, that the cached
	// prefixes of running, waiting and paused programs use; 0 if unknown. It must
	// exclude programs that have ended: the memory of an engine that evicts
	// prefixes only on demand is always full, so that new programs would be
	// admitted only while the engine is idle.
	MemoryShare float64
}

// Decision admits a call or refuses it with the delay after which the caller
// should retry.
type Decision struct {
	Admit      bool
	Reason     Reason
	RetryAfter time.Duration // set for a refusal
}

// Decide admits or refuses a call. The refusal's RetryAfter is the time in which
// the load is expected to fall below the limit, within the policy's limits.
func (p Policy) Decide(req Request, load Load, now time.Duration) Decision {
	if p.missesDeadline(req, load.ExpectedWait, now) {
		return p.refuse(ReasonDeadline, load.ExpectedWait+req.RunTime-max(req.Deadline-now, 0))
	}
	if p.Capacity > 0 && load.Waiting >= p.Capacity {
		return p.refuse(ReasonQueueFull, load.ExpectedWait)
	}
	if p.memoryShort(req, load) {
		return p.refuse(ReasonMemory, load.ExpectedWait+req.RunTime)
	}
	limit := p.waitLimit(req)
	if p.MaxWait > 0 && load.ExpectedWait > limit {
		return p.refuse(ReasonOverload, load.ExpectedWait-limit)
	}
	return Decision{Admit: true}
}

// DecideStart admits a waiting call to a free slot, or refuses it if it is not expected
// to end before its deadline any more. It answers the load under which the wait that
// Decide expected was too short: calls that arrive together are admitted before any of
// them is counted as waiting, calls of higher priority go first, and a server becomes
// slower. Without it the calls at the head of such a queue use up slots for answers that
// come too late, and the others wait until their callers give up.
func (p Policy) DecideStart(req Request, now time.Duration) Decision {
	if p.missesDeadline(req, 0, now) {
		return p.refuse(ReasonDeadline, req.RunTime-max(req.Deadline-now, 0))
	}
	return Decision{Admit: true}
}

// missesDeadline reports whether a call is refused because it is expected to end after
// its deadline.
func (p Policy) missesDeadline(req Request, wait, now time.Duration) bool {
	return p.EnforceDeadlines && req.Deadline != 0 && now+wait+req.RunTime > req.Deadline
}

// normalizedPriority maps the priority to the range 0 (lowest) to 1 (highest).
func (r Request) normalizedPriority() float64 {
	return float64(min(max(r.Priority, 0), maxPriority)) / maxPriority
}

// memoryShort reports whether a new program must not start for lack of memory.
// An engine that runs nothing accepts it in any case: otherwise memory that is
// never released would block all work.
func (p Policy) memoryShort(req Request, load Load) bool {
	if !req.NewProgram || p.NewProgramMemory == 0 || load.Running == 0 {
		return false
	}
	priority := req.normalizedPriority()
	return load.MemoryShare >= priority*p.NewProgramMemory+(1-priority)*p.LowestPriorityMemory
}

// waitLimit returns the longest expected wait at which the call is admitted.
func (p Policy) waitLimit(req Request) time.Duration {
	priority := req.normalizedPriority()
	share := priority + (1-priority)*p.LowestPriorityShare
	if req.NewProgram {
		share *= p.NewProgramShare
	}
	return time.Duration(share * float64(p.MaxWait))
}

// refuse returns a refusal with a Retry-After hint of excess, the time in which
// the load is expected to fall below the limit, within the policy's limits.
func (p Policy) refuse(reason Reason, excess time.Duration) Decision {
	retryAfter := min(max(excess, p.MinRetryAfter), p.MaxRetryAfter)
	return Decision{Reason: reason, RetryAfter: retryAfter}
}

// permille is the denominator of a contract's share, which is in thousandths.
const permille = 1000

// SlotLimit returns how many of an engine's slots a customer may use at the same
// time under the share in its contract: at least one. A share of 0 sets no limit.
func SlotLimit(slots int, sharePermille uint32) int {
	if sharePermille == 0 || sharePermille >= permille {
		return slots
	}
	return max(slots*int(sharePermille)/permille, 1)
}
