package gateway

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

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

// shedder admits new programs. It is safe for concurrent use.
type shedder struct {
	started time.Time      // reference point of the level's clock
	draw    func() float64 // random number between 0 and 1

	mu    sync.Mutex
	level shed.Level
}

func newShedder() *shedder { return &shedder{started: time.Now(), draw: rand.Float64} }

// recordShortage records that a request of a running program waited for a server, or was
// refused for lack of one.
func (s *shedder) recordShortage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.level.RecordShortage(time.Since(s.started))
}

// admit returns an error that wraps errShed if a new program must be refused.
func (s *shedder) admit(priority int) error {
	return s.admitWith(priority, s.draw())
}

// admitWith is like admit with a given random number.
func (s *shedder) admitWith(priority int, draw float64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Since(s.started)
	if s.level.Admit(now, priority, draw) {
		return nil
	}
	return &shedError{retryAfter: s.level.RetryAfter(now)}
}

// recordShortage tells the shedder if the request belongs to a running program and was
// refused for lack of servers.
func (c *call) recordShortage(err error) {
	if c.meta.Program != "" && !c.newProgram && (errors.Is(err, errLimited) || errors.Is(err, errNoServer)) {
		c.g.shedder.recordShortage()
	}
}
