package gateway

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"ibistray.example/ibistray/internal/fleet"
)

const (
	// penaltyTime is how long a server that failed is used after the others only.
	penaltyTime = 1500 * time.Millisecond
	// overflowShare is the part of a model engine's slots that requests of this entry
	// may take before another engine is preferred over the one that holds the prompt.
	overflowShare = 4
	minOverflow   = 4
)

// load is what this entry has under way at one server.
type load struct {
	running   int
	penalized time.Time // until then
}

// loads counts the requests of this entry by server. It is safe for concurrent use.
type loads struct {
	mu       sync.Mutex
	byServer map[string]*load
}

func newLoads() *loads {
	return &loads{byServer: make(map[string]*load)}
}

func (l *loads) of(id string) *load {
	if l.byServer[id] == nil {
		l.byServer[id] = new(load)
	}
	return l.byServer[id]
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
		penalized: c.now.Before(own.penalized) || server.Silent,
		running:   own.running,
		remote:    server.FailureDomain != c.domain,
	}
	if c.key == "" {
		r.weight = rand.Uint64()
		return r
	}
	r.weight = xxhash.Sum64String(c.key + " " + server.ID)
	r.full = own.running >= max(minOverflow, server.Slots/overflowShare)
	return r
}

// compareKeyed orders the servers for requests whose prompt is cached where
// earlier ones ran.
func compareKeyed(a, b ranked) int {
	return cmp.Or(
		compareBool(a.penalized, b.penalized),
		compareBool(a.full, b.full),
		cmp.Compare(b.weight, a.weight),
	)
}

// compareLoad orders the servers for requests that any server answers as well.
func compareLoad(a, b ranked) int {
	return cmp.Or(
		compareBool(a.penalized, b.penalized),
		cmp.Compare(a.running, b.running),
		compareBool(a.remote, b.remote),
		cmp.Compare(a.weight, b.weight),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// release counts the end of a request. A failed server is used less for some time.
func (l *loads) release(id string, failed bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := l.of(id)
	own.running--
	if failed {
		own.penalized = now.Add(penaltyTime)
	}
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
