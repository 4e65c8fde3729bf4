// Package routing holds the routes of pass-through requests: which service a
// request goes to and under which limits. One document holds them all; the one
// with the highest version is in force.
package routing

import (
	"time"
)

// Kind says what of a request may be repeated.
type Kind uint8

// Kinds of requests.
const (
	KindSafe   Kind = iota // may run more than once
	KindUnsafe             // runs at most once for each attempt of the client
	KindStream             // answered by events; runs at most once unless the route is resumable
)

// Document is one version of all routes. It is not changed after it was made.
type Document struct {
	Version  uint64
	Source   []byte // as the operator sent it
	Routes   []*Route
	Services map[string]*Service
	Limits   Limits

	byHost map[string][]*Route // longest prefix first
}

// Route selects requests by host and path prefix.
type Route struct {
	Name            string
	Host            string
	Prefix          string // begins and ends with a slash
	Kind            Kind
	Timeout         time.Duration // longest time that a request is kept waiting
	LatencyTarget   time.Duration // within which an answer is worth most
	Priority        int           // 0 is the most urgent
	Backends        []Backend
	MaxAttempts     int           // backend servers that one attempt of a client may be sent to; at least 1
	ProgramTurns    bool          // its requests are turns of programs
	KeepTurns       bool          // later turns continue from a turn by its ID
	TurnRetention   time.Duration // how long a kept turn can be continued from
	SessionAffinity bool          // a server that knows the subject is faster
	Resumable       bool          // a stream may go on at another server
	MaxEventGap     time.Duration // longest pause between events of an answer in time
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Clients leave a stream without an event for the longest of minPatience, some latency
// targets and some of the longest pauses. The figures are those of the hosting
// platform's clients.
const (
	minPatience     = 2 * time.Second
	patienceTargets = 4
	patienceGaps    = 8
)

// EventTimeout returns how long clients wait for the next event of a stream, also
// for the first one, before they leave.
func (r *Route) EventTimeout() time.Duration {
	return max(minPatience, patienceTargets*r.LatencyTarget, patienceGaps*r.MaxEventGap)
}

// Backend is a service with its share of a route's requests.
type Backend struct {
	Service string
	Weight  int
}

// Service is a kind of backend server.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int     // of all callers together at one server
	Engine         *Engine // nil: a plain service
}

// Engine describes the model engine of a service.
type Engine struct {
	Slots          int // requests that run together
	CacheTokens    int // memory for prompts and generated tokens
	TokensPerEvent int // of an answer's stream
}

// Limits bound what clients may send. Zero stands for no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration // to send the header
	IdleTimeout   time.Duration // between two requests of a connection
}

// String returns the name of a kind in logs and metrics.
func (k Kind) String() string {
	switch k {
	case KindSafe:
		return "safe"
	case KindUnsafe:
		return "unsafe"
	case KindStream:
		return "stream"
	}
	return "unknown"
}
