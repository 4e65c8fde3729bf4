package main

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"ibistray.example/ibistray/internal/policy/quota"
)

// accountEntry is an entry that takes permits for the requests of its accounts.
type accountEntry struct {
	system *accountSystem
	name   string
	lines  []*accountLine // by account
}

// accountLine is the requests of one account at one entry.
type accountLine struct {
	entry   *accountEntry
	account *simulatedAccount
	stock   quota.Stock
	queue   []*accountRequest // in order of arrival
	asking  bool
	retryAt time.Duration
}

// accountRequest is a request of a program, the first one of a new program.
type accountRequest struct {
	program  *accountProgram
	arrived  time.Duration
	deadline time.Duration
	first    bool
}

func newAccountEntry(s *accountSystem, index int) *accountEntry {
	e := &accountEntry{system: s, name: strconv.Itoa(index)}
	for _, account := range s.accounts {
		e.lines = append(e.lines, &accountLine{entry: e, account: account})
	}
	return e
}

// report sends one message for a line, if any, and all other lines that are due.
func (e *accountEntry) report(first *accountLine, programs []*accountRequest) {
	sent := false
	for _, l := range e.lines {
		switch {
		case l == first:
			l.send(programs)
		case !l.asking && l.stock.Due(e.system.sim.now):
			l.send(nil)
		default:
			continue
		}
		sent = true
	}
	if sent {
		e.system.messages++
	}
}

// arrive serves a request with a permit in hand, or has it wait for one.
func (l *accountLine) arrive(r *accountRequest) {
	now := l.entry.system.sim.now
	if l.stock.Take(now, r.first) {
		l.account.serve(l.entry.system, r)
		return
	}
	l.queue = append(l.queue, r)
	l.refuseDenied()
	l.ask()
}

// refuseDenied refuses the requests that should not wait for what was denied.
func (l *accountLine) refuseDenied() {
	now := l.entry.system.sim.now
	l.queue = slices.DeleteFunc(l.queue, func(r *accountRequest) bool {
		until := l.stock.DeniedUntil()
		if r.first {
			until = l.stock.ProgramsDeniedUntil()
		}
		if now < until && !quota.Wait(r.first, until-now, r.deadline-now) || now >= r.deadline {
			l.account.refuse(l.entry.system, r, until-now)
			return true
		}
		return false
	})
}

// ask asks for permits for the requests that wait, if that is not useless.
func (l *accountLine) ask() {
	s := l.entry.system
	if l.asking || len(l.queue) == 0 {
		return
	}
	waiting, programs, again := l.demand()
	if waiting == 0 && len(programs) == 0 {
		if again != l.retryAt {
			l.retryAt = again
			s.sim.after(again-s.sim.now, l.ask)
		}
		return
	}
	l.entry.report(l, programs)
}

// demand returns the requests of running programs and the new programs that are not denied,
// and when the first denied one may be asked for.
func (l *accountLine) demand() (waiting int, programs []*accountRequest, again time.Duration) {
	now := l.entry.system.sim.now
	again = accountsEnd
	for _, r := range l.queue {
		switch {
		case !r.first && now >= l.stock.DeniedUntil():
			waiting++
		case r.first && now >= l.stock.ProgramsDeniedUntil():
			programs = append(programs, r)
		case r.first:
			again = min(again, l.stock.ProgramsDeniedUntil())
		default:
			again = min(again, l.stock.DeniedUntil())
		}
	}
	return waiting, programs, again
}

// send sends the demand of a line with the programs that want to begin.
func (l *accountLine) send(programs []*accountRequest) {
	s := l.entry.system
	askedAt := s.sim.now
	waiting, _, _ := l.demand()
	var ids []uint64
	for _, r := range programs {
		ids = append(ids, r.program.id)
	}
	ask := l.stock.Ask(askedAt, waiting, ids)
	ask.Entry = l.entry.name
	l.asking = true
	s.demands++
	s.sim.after(s.roundTrip/2, func() {
		if s.allocator == nil {
			s.sim.after(accountsTimeout, l.lost)
			return
		}
		grant := s.allocator.Ask(s.sim.now, l.account.name, l.account.limit, ask)
		s.sim.after(s.roundTrip-s.roundTrip/2, func() { l.receive(askedAt, grant, programs) })
	})
}

func (l *accountLine) lost() {
	l.asking = false
	l.stock.Lost(l.entry.system.sim.now)
	l.ask()
}

// receive serves the requests that have permits and refuses those that should not wait.
func (l *accountLine) receive(askedAt time.Duration, g quota.Grant, programs []*accountRequest) {
	s := l.entry.system
	l.asking = false
	l.stock.Add(s.sim.now, askedAt, g)
	for i, r := range programs {
		if g.Admitted[i] {
			l.remove(r)
			l.account.serve(s, r)
		}
	}
	for _, first := range []bool{false, true} {
		for _, r := range slices.Clone(l.queue) {
			if r.first == first && l.stock.Take(s.sim.now, first) {
				l.remove(r)
				l.account.serve(s, r)
			}
		}
	}
	l.refuseDenied()
	l.ask()
}

func (l *accountLine) remove(r *accountRequest) {
	if i := slices.Index(l.queue, r); i >= 0 {
		l.queue = slices.Delete(l.queue, i, i+1)
	}
}

// pick returns an entry: often the home of a program, which is often the busy one.
func (s *accountSystem) pick(rng *rand.Rand, home int) int {
	if home >= 0 && rng.Float64() < homeShare {
		return home
	}
	if rng.Float64() < busyEntryShare {
		return 0
	}
	return rng.IntN(len(s.entries))
}
