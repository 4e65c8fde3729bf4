package place

import (
	"errors"
	"slices"
	"time"
)

// Errors of Choose. Each means that nothing was sent anywhere.
var (
	// ErrNoServers: the view lists no server.
	ErrNoServers = errors.New("place: no backend server is known")
	// ErrNoneAvailable: each server is leaving, down or its lease has run out.
	ErrNoneAvailable = errors.New("place: no backend server takes new work")
	// ErrAllExcluded: servers take work, but the request excludes each of them.
	ErrAllExcluded = errors.New("place: every available backend server is excluded")
)

// Reason says why a server was chosen; its String is a name for counters.
type Reason uint8

// Reasons of a decision.
const (
	ReasonPrefix            Reason = iota + 1 // the server has the program's prefix
	ReasonNoPrefix                            // no server is known to have a prefix
	ReasonPrefixBusy                          // recomputing elsewhere is faster than waiting
	ReasonPrefixUnavailable                   // the server with the prefix takes no work
	ReasonAlone                               // the request must run alone: least loaded server
	ReasonOutsideSubset                       // no server of the subset takes work
)

var reasonNames = [...]string{
	ReasonPrefix:            "prefix",
	ReasonNoPrefix:          "no_prefix",
	ReasonPrefixBusy:        "prefix_busy",
	ReasonPrefixUnavailable: "prefix_unavailable",
	ReasonAlone:             "alone",
	ReasonOutsideSubset:     "outside_subset",
}

// String returns the name of the reason.
func (r Reason) String() string {
	if int(r) < len(reasonNames) && reasonNames[r] != "" {
		return reasonNames[r]
	}
	return "unknown"
}

// Request is what a choice needs to know of a call.
type Request struct {
	Program      string // customer and program; chooses the subset
	PromptTokens int64  // whole prompt, cached or not
	// CachedOn is the server that is known to have a prefix of the prompt, ""
	// for none; CachedTokens is its length.
	CachedOn     string
	CachedTokens int64
	// Exclude lists servers that must not be chosen, such as those on which
	// this call failed.
	Exclude []string
	// Alone asks for the server with the fewest calls, for a request that is
	// suspected of crashing servers.
	Alone bool
}

// Decision names the chosen server.
type Decision struct {
	Server       *Server // belongs to the view; not to be changed
	Reason       Reason
	Wait         time.Duration // expected time until the call starts to run
	CachedTokens int64         // prefix tokens expected in the server's cache
}

// Choose returns the server for a call. It never returns a server that is
// leaving, down, past its lease or excluded. The same arguments give the same
// decision. It does not allocate, and its cost depends on the subset and the
// excluded servers only, unless no server of the subset takes work.
func Choose(v *View, req Request, rnd uint64, now time.Duration) (Decision, error) {
	if len(v.servers) == 0 {
		return Decision{}, ErrNoServers
	}
	if req.Alone {
		return v.chooseAlone(req, now)
	}
	holder, reason := v.prefixHolder(&req, now)
	other := v.chooseOther(&req, rnd, now)
	switch {
	case holder == nil && other == nil:
		return v.chooseOutside(&req, rnd, now)
	case holder == nil:
		return v.decide(other, reason, 0), nil
	case other == nil || v.stay(&req, holder, other):
		return v.decide(holder, ReasonPrefix, req.CachedTokens), nil
	default:
		return v.decide(other, ReasonPrefixBusy, 0), nil
	}
}

func (v *View) decide(s *Server, reason Reason, cached int64) Decision {
	return Decision{Server: s, Reason: reason, Wait: v.EstimateWait(s), CachedTokens: cached}
}

// prefixHolder returns the usable server with the program's prefix, or nil and
// the reason for a choice without one.
func (v *View) prefixHolder(req *Request, now time.Duration) (*Server, Reason) {
	if req.CachedOn == "" || req.CachedTokens <= 0 || v.params.IgnorePrefix {
		return nil, ReasonNoPrefix
	}
	s := v.Server(req.CachedOn)
	if s == nil || !usable(s, req, now) {
		return nil, ReasonPrefixUnavailable
	}
	return s, ReasonPrefix
}

func usable(s *Server, req *Request, now time.Duration) bool {
	return s.Available(now) && !slices.Contains(req.Exclude, s.ID)
}

// chooseOther returns the server with the least wait among random usable
// servers of the subset, or nil when none is usable. The server with the prefix
// does not count as one of them.
func (v *View) chooseOther(req *Request, rnd uint64, now time.Duration) *Server {
	var usableServers [subsetSize]int32
	n := 0
	for _, index := range v.subsetOf(req.Program) {
		if index < 0 {
			break
		}
		s := &v.servers[index]
		if usable(s, req, now) && (v.params.IgnorePrefix || s.ID != req.CachedOn) {
			usableServers[n] = index
			n++
		}
	}
	return v.leastOf(usableServers[:n], rnd)
}

// leastOf draws Params.Choices servers without replacement and returns the one
// with the least wait.
func (v *View) leastOf(indexes []int32, rnd uint64) *Server {
	var best *Server
	choices := min(max(v.params.Choices, 1), len(indexes))
	for i := range choices {
		rnd = mix(rnd + 0x9e3779b97f4a7c15)
		j := i + int(rnd%uint64(len(indexes)-i))
		indexes[i], indexes[j] = indexes[j], indexes[i]
		s := &v.servers[indexes[i]]
		if best == nil || v.less(s, best) {
			best = s
		}
	}
	return best
}

func (v *View) less(a, b *Server) bool {
	wa, wb := v.EstimateWait(a), v.EstimateWait(b)
	if wa != wb {
		return wa < wb
	}
	return a.fill() < b.fill()
}

// fill is the share of the batch that is taken.
func (s *Server) fill() float64 {
	return float64(s.Outstanding()) / float64(max(s.Load.BatchLimit, 1))
}

func (v *View) stay(req *Request, holder, other *Server) bool {
	recompute := prefillTime(other, req.CachedTokens)
	cost := time.Duration(float64(recompute) * v.params.RecomputeFactor)
	return v.EstimateWait(holder) <= v.EstimateWait(other)+cost
}

func (v *View) chooseAlone(req Request, now time.Duration) (Decision, error) {
	var best *Server
	for _, index := range v.subsetOf(req.Program) {
		if index < 0 {
			break
		}
		s := &v.servers[index]
		if usable(s, &req, now) && (best == nil || s.Outstanding() < best.Outstanding()) {
			best = s
		}
	}
	if best == nil {
		return v.chooseOutside(&req, 0, now)
	}
	return v.decide(best, ReasonAlone, 0), nil
}

// chooseOutside returns the first usable server from a random start.
func (v *View) chooseOutside(req *Request, rnd uint64, now time.Duration) (Decision, error) {
	err := ErrNoneAvailable
	n := uint64(len(v.servers))
	start := mix(rnd) % n
	for i := range n {
		s := &v.servers[(start+i)%n]
		if usable(s, req, now) {
			return v.decide(s, ReasonOutsideSubset, 0), nil
		}
		if s.Available(now) {
			err = ErrAllExcluded
		}
	}
	return Decision{}, err
}
