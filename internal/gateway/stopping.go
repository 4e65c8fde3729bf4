package gateway

import (
	"context"
	"errors"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"ibistray.example/ibistray/internal/policy/drain"
	"ibistray.example/ibistray/internal/routing"
)

const (
	// maxStoppingRetryAfter is the longest time after which clients that a stopping entry refused
	// should retry. Other entries can serve them at once.
	maxStoppingRetryAfter = 100 * time.Millisecond
	// runsPeriod is the period over which runs are counted. Those of the current and of the
	// previous period are used.
	runsPeriod = 30 * time.Second
)

// errStopping refuses or ends a request that cannot be completed before the entry ends.
var errStopping = errors.New("gateway: the entry stops")

// shutdown says when an entry that stops must have sent its responses. It is safe for concurrent
// use.
type shutdown struct {
	finishBy atomic.Pointer[time.Time] // nil while the entry does not stop
	over     context.Context           // ends at the time that begin was given
	end      context.CancelFunc
}

func newShutdown() *shutdown {
	s := new(shutdown)
	s.over, s.end = context.WithCancel(context.Background())
	return s
}

// begin starts the stop. Running requests end at finishBy.
func (s *shutdown) begin(finishBy time.Time) {
	s.finishBy.Store(&finishBy)
	time.AfterFunc(time.Until(finishBy), s.end)
}

// refuseAll makes all further requests be refused. Those that run go on.
func (s *shutdown) refuseAll() {
	now := time.Now()
	s.finishBy.Store(&now)
}

func (s *shutdown) started() bool { return s.finishBy.Load() != nil }

// left returns the time until responses must be complete, and whether the entry stops.
func (s *shutdown) left() (time.Duration, bool) {
	finishBy := s.finishBy.Load()
	if finishBy == nil {
		return 0, false
	}
	return time.Until(*finishBy), true
}

// limit returns a copy of ctx that also ends, with errStopping as its cause, when responses must
// be complete, unless detach is called before. The caller calls cancel afterwards.
func (s *shutdown) limit(ctx context.Context) (limited context.Context, cancel func(), detach func() bool) {
	limited, cancelCause := context.WithCancelCause(ctx)
	detach = context.AfterFunc(s.over, func() { cancelCause(errStopping) })
	cancel = func() {
		detach()
		cancelCause(nil)
	}
	return limited, cancel, detach
}

// limitBody makes reads of the request's body fail when responses must be complete. The caller
// calls the returned function when the body was read.
func (c *call) limitBody() (stop func() bool) {
	control := http.NewResponseController(c.w)
	return context.AfterFunc(c.g.shutdown.over, func() {
		if err := control.SetReadDeadline(time.Now()); err != nil {
			c.g.log.Debug("request body not ended", "error", err)
		}
	})
}

// bodyStopped reports whether err is that of a body which the stop of the entry ended.
func (c *call) bodyStopped(err error) bool {
	return c.g.shutdown.over.Err() != nil && errors.Is(err, os.ErrDeadlineExceeded)
}

// checkStopping returns errStopping if the entry stops and the request must not be passed on, or
// not once more. A response that has begun goes on, since breaking it off would not be better.
func (c *call) checkStopping() error {
	left, stopping := c.g.shutdown.left()
	if !stopping || c.responseStarted {
		return nil
	}
	request := drain.Request{
		Repeatable: c.route.Repeatable(),
		Stream:     c.route.Kind == routing.KindStream,
		TimeLimit:  time.Until(c.deadline),
		Runs:       c.g.runs.latest(c.route.Name, time.Now()),
	}
	if drain.Admit(request, left) {
		return nil
	}
	// Also for a request that arrived before the stop.
	c.w.Header().Set("Connection", "close")
	return errStopping
}

// routeRuns holds the latest runs by route. It is safe for concurrent use.
type routeRuns struct {
	mu      sync.Mutex
	byRoute map[string]*runPeriods
}

// runPeriods holds the runs of two consecutive periods.
type runPeriods struct {
	started           time.Time // of the current period
	current, previous drain.Runs
}

func newRouteRuns() *routeRuns { return &routeRuns{byRoute: make(map[string]*runPeriods)} }

// advance begins a new period if the current one has ended.
func (p *runPeriods) advance(now time.Time) {
	switch age := now.Sub(p.started); {
	case age >= 2*runsPeriod:
		*p = runPeriods{started: now}
	case age >= runsPeriod:
		*p = runPeriods{started: now, previous: p.current}
	}
}

// record adds a run, from the start of the attempt until the end of the response.
func (r *routeRuns) record(route string, run time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.byRoute[route]
	if p == nil {
		p = &runPeriods{started: now}
		r.byRoute[route] = p
	}
	p.advance(now)
	p.current.Count++
	p.current.Longest = max(p.current.Longest, run)
}

// latest returns the runs of the latest one to two periods.
func (r *routeRuns) latest(route string, now time.Time) drain.Runs {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.byRoute[route]
	if p == nil {
		return drain.Runs{}
	}
	p.advance(now)
	return drain.Runs{Count: p.current.Count + p.previous.Count, Longest: max(p.current.Longest, p.previous.Longest)}
}

// prune removes the routes without recent runs.
func (r *routeRuns) prune(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for route, p := range r.byRoute {
		if now.Sub(p.started) >= 2*runsPeriod {
			delete(r.byRoute, route)
		}
	}
}
