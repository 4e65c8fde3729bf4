package place

import (
	"errors"
	"slices"
	"time"
)

// Errors of Choose. In each case no server was chosen and nothing was sent.
var (
	// ErrNoServers is returned if the view lists no server.
	ErrNoServers = errors.New("place: no backend server is known")
	// ErrNoneAvailable is returned if every server is leaving, is down or has an
	// expired lease.
	ErrNoneAvailable = errors.New("place: no backend server accepts new work")
	// ErrAllExcluded is returned if servers accept work, but the request excludes
	// all of them.
	ErrAllExcluded = errors.New("place: every available backend server is excluded")
)

// Reason says why a server was chosen. Its String can serve as the label of a counter.
type Reason uint8

// Reasons for a decision.
const (
	ReasonPrefix            Reason = iota + 1 // the server has the program's prefix cached
	ReasonNoPrefix                            // no server is known to have a prefix cached
	ReasonPrefixBusy                          // recomputing the prefix elsewhere is faster than waiting
	ReasonPrefixUnavailable                   // the server with the prefix accepts no work
	ReasonAlone                               // the request must run alone: least loaded server
	ReasonOutsideSubset                       // no server of the subset accepts work
)

var reasonNames = [...]string{
	ReasonPrefix:            "prefix",
	ReasonNoPrefix:          "no_prefix",
	ReasonPrefixBusy:        "prefix_busy",
	ReasonPrefixUnavailable: "prefix_unavailable",
	ReasonAlone:             "alone",
	ReasonOutsideSubset:     "outside_subset",
}

// String returns the name of the reason, or "unknown" for an undefined value.
func (r Reason) String() string {
	if int(r) < len(reasonNames) && reasonNames[r] != "" {
		return reasonNames[r]
	}
	return "unknown"
}

// Request describes the call to place.
type Request struct {
	Program      string // qualified by the customer; selects the subset
	PromptTokens int64  // of the whole prompt, cached or not
	// CachedOn is the ID of the server that is known to have a prefix of the prompt
	// cached, or "" if none is. CachedTokens is the length of that prefix.
	CachedOn     string
	CachedTokens int64
	// Exclude lists the IDs of servers that must not be chosen, such as those on
	// which this call failed.
	Exclude []string
	// Alone asks for the server with the fewest calls. It is set for a request that
	// is suspected of crashing servers.
	Alone bool
}

// Decision holds the chosen server and the reason for the choice.
type Decision struct {
	Server       *Server // owned by the view: must not be modified
	Reason       Reason
	Wait         time.Duration // expected time until the call starts to run
	CachedTokens int64         // length of the prefix that is expected in the server's cache
}

// Choose returns the server for a call. It never returns a server that is
// leaving, down or excluded, or whose lease has expired. It is deterministic: rnd is
// the source of randomness. It does not allocate, and its cost depends only on the
// size of the subset and the number of excluded servers, unless no server of the
// subset accepts work. Errors: ErrNoServers, ErrNoneAvailable, ErrAllExcluded.
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
		return v.decision(other, reason, 0), nil
	case other == nil || v.preferHolder(&req, holder, other):
		return v.decision(holder, ReasonPrefix, req.CachedTokens), nil
	default:
		return v.decision(other, ReasonPrefixBusy, 0), nil
	}
}

// decision returns the decision for a server, with the estimated wait at it.
func (v *View) decision(s *Server, reason Reason, cached int64) Decision {
	return Decision{Server: s, Reason: reason, Wait: v.EstimateWait(s), CachedTokens: cached}
}

// prefixHolder returns the server that has the program's prefix cached, or nil and
// the reason why there is none to use.
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

// usable reports whether the server accepts work and is not excluded.
func usable(s *Server, req *Request, now time.Duration) bool {
	return s.Available(now) && !slices.Contains(req.Exclude, s.ID)
}

// chooseOther returns the server with the shortest wait among random usable
// servers of the subset. Unless prefixes are ignored, the server with the prefix is
// not one of them. It returns nil if none is usable.
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
	return v.leastLoaded(usableServers[:n], rnd)
}

// leastLoaded draws Params.Choices servers without replacement and returns the one
// with the shortest wait. It reorders indexes.
func (v *View) leastLoaded(indexes []int32, rnd uint64) *Server {
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

// less reports whether a has a shorter wait than b, or the same wait and less of
// its batch in use.
func (v *View) less(a, b *Server) bool {
	wa, wb := v.EstimateWait(a), v.EstimateWait(b)
	if wa != wb {
		return wa < wb
	}
	return a.utilization() < b.utilization()
}

// utilization returns the number of outstanding calls divided by the batch limit.
func (s *Server) utilization() float64 {
	return float64(s.Outstanding()) / float64(max(s.Load.BatchLimit, 1))
}

// preferHolder reports whether waiting for the server with the prefix costs less
// than recomputing the prefix at the other server, weighted by RecomputeFactor.
func (v *View) preferHolder(req *Request, holder, other *Server) bool {
	recompute := prefillTime(other, req.CachedTokens)
	cost := time.Duration(float64(recompute) * v.params.RecomputeFactor)
	return v.EstimateWait(holder) <= v.EstimateWait(other)+cost
}

// chooseAlone returns the usable server of the subset with the fewest outstanding
// calls, or one outside of the subset if none is usable.
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
	return v.decision(best, ReasonAlone, 0), nil
}

// chooseOutside returns the first usable server of the whole view, starting at a
// random one.
func (v *View) chooseOutside(req *Request, rnd uint64, now time.Duration) (Decision, error) {
	err := ErrNoneAvailable
	n := uint64(len(v.servers))
	start := mix(rnd) % n
	for i := range n {
		s := &v.servers[(start+i)%n]
		if usable(s, req, now) {
			return v.decision(s, ReasonOutsideSubset, 0), nil
		}
		if s.Available(now) {
			err = ErrAllExcluded
		}
	}
	return Decision{}, err
}
