package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"ibistray.example/ibistray/internal/policy/ratelimit"
)

// The load of a service whose servers all name a limit.
const (
	limitServers   = 12
	limitPerServer = 4.0 // requests a second
	limitLoad      = 2   // offered load as a multiple of all limits together
	limitTimeout   = 4 * time.Second
	limitRoundTrip = 4 * time.Millisecond // to the leader that gives out permits
	limitWarmUp    = 5 * time.Second
	limitEnd       = 30 * time.Second
	// busyEntryShare of the requests reach one entry.
	busyEntryShare = 0.3
	// minLimitGoodput is the least share of the limits that is used.
	minLimitGoodput = 0.95
)

// limitSystem simulates entries that share the limits of the servers.
type limitSystem struct {
	sim       *simulator
	rng       *rand.Rand
	allocator *ratelimit.Allocator
	entries   []*limitEntry
	served    int
	refused   int
	waits     time.Duration // of served requests
}

// limitEntry is an entry that asks for permits.
type limitEntry struct {
	system      *limitSystem
	name        string
	queue       []*limitedRequest
	deniedUntil [limitServers]time.Duration
	share       [limitServers]float64
	asking      bool
}

type limitedRequest struct {
	arrived, joined time.Duration
	returned        bool // it was refused before
}

// simulateLimits simulates a number of entries until limitEnd.
func simulateLimits(entries int, seed uint64) *limitSystem {
	s := &limitSystem{sim: &simulator{}, rng: rand.New(rand.NewPCG(seed, 3)), allocator: ratelimit.NewAllocator()}
	for i := range entries {
		s.entries = append(s.entries, &limitEntry{system: s, name: fmt.Sprint(i)})
	}
	arrival := time.Duration(0)
	for arrival < limitEnd {
		s.sim.after(arrival, func() { s.arrive(&limitedRequest{arrived: s.sim.now}) })
		arrival += toDuration(s.rng.ExpFloat64() / (limitLoad * limitServers * limitPerServer))
	}
	s.sim.runUntil(limitEnd)
	return s
}

// arrive sends a request to an entry.
func (s *limitSystem) arrive(r *limitedRequest) {
	entry := s.entries[0]
	if s.rng.Float64() >= busyEntryShare {
		entry = s.entries[s.rng.IntN(len(s.entries))]
	}
	r.joined = s.sim.now
	entry.queue = append(entry.queue, r)
	if !entry.decide(len(entry.queue) - 1) {
		return
	}
	entry.ask()
}

// decide refuses the request at a place of the queue unless it should wait.
func (e *limitEntry) decide(place int) bool {
	s, r := e.system, e.queue[place]
	total := 0.0
	for _, share := range e.share {
		total += share
	}
	decision := ratelimit.Decide(ratelimit.Waiting{Waited: s.sim.now - r.joined, Timeout: limitTimeout, Ahead: place, Share: total})
	if decision.Wait {
		return true
	}
	e.queue = append(e.queue[:place], e.queue[place+1:]...)
	s.refused++
	if !r.returned && s.sim.now-r.arrived+decision.RetryAfter < limitTimeout {
		r.returned = true
		s.sim.after(decision.RetryAfter+toDuration(s.rng.Float64()*maxRetryJitter.Seconds()), func() { s.arrive(r) })
	}
	return false
}

// ask asks for a permit for the first request of the queue, one at a time.
func (e *limitEntry) ask() {
	if e.asking || len(e.queue) == 0 {
		return
	}
	e.asking = true
	e.system.sim.after(limitRoundTrip, func() {
		e.asking = false
		e.serveFirst()
	})
}

// serveFirst uses a permit of any server for the first request, or asks again later.
func (e *limitEntry) serveFirst() {
	s := e.system
	if len(e.queue) == 0 || !e.decide(0) {
		e.ask()
		return
	}
	again := limitEnd
	for _, server := range s.rng.Perm(limitServers) {
		if s.sim.now >= e.deniedUntil[server] {
			result := s.allocator.Ask(s.sim.now, fmt.Sprint(server), ratelimit.Ask{Entry: e.name, Rate: limitPerServer, Wanted: 1})
			e.share[server], e.deniedUntil[server] = result.Share, s.sim.now+result.Retry
			if result.Permits > 0 {
				s.count(e.queue[0])
				e.queue = e.queue[1:]
				e.ask()
				return
			}
		}
		again = min(again, e.deniedUntil[server])
	}
	e.asking = true
	s.sim.after(again-s.sim.now, func() {
		e.asking = false
		e.ask()
	})
}

func (s *limitSystem) count(r *limitedRequest) {
	if s.sim.now >= limitWarmUp {
		s.served++
		s.waits += s.sim.now - r.joined
	}
}

// goodput returns the share of the limits that was used.
func (s *limitSystem) goodput() float64 {
	return float64(s.served) / (limitServers * limitPerServer * (limitEnd - limitWarmUp).Seconds())
}

// limitResult is the outcome with a number of entries.
type limitResult struct {
	entries  int
	goodput  float64       // lowest of all seeds
	meanWait time.Duration // of served requests, highest of all seeds
}

// measureLimits simulates several numbers of entries with several seeds each.
func measureLimits(seeds int) []limitResult {
	var results []limitResult
	for _, entries := range []int{1, 3, 8, 62, 200} {
		result := limitResult{entries: entries, goodput: 1}
		for seed := range seeds {
			s := simulateLimits(entries, uint64(seed))
			result.goodput = min(result.goodput, s.goodput())
			result.meanWait = max(result.meanWait, s.waits/time.Duration(max(1, s.served)))
		}
		results = append(results, result)
	}
	return results
}

func printLimits(w io.Writer, results []limitResult) {
	fmt.Fprintf(w, "\n### Servers with limits under %d times their load\n\n| entries | share of the limits used | mean wait of served requests, ms |\n|---|---|---|\n", limitLoad)
	for _, r := range results {
		fmt.Fprintf(w, "| %d | %.3f | %d |\n", r.entries, r.goodput, r.meanWait.Milliseconds())
	}
}

// checkLimits returns the bounds on the share of the limits that is used. One entry with full
// knowledge would use all of them.
func checkLimits(results []limitResult) []check {
	var checks []check
	for _, r := range results {
		checks = append(checks, check{id: fmt.Sprintf("limits/%d entries/share used", r.entries), measured: r.goodput, limit: minLimitGoodput})
	}
	return checks
}
