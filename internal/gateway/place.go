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
)

const (
	// penaltyTime is how long a server that failed once is used after the others only.
	// It doubles with each further failure, up to maxPenaltyDoublings times: a server
	// that fails a part of its requests would else be tried again and again.
	penaltyTime         = 1500 * time.Millisecond
	maxPenaltyDoublings = 3
	// failureMemory is the time without a failure after which a server counts as well.
	failureMemory = 20 * time.Second
	// answerMemory is how long an answer shows that a server works.
	answerMemory = 3 * time.Second
	// toleratedFailures of a server that holds a prompt do not move requests away:
	// reading the prompt again costs more than one lost answer.
	toleratedFailures = 1
	// overflowShare is the part of a model engine's slots that requests of this entry
	// may take before another engine is preferred over the one that holds the prompt.
	overflowShare = 4
	minOverflow   = 4
)

// verdict is how an attempt at a server ended.
type verdict uint8

const (
	verdictFine        verdict = iota // answered, or refused without running the request
	verdictFailed                     // broke off or answered wrongly
	verdictUnreachable                // took no connection
	verdictSilent                     // does not begin to answer
	verdictNone                       // ended from here: says nothing about the server
)

// load is what this entry has under way at one server, and how it fared there.
type load struct {
	running     int
	failures    int
	lastFailure time.Time
	lastAnswer  time.Time
	penalized   time.Time // used after the others until then
}

// silent reports whether a server is not heard of. One that answers this entry is
// fine: its heartbeats may go to a state host that is cut off from the others.
func (own *load) silent(server *fleet.Instance, now time.Time) bool {
	return server.Silent && now.Sub(own.lastAnswer) > answerMemory
}

// loads counts the requests of this entry by server. It is safe for concurrent use.
type loads struct {
	mu       sync.Mutex
	byServer map[string]*load
	latency  map[string]*latency // by route
}

func newLoads() *loads {
	return &loads{byServer: make(map[string]*load), latency: make(map[string]*latency)}
}

func (l *loads) of(id string) *load {
	if l.byServer[id] == nil {
		l.byServer[id] = new(load)
	}
	return l.byServer[id]
}

// judge takes the outcome of an attempt in.
func (own *load) judge(v verdict, now time.Time) {
	switch v {
	case verdictFine:
		own.lastAnswer = now
		return
	case verdictNone:
		return
	}
	if now.Sub(own.lastFailure) > failureMemory {
		own.failures = 0
	}
	own.lastFailure = now
	if v == verdictUnreachable {
		own.penalized = now.Add(penaltyTime)
		return
	}
	own.failures++
	if v == verdictSilent {
		own.failures = max(own.failures, toleratedFailures+1)
	}
	doublings := min(own.failures-1, maxPenaltyDoublings)
	own.penalized = now.Add(penaltyTime << doublings)
}

// choice is the question where a request goes.
type choice struct {
	servers []*fleet.Instance
	tried   map[string]bool // servers not to be asked again
	key     string          // requests with the same key go to the same server, "": to the least loaded
	domain  string          // of this entry
	now     time.Time
}

// ranked is a server with what decides about it.
type ranked struct {
	server    *fleet.Instance
	penalized bool // failed lately, silent, or slow after its start
	full      bool // this entry gave it its share
	weight    uint64
	running   int
	remote    bool
}

// take chooses a server and counts the request there. It returns nil when every
// server was tried.
func (l *loads) take(c choice) *fleet.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []ranked
	for _, server := range c.servers {
		if !c.tried[server.ID] {
			list = append(list, l.rank(server, c))
		}
	}
	if len(list) == 0 {
		return nil
	}
	compare := compareLoad
	if c.key != "" {
		compare = compareKeyed
	}
	chosen := slices.MinFunc(list, compare).server
	l.of(chosen.ID).running++
	return chosen
}

func (l *loads) rank(server *fleet.Instance, c choice) ranked {
	own := l.of(server.ID)
	r := ranked{
		server:    server,
		penalized: own.silent(server, c.now) || c.now.Before(own.penalized),
		running:   own.running,
		remote:    server.FailureDomain != c.domain,
	}
	if c.key == "" {
		r.weight = rand.Uint64()
		return r
	}
	if own.failures > 0 && own.failures <= toleratedFailures {
		r.penalized = own.silent(server, c.now)
	}
	r.weight = xxhash.Sum64String(c.key + " " + server.ID)
	r.full = own.running >= max(minOverflow, server.Slots/overflowShare)
	return r
}

// compareKeyed orders the servers for requests whose prompt is cached where
// earlier ones ran.
func compareKeyed(a, b ranked) int {
	return cmp.Or(
		compare.Bool(a.penalized, b.penalized),
		compare.Bool(a.full, b.full),
		cmp.Compare(b.weight, a.weight),
	)
}

// compareLoad orders the servers for requests that any server answers as well.
func compareLoad(a, b ranked) int {
	return cmp.Or(
		compare.Bool(a.penalized, b.penalized),
		cmp.Compare(a.running, b.running),
		compare.Bool(a.remote, b.remote),
		cmp.Compare(a.weight, b.weight),
	)
}

// release counts the end of a request.
func (l *loads) release(id string, v verdict, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := l.of(id)
	own.running--
	own.judge(v, now)
}

// suspect takes in that a server does not begin to answer, while the request is
// still there.
func (l *loads) suspect(id string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.of(id).judge(verdictSilent, now)
}

// forget drops the counts of servers that are gone and have nothing under way.
func (l *loads) forget(known map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, own := range l.byServer {
		if !known[id] && own.running == 0 {
			delete(l.byServer, id)
		}
	}
}
