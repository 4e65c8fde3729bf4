package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ibistray.example/ibistray/internal/policy/place"
	"ibistray.example/ibistray/internal/policy/retry"
)

const (
	entryCount     = 3
	reportPeriod   = time.Second            // of load reports
	reportLag      = 500 * time.Millisecond // from a report to the entries' view
	leaseTime      = 3 * time.Second        // of an announcement
	arrivalEnd     = 20 * time.Minute       // no program starts later
	warmUp         = 4 * time.Minute        // programs that start earlier are not measured
	runEnd         = 35 * time.Minute
	cacheEventLag  = 2 * time.Second // at most
	cacheEventLoss = 0.05
	retainPeriod   = 2 * time.Second
)

// system is one simulated deployment under one variant.
type system struct {
	sim      *simulator
	rng      *rand.Rand // of the policies and the fakes
	deploy   deployment
	variant  variant
	entries  []*entry
	sidecars []*sidecar
	services *servicePool
	clients  map[string]*client // by program
	faults   *faultState
	metrics  *metrics
	attempts uint64
}

// entry is an entry host: its view of the servers and its own counts.
type entry struct {
	sys    *system
	view   *place.View
	own    map[string]*place.InFlight
	budget *retry.Budget
}

// call is one call of a program, with all its attempts.
type call struct {
	client   *client
	entry    *entry
	index    int
	prompt   int64
	newInput int64
	output   int64
	started  time.Duration
	deadline time.Duration
	retries  int
	unknown  int
	exclude  []string
	current  *attempt
	over     bool
}

// attempt is one try of a call at one server.
type attempt struct {
	seq         uint64
	call        *call
	sidecar     *sidecar
	own         *place.InFlight
	started     time.Duration // on the engine
	prefillLeft float64
	finish      float64
}

func newSystem(d deployment, v variant, seed uint64) *system {
	s := &system{
		sim:     &simulator{},
		rng:     rand.New(rand.NewPCG(seed, 2)),
		deploy:  d,
		variant: v,
		metrics: newMetrics(),
		clients: make(map[string]*client),
	}
	s.faults = &faultState{sys: s}
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
	e := &entry{sys: s, own: make(map[string]*place.InFlight)}
	if s.variant.budget > 0 {
		e.budget = retry.NewBudget(s.variant.budget, s.variant.burst)
	}
	var servers []place.Server
	for _, sc := range s.sidecars {
		e.own[sc.id] = &place.InFlight{}
		servers = append(servers, sc.announce(e))
	}
	e.view = place.NewView(s.variant.place, servers)
	return e
}

// report publishes the state of the servers, which reaches the entries late.
func (s *system) report() {
	for _, e := range s.entries {
		servers := make([]place.Server, 0, len(s.sidecars))
		for _, sc := range s.sidecars {
			if sc.state == place.StateDown {
				if last := e.view.Server(sc.id); last != nil {
					servers = append(servers, *last) // no announcement: the lease runs out
				}
				continue
			}
			servers = append(servers, sc.announce(e))
		}
		s.sim.after(reportLag, func() { e.view = e.view.WithServers(servers) })
	}
}

// dispatch sends a call to a server.
func (e *entry) dispatch(c *call) {
	if c.over {
		return
	}
	sys := e.sys
	d, err := place.Choose(e.view, place.Request{
		Program:      c.client.program.id,
		PromptTokens: c.prompt,
		CachedOn:     c.client.cachedOn,
		CachedTokens: c.client.cachedTokens,
		Exclude:      c.exclude,
	}, sys.rng.Uint64(), sys.sim.now)
	if err != nil {
		c.exclude = nil
		e.fail(c, retry.Failure{Kind: retry.KindServerDown, NotRun: true, Err: err}, "")
		return
	}
	sc := sys.sidecarByID(d.Server.ID)
	sys.attempts++
	a := &attempt{seq: sys.attempts, call: c, sidecar: sc, own: e.own[sc.id]}
	c.current = a
	a.own.Begin()
	sc.offer(a)
}

func (s *system) sidecarByID(id string) *sidecar {
	for _, sc := range s.sidecars {
		if sc.id == id {
			return sc
		}
	}
	panic("unknown sidecar " + id)
}

// failed ends an attempt without an answer.
func (a *attempt) failed(f retry.Failure) {
	a.own.End()
	if a.call.current != a || a.call.over {
		return
	}
	a.call.current = nil
	a.call.entry.fail(a.call, f, a.sidecar.id)
}

// fail decides what follows a failed attempt.
func (e *entry) fail(c *call, f retry.Failure, server string) {
	sys := e.sys
	d := sys.variant.retry.Next(retry.Call{
		Started:        c.started,
		Deadline:       c.deadline,
		Retries:        c.retries,
		UnknownRetries: c.unknown,
		Repeatable:     true,
	}, f, e.budget, sys.rng.Uint64(), sys.sim.now)
	if !d.Retry {
		c.over = true
		c.client.refused(f, d)
		return
	}
	c.retries++
	if d.Class == retry.ClassUnknown {
		c.unknown++
	}
	sys.metrics.retries++
	if d.ExcludeServer && server != "" {
		c.exclude = append(c.exclude, server)
	}
	sys.sim.after(d.Delay, func() { e.dispatch(c) })
}

// statusOverloaded is the answer of an engine that takes no call for a while.
const statusOverloaded = 529

// overloadHint is the time to come back that goes with it.
func (s *system) overloadHint() time.Duration {
	if s.faults.outage.length > 0 {
		return 0
	}
	return time.Second
}
