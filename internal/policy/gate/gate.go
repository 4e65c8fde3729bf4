// Package gate decides which requests of an entry to the program ledger are sent, which
// wait and which are refused. The load pattern is a burst of new programs beyond what
// the ledger's leader can do, together with a change of the leader: sent at once, the
// requests time out at the leader and come again, and no program ends.
package gate

import (
	"errors"
	"fmt"
	"time"

	"ibistray.example/ibistray/internal/policy/admit"
	"ibistray.example/ibistray/internal/policy/order"
	"ibistray.example/ibistray/internal/policy/window"
)

// Policy are the rules of a gate.
type Policy struct {
	Window window.Policy // requests under way
	Order  order.Policy  // of those that wait
	// Admission refuses turns that would wait too long; its bounds are for the wait in
	// the queue.
	Admission admit.Policy
}

const (
	// maxUnderWay bounds the requests of an entry to the ledger that are under way.
	// At the usual 10 ms each they are 4,000 a second.
	maxUnderWay = 40
	// minUnderWay of each of some hundred entries are what a leader takes.
	minUnderWay = 3
	// maxWaiting bounds the requests that wait at an entry.
	maxWaiting = 1024
	// paceWeight is the weight of a new interval in the mean pace.
	paceWeight = 0.1
)

// DefaultPolicy returns the rules in use.
func DefaultPolicy() Policy {
	return Policy{
		// A leader tells when it has too much to do. Slow answers alone do not show that,
		// since a network that loses packets makes them slow too; only one that takes
		// longer than any retransmission counts.
		Window: window.Policy{
			Min:              minUnderWay,
			Max:              maxUnderWay,
			SlowThreshold:    1200 * time.Millisecond,
			DecreaseFactor:   0.5,
			DecreaseInterval: 250 * time.Millisecond,
		},
		Order: order.Policy{
			StarvationWait:   400 * time.Millisecond,
			StarvationPeriod: 4,
			Priority:         true,
			Capacity:         maxWaiting,
		},
		// Refused clients come back later, and the programs under way go on.
		Admission: admit.Policy{
			MaxWait:             600 * time.Millisecond,
			LowestPriorityShare: 0.5,
			NewProgramShare:     0.4,
			MinRetryAfter:       200 * time.Millisecond,
			MaxRetryAfter:       time.Second,
		},
	}
}

// PrioritySettle is the priority of a request that settles a turn. It comes first: the
// turn was run already, its client waits for its end, and its budget is reserved.
const PrioritySettle = 9

const (
	priorityGoingOn = 8 // a turn of a program that is under way, of the most urgent route
	priorityNew     = 4 // the first turn of a program, of the most urgent route
	maxRouteRank    = 3 // routes that are less urgent are ranked like this one
)

// BeginPriority ranks the start of a turn: programs that are under way before new ones,
// then by the route's priority, 0 for the most urgent one.
func BeginPriority(routePriority int, newProgram bool) int32 {
	rank := min(max(routePriority, 0), maxRouteRank)
	if newProgram {
		return int32(priorityNew - rank)
	}
	return int32(priorityGoingOn - rank)
}

// ErrOverloaded is the class of *OverloadError.
var ErrOverloaded = errors.New("gate: too many requests wait for the ledger")

// OverloadError refuses a request that would wait too long: nothing was sent.
type OverloadError struct {
	Reason     admit.Reason
	RetryAfter time.Duration
}

func (e *OverloadError) Error() string {
	return fmt.Sprintf("%s: %s, come back after %s", ErrOverloaded, e.Reason, e.RetryAfter)
}

// Unwrap makes it an ErrOverloaded.
func (e *OverloadError) Unwrap() error { return ErrOverloaded }

// Outcome is how a request that was sent ended.
type Outcome uint8

// Fates of requests.
const (
	Answered     Outcome = iota
	Overloaded           // the leader has too much to do, or did not answer in time
	Inconclusive         // its caller left, or it was invalid
)

// Gate is the state of one entry. T is what the caller keeps with a request that
// waits. Times are of any one clock. It is not safe for concurrent use.
type Gate[T any] struct {
	policy   Policy
	window   *window.Window
	queue    *order.Queue[T]
	underWay int
	pace     time.Duration // mean time between two answers while requests wait
	answered time.Duration // latest answer
	busy     bool          // requests have waited since then
}

// New returns a gate without requests.
func New[T any](policy Policy) *Gate[T] {
	return &Gate[T]{policy: policy, window: window.New(policy.Window), queue: order.NewQueue[T](policy.Order)}
}

// Limit returns how many requests may be under way.
func (g *Gate[T]) Limit() int { return g.window.Limit() }

// Waiting returns how many requests wait.
func (g *Gate[T]) Waiting() int { return g.queue.Len() }

// HasSpareCapacity reports whether there is room for requests that are made twice.
func (g *Gate[T]) HasSpareCapacity() bool { return g.window.Limit() >= g.policy.Window.Max/2 }

// Acquire lets a request through, which passed tells, or queues it with its value. A turn
// that begins, for which admission is not nil, is refused if it would wait too long. In
// a full queue a request takes the place of a less urgent one, which is returned as
// shed and is to be refused. Errors: *OverloadError, order.ErrDuplicate.
func (g *Gate[T]) Acquire(now time.Duration, call order.Call, admission *admit.Request, value T) (passed bool, shed *order.Item[T], err error) {
	if g.queue.Len() == 0 && g.underWay < g.window.Limit() {
		g.underWay++
		return true, nil, nil
	}
	if admission != nil {
		wait := time.Duration(g.queue.Ahead(call.Priority)+1) * g.pace
		d := g.policy.Admission.Decide(*admission, admit.Load{Waiting: g.queue.Len(), ExpectedWait: wait}, now)
		if !d.Admit {
			return false, nil, &OverloadError{d.Reason, d.RetryAfter}
		}
	}
	g.busy = true
	call.Arrived = now
	shed, err = g.queue.Push(call, value)
	if errors.Is(err, order.ErrFull) {
		return false, nil, g.QueueFullError()
	}
	return false, shed, err
}

// QueueFullError returns the refusal of a request that has no place in the queue.
func (g *Gate[T]) QueueFullError() *OverloadError {
	return &OverloadError{admit.ReasonQueueFull, g.policy.Admission.MaxRetryAfter}
}

// Cancel takes a request out of the queue. It returns false if the request does not
// wait any longer.
func (g *Gate[T]) Cancel(id string) bool {
	_, waited := g.queue.Remove(id)
	return waited
}

// Release takes in how a request that was let through fared, after took, and returns the
// ones that are let through next.
func (g *Gate[T]) Release(now, took time.Duration, f Outcome) []order.Item[T] {
	g.underWay--
	switch f {
	case Answered:
		g.window.RecordSuccess(now, took)
	case Overloaded:
		g.window.RecordOverload(now)
	}
	g.keepPace(now)
	var next []order.Item[T]
	for g.underWay < g.window.Limit() {
		item, found := g.queue.Pop(now)
		if !found {
			g.busy = false
			break
		}
		g.underWay++
		next = append(next, item)
	}
	return next
}

// keepPace takes the interval since the last answer into the mean, if requests waited
// all the while.
func (g *Gate[T]) keepPace(now time.Duration) {
	if g.busy && g.answered > 0 {
		interval := now - g.answered
		g.pace += time.Duration(paceWeight * float64(interval-g.pace))
	}
	g.answered = now
}
