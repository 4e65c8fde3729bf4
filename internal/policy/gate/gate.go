// Package gate limits the requests of an entry to the program ledger: it decides
// which are sent, which wait and which are refused. It handles a burst of new
// programs beyond the capacity of the ledger's leader during a leader change. If
// all requests were sent at once, they would time out at the leader and be
// retried, and no program would make progress.
package gate

import (
	"errors"
	"fmt"
	"time"

	"ibistray.example/ibistray/internal/policy/admit"
	"ibistray.example/ibistray/internal/policy/order"
	"ibistray.example/ibistray/internal/policy/window"
)

// Policy holds the parameters of a gate.
type Policy struct {
	Window window.Policy // limit on requests in flight
	Order  order.Policy  // order of waiting requests
	// Admission refuses the start of turns that would wait too long. Its limits
	// apply to the wait in the queue of the gate.
	Admission admit.Policy
}

const (
	// maxInFlight is the maximum number of an entry's requests to the ledger that
	// are in flight. At the usual 10 ms per request it allows 4,000 per second.
	maxInFlight = 40
	// minInFlight is the minimum of that limit under overload. A leader can
	// serve this many requests of each of about a hundred entries.
	minInFlight = 3
	// maxWaiting is the maximum number of requests that wait at an entry.
	maxWaiting = 1024
	// intervalWeight is the weight of a new sample in the moving average of the
	// interval between releases.
	intervalWeight = 0.1
)

// DefaultPolicy returns the parameters for an entry's requests to the ledger.
func DefaultPolicy() Policy {
	return Policy{
		// A leader reports overload in its responses. Slow responses alone are not a
		// sign of it, since packet loss slows them down too; a response counts as
		// slow only if it takes longer than any retransmission.
		Window: window.Policy{
			Min:              minInFlight,
			Max:              maxInFlight,
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
		// Refused clients retry later, while running programs continue.
		Admission: admit.Policy{
			MaxWait:             600 * time.Millisecond,
			LowestPriorityShare: 0.5,
			NewProgramShare:     0.4,
			MinRetryAfter:       200 * time.Millisecond,
			MaxRetryAfter:       time.Second,
		},
	}
}

// PrioritySettle is the priority of a request that settles a turn. It is the
// highest one: the turn has already run, its client waits for the response, and its
// budget stays reserved until then.
const PrioritySettle = 9

const (
	priorityRunning  = 8 // later turn of a program, on the most urgent route
	priorityNew      = 4 // first turn of a program, on the most urgent route
	maxRoutePriority = 3 // less urgent routes are treated as this one
)

// BeginPriority returns the priority of a request that starts a turn: running
// programs go before new ones, and within each group more urgent routes go first.
// A routePriority of 0 is the most urgent.
func BeginPriority(routePriority int, newProgram bool) int32 {
	offset := min(max(routePriority, 0), maxRoutePriority)
	if newProgram {
		return int32(priorityNew - offset)
	}
	return int32(priorityRunning - offset)
}

// ErrOverloaded matches every *OverloadError.
var ErrOverloaded = errors.New("gate: too many requests are waiting for the ledger")

// OverloadError reports that a request was refused because of overload. It was
// not sent to the ledger.
type OverloadError struct {
	Reason     admit.Reason
	RetryAfter time.Duration
}

func (e *OverloadError) Error() string {
	return fmt.Sprintf("%s: %s, retry after %s", ErrOverloaded, e.Reason, e.RetryAfter)
}

// Unwrap returns ErrOverloaded.
func (e *OverloadError) Unwrap() error { return ErrOverloaded }

// Outcome says how a request that was sent ended.
type Outcome uint8

// Outcomes of requests.
const (
	Responded    Outcome = iota
	Overloaded           // the leader reported overload or did not respond in time
	Inconclusive         // cancelled by its caller or invalid: says nothing about the load
)

// Gate limits and queues the requests of one entry. T is the type of the value
// that the caller attaches to a waiting request. All times are on one clock of the
// caller's choice. A Gate is not safe for concurrent use.
type Gate[T any] struct {
	policy       Policy
	window       *window.Window
	queue        *order.Queue[T]
	inFlight     int
	meanInterval time.Duration // between two releases while requests wait
	lastRelease  time.Duration
	backlogged   bool // a request was queued, and Release has not emptied the queue since
}

// New returns a gate with no requests in flight.
func New[T any](policy Policy) *Gate[T] {
	return &Gate[T]{policy: policy, window: window.New(policy.Window), queue: order.NewQueue[T](policy.Order)}
}

// Limit returns how many requests may be in flight.
func (g *Gate[T]) Limit() int { return g.window.Limit() }

// Waiting returns the number of queued requests.
func (g *Gate[T]) Waiting() int { return g.queue.Len() }

// HasSpareCapacity reports whether the limit leaves room for hedged requests: it
// is at least half of the maximum.
func (g *Gate[T]) HasSpareCapacity() bool { return g.window.Limit() >= g.policy.Window.Max/2 }

// Acquire admits a request at once and returns admitted = true, or queues it with
// its value. A request with a non-nil admission, which starts a turn, is refused
// if it would wait too long. If the queue is full, a request replaces a waiting
// one of lower priority, which is returned as shed and must be refused by the
// caller. Release must be called once for each admitted request. Errors:
// *OverloadError, order.ErrDuplicate.
func (g *Gate[T]) Acquire(now time.Duration, call order.Call, admission *admit.Request, value T) (admitted bool, shed *order.Item[T], err error) {
	if g.queue.Len() == 0 && g.inFlight < g.window.Limit() {
		g.inFlight++
		return true, nil, nil
	}
	if admission != nil {
		wait := time.Duration(g.queue.Ahead(call.Priority)+1) * g.meanInterval
		d := g.policy.Admission.Decide(*admission, admit.Load{Waiting: g.queue.Len(), ExpectedWait: wait}, now)
		if !d.Admit {
			return false, nil, &OverloadError{d.Reason, d.RetryAfter}
		}
	}
	g.backlogged = true
	call.Arrived = now
	shed, err = g.queue.Push(call, value)
	if errors.Is(err, order.ErrFull) {
		return false, nil, g.QueueFullError()
	}
	return false, shed, err
}

// QueueFullError returns the error for a request that does not fit into the queue
// or was shed from it.
func (g *Gate[T]) QueueFullError() *OverloadError {
	return &OverloadError{admit.ReasonQueueFull, g.policy.Admission.MaxRetryAfter}
}

// Cancel removes a request from the queue. It returns false if the request is no
// longer queued.
func (g *Gate[T]) Cancel(id string) bool {
	_, removed := g.queue.Remove(id)
	return removed
}

// Release records the outcome and the latency of an admitted request, and returns
// the queued requests that are admitted in its place.
func (g *Gate[T]) Release(now, latency time.Duration, outcome Outcome) []order.Item[T] {
	g.inFlight--
	switch outcome {
	case Responded:
		g.window.RecordSuccess(now, latency)
	case Overloaded:
		g.window.RecordOverload(now)
	}
	g.updateMeanInterval(now)
	var next []order.Item[T]
	for g.inFlight < g.window.Limit() {
		item, found := g.queue.Pop(now)
		if !found {
			g.backlogged = false
			break
		}
		g.inFlight++
		next = append(next, item)
	}
	return next
}

// updateMeanInterval adds the interval since the last release to the moving average
// if requests were waiting.
func (g *Gate[T]) updateMeanInterval(now time.Duration) {
	if g.backlogged && g.lastRelease > 0 {
		interval := now - g.lastRelease
		g.meanInterval += time.Duration(intervalWeight * float64(interval-g.meanInterval))
	}
	g.lastRelease = now
}
