// Package place chooses the backend server for a call. It reads a View, an
// immutable snapshot of the backend servers of one model or service, and does
// no I/O: time and randomness are arguments.
package place

import (
	"sync/atomic"
	"time"
)

// State is the life of a backend server as it announced itself.
type State uint8

// States of a backend server. Only a ready one gets new work.
const (
	StateReady State = iota + 1
	StateLeaving
	StateDown
)

// InFlight counts the calls that this process has sent to one backend server
// and that have not ended. It is safe for concurrent use and shared by the
// views that list the server.
type InFlight struct {
	calls atomic.Int64
}

// Begin counts a call that is about to be sent.
func (f *InFlight) Begin() { f.calls.Add(1) }

// End counts the end of a call that Begin counted.
func (f *InFlight) End() { f.calls.Add(-1) }

// Calls returns the calls in flight.
func (f *InFlight) Calls() int64 { return f.calls.Load() }

// Load is the last load report of a backend server. Reports lag: Taken is when
// the server measured it, not when it arrived.
type Load struct {
	Running                int64
	Waiting                int64
	BatchLimit             int64 // calls that run at the same time; 0: not known, taken as 1
	CacheUsedTokens        int64
	CacheCapacityTokens    int64
	TokensPerSecond        float64 // decode rate of one stream; 0: not known
	PrefillTokensPerSecond float64 // 0: not known
	MeasuredAt             time.Duration
}

// Server is what a process knows of one backend server.
type Server struct {
	ID            string
	FailureDomain string
	State         State
	ExpiresAt     time.Duration // end of the announcement's lease
	Load          Load
	// InFlight counts the calls of this process; nil counts as none.
	InFlight *InFlight
	// InFlightAtReport is Own.Calls() when Load was taken, or as near as is known.
	InFlightAtReport int64

	hash uint64
}

// Available reports whether the server may get new work at the given time.
func (s *Server) Available(now time.Duration) bool {
	return s.State == StateReady && now < s.ExpiresAt
}

// Outstanding estimates the calls that run or wait at the server: those of the
// report, corrected by what this process has sent and finished since. It is at
// least the number of this process's own calls.
func (s *Server) Outstanding() int64 {
	reported := s.Load.Running + s.Load.Waiting
	if s.InFlight == nil {
		return reported
	}
	own := s.InFlight.Calls()
	others := max(reported-s.InFlightAtReport, 0)
	return others + own
}
