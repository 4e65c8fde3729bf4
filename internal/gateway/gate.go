package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"ibistray.example/ibistray/internal/leaderclient"
	"ibistray.example/ibistray/internal/policy/admit"
	"ibistray.example/ibistray/internal/policy/order"
	"ibistray.example/ibistray/internal/policy/window"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/proto/ledgerpb"
)

const (
	// maxLedgerRequests bounds the requests of an entry to the ledger that are under way.
	// At the usual 10 ms each they are 4,000 a second.
	maxLedgerRequests = 40
	// minLedgerRequests of each of some hundred entries are what a leader takes.
	minLedgerRequests = 3
	// maxWaitingRequests bounds the requests that wait at an entry.
	maxWaitingRequests = 1024
	// paceWeight is the weight of a new interval in the mean pace.
	paceWeight = 0.1
)

// ledgerWindow is the policy of the requests under way. A leader tells when it has too
// much to do. Slow answers alone do not show that, since a network that loses packets
// makes them slow too; only one that takes longer than any retransmission counts.
var ledgerWindow = window.Policy{
	Min:       minLedgerRequests,
	Max:       maxLedgerRequests,
	SlowAfter: 2 * ledgerTimeout,
	Cut:       0.5,
	CutPause:  250 * time.Millisecond,
}

// ledgerOrder ranks waiting requests: see ledgerPriority.
var ledgerOrder = order.Policy{
	StarvationWait:   400 * time.Millisecond,
	StarvationPeriod: 4,
	Priority:         true,
	Capacity:         maxWaitingRequests,
}

// ledgerAdmission refuses new turns at once when they would wait too long: their
// clients come back later, and the programs under way go on.
var ledgerAdmission = admit.Policy{
	MaxWait:         600 * time.Millisecond,
	LowestShare:     0.5,
	NewProgramShare: 0.4,
	MinRetryAfter:   minRetryAfter,
	MaxRetryAfter:   time.Second,
}

// Priorities of requests to the ledger, 9 first. What settles a turn comes first: it
// was run already, its client waits for its end, and its budget is reserved.
const (
	prioritySettle  = 9
	priorityGoingOn = 8 // a turn of a program that is under way, of the most urgent route
	priorityNew     = 4 // the first turn of a program, of the most urgent route
	maxRouteRank    = 3 // routes that are less urgent are ranked like this one
)

// beginPriority ranks the start of a turn: programs that are under way before new ones,
// then by the route's rank.
func beginPriority(routePriority int, newProgram bool) int32 {
	rank := min(max(routePriority, 0), maxRouteRank)
	if newProgram {
		return int32(priorityNew - rank)
	}
	return int32(priorityGoingOn - rank)
}

// errOverloaded is the class of *overloadError.
var errOverloaded = errors.New("gateway: too many requests wait for the ledger")

// overloadError refuses a request that would wait too long: nothing was sent.
type overloadError struct {
	reason     admit.Reason
	retryAfter time.Duration
}

func (e *overloadError) Error() string {
	return fmt.Sprintf("%s: %s, come back after %s", errOverloaded, e.reason, e.retryAfter)
}

// Unwrap makes it an errOverloaded.
func (e *overloadError) Unwrap() error { return errOverloaded }

// gate lets requests to the ledger through: as many at once as the window allows, the
// most urgent ones first.
type gate struct {
	started time.Time
	limit   prometheus.Gauge // size of the window
	waiting prometheus.Gauge // requests in the queue

	mu       sync.Mutex
	window   *window.Window
	queue    *order.Queue[chan<- error]
	underWay int
	pace     time.Duration // mean time between two answers while requests wait
	answered time.Duration // latest answer
	busy     bool          // requests have waited since then
}

func newGate(metrics *telemetry.Metrics) *gate {
	metrics.LedgerWindow.Set(maxLedgerRequests)
	return &gate{
		started: time.Now(),
		limit:   metrics.LedgerWindow,
		waiting: metrics.LedgerWaiting,
		window:  window.New(ledgerWindow),
		queue:   order.NewQueue[chan<- error](ledgerOrder),
	}
}

func (g *gate) now() time.Duration { return time.Since(g.started) }

// enter waits until the request may be sent; leave must follow. A new turn, for which
// admission is not nil, is refused at once if it would wait too long. Errors:
// *overloadError, and leaderclient.ErrUnavailable when ctx ends.
func (g *gate) enter(ctx context.Context, call order.Call, admission *admit.Request) error {
	ready, err := g.join(call, admission)
	if err != nil || ready == nil {
		return err
	}
	select {
	case err := <-ready:
		return err
	case <-ctx.Done():
	}
	if g.withdraw(call.ID) {
		return fmt.Errorf("%w: waited for the ledger: %w", leaderclient.ErrUnavailable, ctx.Err())
	}
	return <-ready
}

// join lets a request through at once, for which it returns nil, or queues it.
func (g *gate) join(call order.Call, admission *admit.Request) (<-chan error, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Len() == 0 && g.underWay < g.window.Limit() {
		g.underWay++
		return nil, nil
	}
	if admission != nil {
		wait := time.Duration(g.queue.Ahead(call.Priority)+1) * g.pace
		d := ledgerAdmission.Decide(*admission, admit.Load{Waiting: g.queue.Len(), Wait: wait}, g.now())
		if !d.Admit {
			return nil, &overloadError{d.Reason, d.RetryAfter}
		}
	}
	g.busy = true
	call.Arrived = g.now()
	ready := make(chan error, 1)
	shed, err := g.queue.Push(call, ready)
	if errors.Is(err, order.ErrFull) {
		return nil, &overloadError{admit.ReasonQueueFull, ledgerAdmission.MaxRetryAfter}
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", leaderclient.ErrUnavailable, err)
	}
	g.waiting.Set(float64(g.queue.Len()))
	if shed != nil {
		shed.Value <- &overloadError{admit.ReasonQueueFull, ledgerAdmission.MaxRetryAfter}
	}
	return ready, nil
}

// withdraw takes a request out of the queue. It returns false if the request was let
// through or refused meanwhile.
func (g *gate) withdraw(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, waited := g.queue.Remove(id)
	return waited
}

// fate is how a request to the ledger ended.
type fate uint8

const (
	fateAnswered   fate = iota
	fateOverloaded      // the leader has too much to do, or did not answer in time
	fateUnknown         // its caller left, or it was invalid
)

// fateOf returns how a request with a context ended.
func fateOf(ctx context.Context, resp *ledgerpb.Response, err error) fate {
	switch {
	case err == nil && !resp.Busy:
		return fateAnswered
	case err == nil:
		return fateOverloaded
	case errors.Is(ctx.Err(), context.Canceled) || errors.Is(err, leaderclient.ErrRejected):
		return fateUnknown
	}
	return fateOverloaded
}

// leave takes in how a request fared and lets the next ones through.
func (g *gate) leave(took time.Duration, f fate) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.underWay--
	switch f {
	case fateAnswered:
		g.window.Succeeded(now, took)
	case fateOverloaded:
		g.window.Overloaded(now)
	}
	g.keepPace(now)
	g.limit.Set(float64(g.window.Limit()))
	defer func() { g.waiting.Set(float64(g.queue.Len())) }()
	for g.underWay < g.window.Limit() {
		next, found := g.queue.Pop(now)
		if !found {
			g.busy = false
			return
		}
		g.underWay++
		next.Value <- nil
	}
}

// keepPace takes the interval since the last answer into the mean, if requests waited
// all the while.
func (g *gate) keepPace(now time.Duration) {
	if g.busy && g.answered > 0 {
		interval := now - g.answered
		g.pace += time.Duration(paceWeight * float64(interval-g.pace))
	}
	g.answered = now
}

// relaxed reports whether there is room for requests that are made twice.
func (g *gate) relaxed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.window.Limit() >= maxLedgerRequests/2
}
