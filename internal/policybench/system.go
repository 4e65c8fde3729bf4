package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ibistray.example/ibistray/internal/policy/place"
	"ibistray.example/ibistray/internal/policy/retry"
)

// Parameters of a run. Points of time are counted from its start.
const (
	entryCount          = 3
	reportPeriod        = time.Second            // of load reports
	reportDelay         = 500 * time.Millisecond // from a report to the entries' view
	announcementLease   = 3 * time.Second        // of an announcement, from its report on
	arrivalEnd          = 20 * time.Minute       // no program starts later
	warmUpEnd           = 4 * time.Minute        // programs that start earlier are not measured
	runEnd              = 35 * time.Minute
	maxCacheEventDelay  = 2 * time.Second // from an eviction to the entries' view
	cacheEventLossShare = 0.05            // of the reports of evictions
	releasePeriod       = 2 * time.Second // of the retention policy
)

// system is one simulated deployment under one variant.
type system struct {
	sim        *simulator
	rng        *rand.Rand // for the policies and the simulated components
	deployment deployment
	variant    variant
	entries    []*entry
	sidecars   []*sidecar
	services   *servicePool
	clients    map[string]*client // by program ID
	faults     *faultInjector
	metrics    *metrics
	attempts   uint64 // started so far
}

// entry simulates an entry host, with its view of the servers and its counts of the
// calls in flight.
type entry struct {
	sys         *system
	view        *place.View
	inFlight    map[string]*place.InFlight // by server ID
	retryBudget *retry.Budget              // nil: none
}

// call is a call of a program as an entry handles it, with all attempts.
type call struct {
	client          *client
	entry           *entry
	turn            int
	promptTokens    int64 // history included
	newTokens       int64 // of the prompt, without the history
	outputTokens    int64
	started         time.Duration
	deadline        time.Duration
	retries         int
	unknownRetries  int // after failures of retry.ClassUnknown
	excludedServers []string
	currentAttempt  *attempt
	finished        bool // answered, or failed for good
}

// attempt is one attempt of a call at one server.
type attempt struct {
	seq         uint64
	call        *call
	sidecar     *sidecar
	inFlight    *place.InFlight
	started     time.Duration // on the engine
	prefillLeft float64       // tokens
	finishAt    float64       // value of engine.decodedTokens at which the stream ends
}

func newSystem(d deployment, v variant, seed uint64) *system {
	s := &system{
		sim:        &simulator{},
		rng:        rand.New(rand.NewPCG(seed, 2)),
		deployment: d,
		variant:    v,
		metrics:    newMetrics(),
		clients:    make(map[string]*client),
	}
	s.faults = &faultInjector{sys: s}
	for i := range d.engines {
		s.sidecars = append(s.sidecars, newSidecar(s, fmt.Sprintf("engine-%02d", i)))
	}
	s.services = newServicePool(s, d.services)
	for range entryCount {
		s.entries = append(s.entries, newEntry(s))
	}
	return s
}

func newEntry(s *system) *entry {
	e := &entry{sys: s, inFlight: make(map[string]*place.InFlight)}
	if s.variant.budgetShare > 0 {
		e.retryBudget = retry.NewBudget(s.variant.budgetShare, s.variant.budgetBurst)
	}
	var servers []place.Server
	for _, sc := range s.sidecars {
		e.inFlight[sc.id] = &place.InFlight{}
		servers = append(servers, sc.announcement(e))
	}
	e.view = place.NewView(s.variant.place, servers)
	return e
}

// publishReports sends the state of the servers to the entries, where it arrives after
// reportDelay.
func (s *system) publishReports() {
	for _, e := range s.entries {
		servers := make([]place.Server, 0, len(s.sidecars))
		for _, sc := range s.sidecars {
			if sc.state == place.StateDown {
				if last := e.view.Server(sc.id); last != nil {
					servers = append(servers, *last) // no new announcement: the lease expires
				}
				continue
			}
			servers = append(servers, sc.announcement(e))
		}
		s.sim.after(reportDelay, func() { e.view = e.view.WithServers(servers) })
	}
}

// dispatch chooses a server for a call and submits an attempt to it.
func (e *entry) dispatch(c *call) {
	if c.finished {
		return
	}
	sys := e.sys
	d, err := place.Choose(e.view, place.Request{
		Program:      c.client.program.id,
		PromptTokens: c.promptTokens,
		CachedOn:     c.client.cachedOn,
		CachedTokens: c.client.cachedTokens,
		Exclude:      c.excludedServers,
	}, sys.rng.Uint64(), sys.sim.now)
	if err != nil {
		c.excludedServers = nil
		e.handleFailure(c, retry.Failure{Kind: retry.KindServerDown, NotRun: true, Err: err}, "")
		return
	}
	sc := sys.sidecarByID(d.Server.ID)
	sys.attempts++
	a := &attempt{seq: sys.attempts, call: c, sidecar: sc, inFlight: e.inFlight[sc.id]}
	c.currentAttempt = a
	a.inFlight.Begin()
	sc.submit(a)
}

func (s *system) sidecarByID(id string) *sidecar {
	for _, sc := range s.sidecars {
		if sc.id == id {
			return sc
		}
	}
	panic("unknown sidecar " + id)
}

// fail ends an attempt without an answer. The failure is ignored if the attempt is not
// the current one of its call.
func (a *attempt) fail(f retry.Failure) {
	a.inFlight.End()
	if a.call.currentAttempt != a || a.call.finished {
		return
	}
	a.call.currentAttempt = nil
	a.call.entry.handleFailure(a.call, f, a.sidecar.id)
}

// handleFailure retries a call after a failed attempt, or passes the failure on to the
// caller. server is the ID of the server that failed, empty if none was chosen.
func (e *entry) handleFailure(c *call, f retry.Failure, server string) {
	sys := e.sys
	d := sys.variant.retry.Next(retry.Call{
		Started:        c.started,
		Deadline:       c.deadline,
		Retries:        c.retries,
		UnknownRetries: c.unknownRetries,
		Repeatable:     true,
	}, f, e.retryBudget, sys.rng.Uint64(), sys.sim.now)
	if !d.Retry {
		c.finished = true
		c.client.handleFailure(f, d)
		return
	}
	c.retries++
	if d.Class == retry.ClassUnknown {
		c.unknownRetries++
	}
	sys.metrics.retries++
	if d.ExcludeServer && server != "" {
		c.excludedServers = append(c.excludedServers, server)
	}
	sys.sim.after(d.Delay, func() { e.dispatch(c) })
}

// statusOverloaded is the HTTP status of an engine that temporarily accepts no calls.
const statusOverloaded = 529

// overloadRetryAfter returns the retry-after hint of an overloaded engine, 0 in runs
// with an outage.
func (s *system) overloadRetryAfter() time.Duration {
	if s.faults.outage.duration > 0 {
		return 0
	}
	return time.Second
}
