// Package place chooses the backend server for a call. It reads a View, an
// immutable snapshot of the backend servers of one model or service, and does
// no I/O: time and randomness are arguments.
package place

import (
	"sync/atomic"
	"time"
)

// State is the lifecycle state of a backend server, as the server announced it.
type State uint8

// States of a backend server. Only ready servers get new work.
const (
	StateReady State = iota + 1
	StateLeaving
	StateDown
)

// InFlight counts the calls that this process has sent to one backend server and
// that have not ended. All views that list the server share it. It is safe for
// concurrent use.
type InFlight struct {
	calls atomic.Int64
}

// Begin adds a call that is about to be sent.
func (f *InFlight) Begin() { f.calls.Add(1) }

// End removes a call that Begin added.
func (f *InFlight) End() { f.calls.Add(-1) }

// Calls returns the number of calls in flight.
func (f *InFlight) Calls() int64 { return f.calls.Load() }

// Load is the last load report of a backend server. Reports arrive late:
// MeasuredAt is when the server measured the values, not when they arrived.
type Load struct {
	Running                int64
	Waiting                int64
	BatchLimit             int64 // calls that run at the same time; 0 if unknown, which counts as 1
	CacheUsedTokens        int64
	CacheCapacityTokens    int64
	TokensPerSecond        float64 // decode rate of one stream; 0 if unknown
	PrefillTokensPerSecond float64 // 0 if unknown
	MeasuredAt             time.Duration
}

// Server describes one backend server as this process knows it.
type Server struct {
	ID            string
	FailureDomain string
	State         State
	ExpiresAt     time.Duration // end of the announcement's lease
	Load          Load
	// InFlight counts the calls of this process; nil means none.
	InFlight *InFlight
	// InFlightAtReport is the value of InFlight.Calls() at Load.MeasuredAt, as
	// closely as it is known.
	InFlightAtReport int64

	hash uint64
}

// Available reports whether the server may get new work: it is ready and its
// announcement has not expired.
func (s *Server) Available(now time.Duration) bool {
	return s.State == StateReady && now < s.ExpiresAt
}

// Outstanding estimates the number of calls that run or wait at the server: the
// number in the last report, corrected by the calls that this process has sent and
// finished since. It is at least the number of this process's calls in flight.
func (s *Server) Outstanding() int64 {
	reported := s.Load.Running + s.Load.Waiting
	if s.InFlight == nil {
		return reported
	}
	own := s.InFlight.Calls()
	others := max(reported-s.InFlightAtReport, 0)
	return others + own
}
