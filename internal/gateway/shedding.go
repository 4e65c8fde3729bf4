package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"ibistray.example/ibistray/internal/fleet"
	"ibistray.example/ibistray/internal/policy/shed"
)

// errShed refuses a new program while running ones lack servers.
var errShed = errors.New("gateway: no new programs while running ones lack backend servers")

// shedError is an errShed with the time after which the client should retry.
type shedError struct {
	retryAfter time.Duration
}

func (e *shedError) Error() string        { return errShed.Error() }
func (e *shedError) Is(target error) bool { return target == errShed }

const (
	// slowTargetFactor is the time to the first output, as a multiple of the latency target,
	// above which a response counts as late.
	slowTargetFactor = 2
	// slowGapDivisor divides the longest pause between events that a route allows into the mean
	// pause above which a stream counts as slow.
	slowGapDivisor = 2
)

// shedder admits new programs. It is safe for concurrent use.
type shedder struct {
	started time.Time      // reference point of the level's clock
	draw    func() float64 // random number between 0 and 1

	mu     sync.Mutex
	levels map[string]*shed.Level // by service
}

func newShedder() *shedder {
	return &shedder{started: time.Now(), draw: rand.Float64, levels: make(map[string]*shed.Level)}
}

// level returns the level of a service. The caller holds the mutex.
func (s *shedder) level(service string) *shed.Level {
	if s.levels[service] == nil {
		s.levels[service] = &shed.Level{}
	}
	return s.levels[service]
}

// isLimited reports whether a server of the call's service names a limit.
func (c *call) isLimited() bool {
	return slices.ContainsFunc(c.g.view.usableServers(c.service.Name), (*fleet.Instance).Limited)
}

// recordShortage records that a request of a running program waited for a server, or was
// refused for lack of one.
func (s *shedder) recordShortage(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.level(service).RecordShortage(time.Since(s.started))
}

// recordTurn records whether a turn of a running program was under strain.
func (s *shedder) recordTurn(service string, limited, strained bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.level(service).RecordTurn(time.Since(s.started), limited, strained)
}

// recordTurn tells the shedder how an attempt at a turn ended. Failures that do not come from
// load count for nothing.
func (c *call) recordTurn(err error) {
	if !c.route.ProgramTurns || c.newProgram {
		return
	}
	strained := c.isLate() || c.isSlow() || errors.Is(err, errNotRun) || errors.Is(err, errSilent) || errors.Is(err, context.DeadlineExceeded)
	if err == nil || strained {
		c.g.shedder.recordTurn(c.service.Name, c.isLimited(), strained)
	}
}

// isLate reports whether the response to the current attempt began, or is still awaited, much
// later than the route aims for.
func (c *call) isLate() bool {
	waited := c.attemptOutput
	if waited == 0 {
		waited = time.Since(c.attemptStarted)
	}
	return c.route.LatencyTarget > 0 && waited > slowTargetFactor*c.route.LatencyTarget
}

// isSlow reports whether the pauses between the events of the current attempt come near to
// the longest one that the route allows.
func (c *call) isSlow() bool {
	events := c.eventsSent - c.eventsBefore
	if c.route.MaxEventGap <= 0 || events < 2 {
		return false
	}
	streaming := time.Since(c.attemptStarted) - c.attemptOutput
	return streaming/time.Duration(events-1) > c.route.MaxEventGap/slowGapDivisor
}

// admit returns an error that wraps errShed if a new program must be refused.
func (s *shedder) admit(service string, limited bool, priority int) error {
	return s.admitWith(service, limited, priority, s.draw())
}

// admitWith is like admit with a given random number.
func (s *shedder) admitWith(service string, limited bool, priority int, draw float64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Since(s.started)
	if s.level(service).Admit(now, limited, priority, draw) {
		return nil
	}
	return &shedError{retryAfter: s.level(service).RetryAfter(now)}
}

// recordShortage tells the shedder if the request belongs to a running program and was
// refused for lack of servers.
func (c *call) recordShortage(err error) {
	if c.meta.Program != "" && !c.newProgram && (errors.Is(err, errLimited) || errors.Is(err, errNoServer)) {
		c.g.shedder.recordShortage(c.service.Name)
	}
}
