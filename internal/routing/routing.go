// Package routing holds the routing table of pass-through requests: the service that
// a request goes to and the limits that apply to it. A document holds all routes; the
// document with the highest version is in force.
package routing

import (
	"time"

	"ibistray.example/ibistray/internal/account"
)

// Kind says how often a request may run.
type Kind uint8

// Request kinds.
const (
	KindSafe   Kind = iota // idempotent: may run more than once
	KindUnsafe             // runs at most once for each client attempt
	KindStream             // the response is a stream of events; runs at most once unless the route is resumable
)

// Document is one version of all routes. It is immutable once validated.
type Document struct {
	Version  uint64
	Source   []byte // as uploaded by the operator
	Routes   []*Route
	Services map[string]*Service
	Limits   Limits
	// Accounts are the client accounts; nil: requests need no key.
	Accounts *account.Directory
	// Defect is why the document must not be accepted from an operator, although it is obeyed if
	// an earlier build has accepted it; nil: nothing. It wraps ErrInvalid.
	Defect error

	byHost map[string][]*Route // by host key, longest prefix first; built by Validate
}

// Route selects requests by host and path prefix.
type Route struct {
	Name            string
	Host            string
	Prefix          string // begins and ends with a slash
	Kind            Kind
	Timeout         time.Duration // maximum total time of a request
	LatencyTarget   time.Duration // target response time; a later response is worth less to the client
	Priority        int           // 0 is the most urgent
	Backends        []Backend
	MaxAttempts     int           // backend servers that may run one client attempt; at least 1
	ProgramTurns    bool          // its requests are turns of programs and go through the ledger
	KeepTurns       bool          // turns are stored, so that later turns can continue from them by ID
	TurnRetention   time.Duration // how long a stored turn can be continued
	SessionAffinity bool          // prefer the server that handled the program or subject before, which is faster
	Resumable       bool          // an interrupted stream may be resumed on another server
	MaxEventGap     time.Duration // longest pause between events of a stream that is on time
	Public          bool          // requests need no key of a client account
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.ResumableStream()
}

// ResumableStream reports whether the responses are streams that may be resumed.
func (r *Route) ResumableStream() bool {
	return r.Kind == KindStream && r.Resumable
}

// A client closes a stream that delivers no event for the longest of minEventTimeout,
// eventTimeoutTargets latency targets and eventTimeoutGaps event gaps. The values are
// those of the hosting platform's clients.
const (
	minEventTimeout     = 2 * time.Second
	eventTimeoutTargets = 4
	eventTimeoutGaps    = 8
)

// EventTimeout returns how long clients wait for the first and for each further event
// of a stream before they close it.
func (r *Route) EventTimeout() time.Duration {
	return max(minEventTimeout, eventTimeoutTargets*r.LatencyTarget, eventTimeoutGaps*r.MaxEventGap)
}

// Backend assigns a share of a route's requests to a service.
type Backend struct {
	Service string
	Weight  int // relative to the other backends of the route
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int     // to one server, from all callers together
	Engine         *Engine // nil if its servers are not model engines
}

// Engine describes the model engine of a service.
type Engine struct {
	Slots          int // requests that run concurrently
	CacheTokens    int // cache capacity for prompt and generated tokens
	TokensPerEvent int // in a response stream
}

// Limits restrict what clients may send. 0 means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration // to send the request header
	IdleTimeout   time.Duration // between two requests on a connection
}

// String returns the name that logs and metrics use.
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
