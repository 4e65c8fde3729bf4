package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ibistray.example/ibistray/internal/account"
	"ibistray.example/ibistray/internal/policy/quota"
)

// The load of client accounts with limits.
const (
	accountsLoad      = 0.6 // as a share of the limits
	hotFactor         = 6.0 // load of the hot account, relative to that of the others
	accountsWarmUp    = 10 * time.Second
	accountsEnd       = 50 * time.Second
	accountsRoundTrip = 4 * time.Millisecond // to the allocator
	accountsTimeout   = 300 * time.Millisecond
	accountsTick      = 250 * time.Millisecond // at which entries look for what is due
	requestTimeout    = 10 * time.Second
	// The allocator is lost at outageStart, and another one begins after outageDuration.
	outageStart    = 25 * time.Second
	outageDuration = time.Second
	// A program makes minProgramRequests to maxProgramRequests requests, with a mean pause of
	// meanPause after each. homeShare of them reach the same entry.
	minProgramRequests = 10
	maxProgramRequests = 30
	meanPause          = 500 * time.Millisecond
	homeShare          = 0.8
	// A refused new program returns up to maxReturns times.
	maxReturns = 2
)

// accountRates are the limits in requests a second, in turn. The first one is of the hot
// account.
var accountRates = []float64{20, 2, 5, 20, 100, 2, 10, 50, 2, 5, 20, 5}

// accountSystem simulates entries that share the limits of client accounts.
type accountSystem struct {
	sim       *simulator
	rng       *rand.Rand
	roundTrip time.Duration
	window    quota.Window
	allocator *quota.Allocator // nil while it is lost
	entries   []*accountEntry
	accounts  []*simulatedAccount
	programs  uint64
	requests  int // served
	messages  int // to the allocator
	demands   int // in messages
}

// simulatedAccount is an account with its outcome.
type simulatedAccount struct {
	index  int
	name   string
	limit  account.Limit
	rng    *rand.Rand
	result accountOutcome
}

// accountOutcome counts what happened after the warm-up.
type accountOutcome struct {
	perSecond float64       // limit
	served    int           // requests
	lost      int           // requests that programs would have made
	begun     int           // programs
	broken    int           // programs refused after they began
	waits     time.Duration // of served requests
}

func (o accountOutcome) servedShare() float64 { return float64(o.served) / float64(o.served+o.lost) }

// accountProgram is a program of an account.
type accountProgram struct {
	id        uint64
	remaining int // requests
	home      int
	returns   int
}

// simulateAccounts simulates a number of entries until accountsEnd. With one entry the
// allocator is at the entry.
func simulateAccounts(entries int, seed uint64, outage bool) *accountSystem {
	s := &accountSystem{
		sim: &simulator{}, rng: rand.New(rand.NewPCG(seed, 4)), roundTrip: accountsRoundTrip,
		window: quota.Window{Period: 5 * time.Second, Excess: 0.1, Slack: 20},
	}
	if entries == 1 {
		s.roundTrip = 0
	}
	s.allocator = quota.NewAllocator(s.window, 0, nil)
	for i, rate := range accountRates {
		limit := account.Limit{PerSecond: rate, Burst: max(5, rate)}
		s.accounts = append(s.accounts, &simulatedAccount{
			index: i, name: fmt.Sprint(i), limit: limit, rng: rand.New(rand.NewPCG(seed, 100+uint64(i))), result: accountOutcome{perSecond: rate},
		})
	}
	for i := range entries {
		e := newAccountEntry(s, i)
		s.entries = append(s.entries, e)
		s.sim.after(toDuration(s.rng.Float64()*accountsTick.Seconds()), func() { s.sim.every(accountsTick, accountsEnd, func() { e.report(nil, nil) }) })
	}
	for _, a := range s.accounts {
		a.beginPrograms(s)
	}
	if outage {
		s.sim.after(outageStart, func() { s.allocator = nil })
		s.sim.after(outageStart+outageDuration, func() { s.allocator = quota.NewAllocator(s.window, s.sim.now, nil) })
	}
	s.sim.runUntil(accountsEnd)
	return s
}

// beginPrograms schedules the programs of an account.
func (a *simulatedAccount) beginPrograms(s *accountSystem) {
	load := accountsLoad * a.limit.PerSecond
	if a.index == 0 {
		load *= hotFactor
	}
	perSecond := load / ((minProgramRequests + maxProgramRequests) / 2)
	for at := a.rng.ExpFloat64() / perSecond; at < accountsEnd.Seconds(); at += a.rng.ExpFloat64() / perSecond {
		s.programs++
		p := &accountProgram{id: s.programs, remaining: minProgramRequests + a.rng.IntN(maxProgramRequests-minProgramRequests+1), home: -1}
		s.sim.after(toDuration(at), func() { a.request(s, p, true) })
	}
}

// request sends a request of a program to an entry.
func (a *simulatedAccount) request(s *accountSystem, p *accountProgram, first bool) {
	entry := s.pick(s.rng, p.home)
	if p.home < 0 {
		p.home = entry
	}
	s.entries[entry].lines[a.index].arrive(&accountRequest{program: p, arrived: s.sim.now, deadline: s.sim.now + requestTimeout, first: first})
}

// serve runs a request, and has its program make the next one after a pause.
func (a *simulatedAccount) serve(s *accountSystem, r *accountRequest) {
	s.requests++
	if s.sim.now >= accountsWarmUp {
		a.result.served++
		a.result.waits += s.sim.now - r.arrived
		if r.first {
			a.result.begun++
		}
	}
	if r.program.remaining--; r.program.remaining > 0 {
		s.sim.after(toDuration(a.rng.ExpFloat64()*meanPause.Seconds()), func() { a.request(s, r.program, false) })
	}
}

// refuse refuses a request. A new program returns; a running one that is refused is lost.
func (a *simulatedAccount) refuse(s *accountSystem, r *accountRequest, retry time.Duration) {
	if r.first && r.program.returns < maxReturns {
		r.program.returns++
		s.sim.after(max(retry, time.Second), func() { a.request(s, r.program, true) })
		return
	}
	if s.sim.now >= accountsWarmUp {
		a.result.lost += r.program.remaining
		if !r.first {
			a.result.broken++
		}
	}
}

// totals returns the outcome of the accounts below their limits together, and that of the hot
// account.
func (s *accountSystem) totals() (cold, hot accountOutcome) {
	for _, a := range s.accounts[1:] {
		cold.served += a.result.served
		cold.lost += a.result.lost
		cold.waits += a.result.waits
	}
	return cold, s.accounts[0].result
}
