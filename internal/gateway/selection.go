package gateway

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"ibistray.example/ibistray/internal/compare"
	"ibistray.example/ibistray/internal/fleet"
	"ibistray.example/ibistray/internal/policy/streampin"
)

const (
	// basePenalty is how long a server that failed once is ranked behind the others. It
	// doubles with each further failure, up to maxPenaltyDoublings times. Otherwise a
	// server that fails some of its requests would be selected again and again.
	basePenalty         = 1500 * time.Millisecond
	maxPenaltyDoublings = 3
	// failureWindow is the time without a failure after which the failure count restarts.
	failureWindow = 20 * time.Second
	// responseWindow is how long a response proves that a server works.
	responseWindow = 3 * time.Second
	// toleratedFailures is the number of failures up to which requests stay on the server
	// that caches their prompt. Processing the prompt elsewhere costs more than one lost
	// response.
	toleratedFailures = 1
	// slotShareDivisor divides a model engine's slots into the share that requests of
	// this entry may use before another engine is preferred over the one that caches
	// the prompt. The share is at least minSlotShare slots.
	slotShareDivisor = 4
	minSlotShare     = 4
)

// attemptOutcome says what the end of an attempt shows about its server.
type attemptOutcome uint8

const (
	outcomeOK           attemptOutcome = iota // responded
	outcomeRefused                            // refused without running the request
	outcomeFailed                             // connection lost, or the response was invalid
	outcomeUnreachable                        // accepted no connection
	outcomeSilent                             // sent no output in time
	outcomeInconclusive                       // ended by this entry or by the client: shows nothing about the server
)

// serverLoad holds the running requests of this entry at one server and the failures
// and responses that it saw there.
type serverLoad struct {
	running        int
	failures       int // within failureWindow of each other, not counting failures to connect
	lastFailure    time.Time
	lastResponse   time.Time
	penalizedUntil time.Time // ranked behind the others until then
	window         *serverWindow
}

// isSilent reports whether the heartbeats of a server have stopped and no recent
// response to this entry shows that it works. Its heartbeats may go to a state host
// that is partitioned from the others.
func (s *serverLoad) isSilent(server *fleet.Instance, now time.Time) bool {
	return server.Silent && now.Sub(s.lastResponse) > responseWindow
}

// loadTracker tracks the requests of this entry by server and the latency by route. It
// is safe for concurrent use.
type loadTracker struct {
	started   time.Time // reference point of the windows' clocks
	mu        sync.Mutex
	byServer  map[string]*serverLoad
	latencies map[string]*meanLatency // by route
}

func newLoadTracker() *loadTracker {
	return &loadTracker{started: time.Now(), byServer: make(map[string]*serverLoad), latencies: make(map[string]*meanLatency)}
}

// load returns the load of a server and adds it if necessary. The caller holds the
// mutex.
func (t *loadTracker) load(id string) *serverLoad {
	if t.byServer[id] == nil {
		t.byServer[id] = new(serverLoad)
	}
	return t.byServer[id]
}

// recordOutcome updates failures and penalty after an attempt.
func (s *serverLoad) recordOutcome(outcome attemptOutcome, now time.Time) {
	switch outcome {
	case outcomeOK, outcomeRefused:
		s.lastResponse = now
		return
	case outcomeInconclusive:
		return
	}
	if now.Sub(s.lastFailure) > failureWindow {
		s.failures = 0
	}
	s.lastFailure = now
	if outcome == outcomeUnreachable {
		s.penalizedUntil = now.Add(basePenalty)
		return
	}
	s.failures++
	if outcome == outcomeSilent {
		s.failures = max(s.failures, toleratedFailures+1)
	}
	doublings := min(s.failures-1, maxPenaltyDoublings)
	s.penalizedUntil = now.Add(basePenalty << doublings)
}

// selection holds the inputs of a server selection.
type selection struct {
	servers       []*fleet.Instance
	exclude       map[string]bool // servers that are not eligible, by ID
	key           string          // requests with the same key prefer the same server, "": the least loaded one
	home          string          // ID of the server that caches the prompt, "" if not known
	newHome       bool            // later requests name the selected server as their home
	failureDomain string          // of this entry
	versions      streampin.Constraint
	blocked       func(*fleet.Instance) bool // servers that are not eligible because of their limits, nil: none
	mayAsk        bool                       // no other request waits for a place at a server
	now           time.Time
}

// candidate is a server with the properties by which it is ranked.
type candidate struct {
	server       *fleet.Instance
	penalized    bool   // failed recently or is silent
	otherVersion bool   // than the one that is preferred
	saturated    bool   // this entry has used up its share of the slots
	home         bool   // caches the prompt
	weight       uint64 // rendezvous hash of key and server; random without a key
	running      int
	remote       bool // in another failure domain
	limited      bool // accepts a limited rate of requests
}

// acquire selects a server and counts the request there until release is called. It
// returns nil if every server is excluded, or if the best one has a limit: the request then
// needs a permit for one of the preferences.
func (t *loadTracker) acquire(sel selection) *fleet.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates := t.candidates(sel)
	if len(candidates) == 0 {
		return nil
	}
	best := slices.MinFunc(candidates, sel.order()).server
	if best.Limited() {
		return nil
	}
	t.load(best.ID).running++
	return best
}

// preferences returns the servers that are not excluded in order, up to the first one
// without a limit.
func (t *loadTracker) preferences(sel selection) []*fleet.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates := t.candidates(sel)
	slices.SortFunc(candidates, sel.order())
	var list []*fleet.Instance
	for _, cand := range candidates {
		list = append(list, cand.server)
		if !cand.limited {
			break
		}
	}
	return list
}

// acquireServer counts a request at a server until release is called.
func (t *loadTracker) acquireServer(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.load(id).running++
}

// peek returns the best server, or nil if every one is excluded.
func (t *loadTracker) peek(sel selection) *fleet.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates := t.candidates(sel)
	if len(candidates) == 0 {
		return nil
	}
	return slices.MinFunc(candidates, sel.order()).server
}

// candidates returns the servers that are not excluded. The caller holds the mutex.
func (t *loadTracker) candidates(sel selection) []candidate {
	var list []candidate
	for _, server := range sel.servers {
		if sel.exclude[server.ID] || !sel.versions.Allows(server.Version) || sel.blocked != nil && sel.blocked(server) {
			continue
		}
		if t.windowOpen(server, sel.mayAsk) {
			list = append(list, t.newCandidate(server, sel))
		}
	}
	return list
}

// order returns the order in which the selection ranks servers, the best first.
func (sel *selection) order() func(a, b candidate) int {
	switch {
	case sel.newHome:
		return compareForNewHome
	case sel.key != "":
		return compareByAffinity
	}
	return compareByLoad
}

// newCandidate evaluates a server for a selection. The caller holds the mutex.
func (t *loadTracker) newCandidate(server *fleet.Instance, sel selection) candidate {
	load := t.load(server.ID)
	cand := candidate{
		server:       server,
		penalized:    load.isSilent(server, sel.now) || sel.now.Before(load.penalizedUntil),
		otherVersion: !sel.versions.Prefers(server.Version),
		running:      load.running,
		remote:       server.FailureDomain != sel.failureDomain,
		limited:      server.Limited(),
	}
	if sel.key == "" {
		cand.weight = rand.Uint64()
		return cand
	}
	if load.failures > 0 && load.failures <= toleratedFailures {
		cand.penalized = load.isSilent(server, sel.now)
	}
	cand.weight = xxhash.Sum64String(sel.key + " " + server.ID)
	cand.home = server.ID == sel.home
	cand.saturated = load.running >= max(minSlotShare, server.Slots/slotShareDivisor)
	return cand
}

// compareAvailability ranks servers by whether they can take a request now. It comes first
// in each order.
func compareAvailability(a, b candidate) int {
	return cmp.Or(
		compare.Bool(a.penalized, b.penalized),
		compare.Bool(a.otherVersion, b.otherVersion),
		compare.Bool(a.saturated, b.saturated),
	)
}

// compareByAffinity ranks servers for requests whose prompt is cached where earlier
// requests with the same key ran.
func compareByAffinity(a, b candidate) int {
	return cmp.Or(
		compareAvailability(a, b),
		compare.Bool(b.home, a.home),
		cmp.Compare(b.weight, a.weight),
	)
}

// compareForNewHome ranks servers for the first turn of a program whose later turns stay
// at the server, so that those without a limit come first. Each turn sends the whole prompt,
// so the servers of the entry's own failure domain come before others as long as they have
// free slots.
func compareForNewHome(a, b candidate) int {
	return cmp.Or(
		compareAvailability(a, b),
		compare.Bool(a.limited, b.limited),
		compare.Bool(a.remote, b.remote),
		cmp.Compare(a.running, b.running),
		cmp.Compare(b.weight, a.weight),
	)
}

// compareByLoad ranks servers for requests that every server handles equally well.
func compareByLoad(a, b candidate) int {
	return cmp.Or(
		compareAvailability(a, b),
		cmp.Compare(a.running, b.running),
		compare.Bool(a.remote, b.remote),
		cmp.Compare(a.weight, b.weight),
	)
}

// release records that a request at a server has ended.
func (t *loadTracker) release(id string, outcome attemptOutcome, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	load := t.load(id)
	load.running--
	load.recordOutcome(outcome, now)
	t.updateWindow(load, outcome, now)
}

// updateWindow updates the window of a server after an attempt. The caller holds the mutex.
func (t *loadTracker) updateWindow(load *serverLoad, outcome attemptOutcome, now time.Time) {
	if load.window != nil {
		load.window.record(outcome, now.Sub(t.started))
	}
}

// windowOpen reports whether this entry may send another request to a server. While a window
// recovers from an overload, its places go to the requests that wait. The caller holds the
// mutex.
func (t *loadTracker) windowOpen(server *fleet.Instance, mayAsk bool) bool {
	load := t.load(server.ID)
	if load.window == nil {
		load.window = newServerWindow(server)
	}
	return load.running < load.window.window.Limit() && (mayAsk || !load.window.window.BelowMax())
}

// isOpen is like windowOpen for callers that do not hold the mutex.
func (t *loadTracker) isOpen(server *fleet.Instance, mayAsk bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.windowOpen(server, mayAsk)
}

// throughput returns the requests a second that servers without a limit have answered to
// this entry.
func (t *loadTracker) throughput(servers []*fleet.Instance, now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := 0.0
	for _, server := range servers {
		if load := t.load(server.ID); !server.Limited() && load.window != nil {
			total += load.window.completed.perSecond(now.Sub(t.started))
		}
	}
	return total
}

// recordSilence penalizes a server that sent no output in time while the request is
// still running there.
func (t *loadTracker) recordSilence(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	load := t.load(id)
	load.recordOutcome(outcomeSilent, now)
	t.updateWindow(load, outcomeSilent, now)
}

// prune removes the servers that are not known any more and run no requests.
func (t *loadTracker) prune(known map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, load := range t.byServer {
		if !known[id] && load.running == 0 {
			delete(t.byServer, id)
		}
	}
}
