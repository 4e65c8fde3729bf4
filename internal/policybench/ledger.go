package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"ibistray.example/ibistray/internal/policy/admit"
	"ibistray.example/ibistray/internal/policy/gate"
	"ibistray.example/ibistray/internal/policy/order"
)

// ledgerLoad is the load of a deployment on the leader of its program ledger. Each
// program runs turns one after the other; each turn is a request that begins it, time
// at an engine, and a request that settles it.
type ledgerLoad struct {
	name     string
	entries  int
	command  time.Duration // processor time of a request at the leader
	kinds    []turnKind
	burst    float64       // of the rate between burstFrom and burstTo
	noLeader time.Duration // length of an election at electionAt
}

// turnKind are programs of one kind.
type turnKind struct {
	name     string
	perSec   float64
	turns    int
	priority int // of its route, 0 for the most urgent
	aim      float64
}

const (
	turnTime   = 350 * time.Millisecond // at an engine
	turnPause  = 150 * time.Millisecond // tools between two turns
	ledgerEnd  = 30 * time.Second       // of the arrivals
	burstFrom  = 2 * time.Second
	burstTo    = 8 * time.Second
	electionAt = 5 * time.Second

	exchangeLimit  = 600 * time.Millisecond  // of one exchange with the leader
	beginPatience  = 1700 * time.Millisecond // of a turn that begins
	settlePatience = 4 * time.Second
	leaderQueue    = 384 // requests that wait at the leader, others are refused
	refusalShare   = 0.3 // of a request's processor time
	retryBackoff   = 400 * time.Millisecond
	busyLag        = 12500 * time.Microsecond
	clientTries    = 6 // of a turn, the first included
	minTimely      = 0.65
)

// ledgerLoads are the two deployments grown, at their highest load. A request takes
// 0.15 ms of a core, between what BenchmarkLedger of internal/statehost gives (0.07 to
// 0.2 ms) and what whole plays gave, on hosts of 0.48 and 0.27 cores.
func ledgerLoads() []ledgerLoad {
	return []ledgerLoad{
		{
			name: "hoses", entries: 25, command: 312 * time.Microsecond, burst: 2.4, noLeader: 500 * time.Millisecond,
			kinds: []turnKind{{"diagnosis", 87.2, 3, 1, 2.7}, {"quote", 25.5, 9, 0, 2.7}},
		},
		{
			name: "wharf", entries: 21, command: 551 * time.Microsecond, burst: 2.4, noLeader: 500 * time.Millisecond,
			kinds: []turnKind{{"berth plan", 87.4, 4, 1, 2.4}, {"shipping", 32.5, 9, 0, 2.2}},
		},
	}
}

// ledgerSystem is a run of one load with one way to send requests.
type ledgerSystem struct {
	sim     *simulator
	load    ledgerLoad
	rng     *rand.Rand
	entries []sender
	ready   time.Duration // when the leader has worked off what it has
	results map[string]*timeliness
}

// timeliness counts the programs of a kind by how they ended.
type timeliness struct{ timely, late, failed int }

func (t *timeliness) share() float64 {
	return float64(t.timely) / float64(max(1, t.timely+t.late+t.failed))
}

// sender is the part of an entry that sends requests. done is called once.
type sender interface {
	send(r *ledgerRequest)
}

// ledgerRequest is a request to the ledger.
type ledgerRequest struct {
	call      order.Call
	admission *admit.Request // for a turn that begins
	expires   time.Duration
	done      func(err error)
}

var errNoAnswer = errors.New("no answer")

// simulateLedger runs a load to its end.
func simulateLedger(load ledgerLoad, seed uint64, newSender func(*ledgerSystem) sender) *ledgerSystem {
	s := &ledgerSystem{sim: &simulator{}, load: load, rng: rand.New(rand.NewPCG(seed, 2)), results: make(map[string]*timeliness)}
	for range load.entries {
		s.entries = append(s.entries, newSender(s))
	}
	for i := range load.kinds {
		s.arrive(&load.kinds[i])
	}
	s.sim.runUntil(2 * ledgerEnd)
	return s
}

// arrive starts the programs of a kind.
func (s *ledgerSystem) arrive(kind *turnKind) {
	s.results[kind.name] = new(timeliness)
	at := time.Duration(0)
	for n := 0; ; n++ {
		rate := kind.perSec
		if at >= burstFrom && at < burstTo {
			rate *= s.load.burst
		}
		at += toDuration(s.rng.ExpFloat64() / rate)
		if at >= ledgerEnd {
			return
		}
		id := fmt.Sprintf("%s %d", kind.name, n)
		entry := s.entries[s.rng.IntN(len(s.entries))]
		s.sim.after(at, func() {
			p := &ledgerProgram{system: s, kind: kind, id: id, entry: entry, began: s.sim.now}
			p.begin(1)
		})
	}
}

// ledgerProgram is a program under way.
type ledgerProgram struct {
	system *ledgerSystem
	kind   *turnKind
	id     string
	entry  sender
	began  time.Duration
	turn   int
}

// begin asks for the next turn, for the try-th time.
func (p *ledgerProgram) begin(try int) {
	s := p.system
	priority := gate.BeginPriority(p.kind.priority, p.turn == 0)
	p.entry.send(&ledgerRequest{
		call:      order.Call{ID: fmt.Sprintf("begin %s %d %d", p.id, p.turn, try), Program: p.id, Priority: priority},
		admission: &admit.Request{Priority: priority, NewProgram: p.turn == 0},
		expires:   s.sim.now + beginPatience,
		done: func(err error) {
			if err == nil {
				s.sim.after(turnTime, p.settle)
				return
			}
			if try == clientTries {
				s.results[p.kind.name].failed++
				return
			}
			after := 200 * time.Millisecond
			var overload *gate.OverloadError
			if errors.As(err, &overload) {
				after = overload.RetryAfter
			}
			s.sim.after(after+time.Duration(s.rng.Int64N(int64(retryBackoff))), func() { p.begin(try + 1) })
		},
	})
}

// settle ends a turn.
func (p *ledgerProgram) settle() {
	s := p.system
	p.entry.send(&ledgerRequest{
		call:    order.Call{ID: fmt.Sprintf("settle %s %d", p.id, p.turn), Program: p.id, Priority: gate.PrioritySettle},
		expires: s.sim.now + settlePatience,
		done: func(err error) {
			p.turn++
			switch {
			case err != nil:
				s.results[p.kind.name].failed++
			case p.turn < p.kind.turns:
				s.sim.after(turnPause, func() { p.begin(1) })
			default:
				p.end()
			}
		},
	})
}

func (p *ledgerProgram) end() {
	s := p.system
	ideal := time.Duration(p.kind.turns)*turnTime + time.Duration(p.kind.turns-1)*turnPause
	if s.sim.now-p.began <= time.Duration(p.kind.aim*float64(ideal)) {
		s.results[p.kind.name].timely++
	} else {
		s.results[p.kind.name].late++
	}
}

// exchange sends one request to the leader and calls done with whether it was answered
// in time, and whether the leader was busy. The leader works off what it gets in the
// order of arrival, also what nobody waits for any longer.
func (s *ledgerSystem) exchange(done func(answered, busy bool)) {
	now := s.sim.now
	if now >= electionAt && now < electionAt+s.load.noLeader {
		s.ready = electionAt + s.load.noLeader
		s.sim.after(exchangeLimit, func() { done(false, false) })
		return
	}
	lag := max(0, s.ready-now)
	if lag > leaderQueue*s.load.command {
		s.ready = max(s.ready, now) + time.Duration(refusalShare*float64(s.load.command))
		s.sim.after(min(s.ready-now, exchangeLimit), func() { done(false, true) })
		return
	}
	s.ready = max(s.ready, now) + s.load.command
	answer := s.ready - now
	s.sim.after(min(answer, exchangeLimit), func() { done(answer <= exchangeLimit, lag > busyLag) })
}

// fixedSender sends up to a number of requests at once, in the order of arrival, and
// each again until it is answered or its time is over.
type fixedSender struct {
	system   *ledgerSystem
	underWay int
	queue    []*ledgerRequest
}

func newFixedSender(s *ledgerSystem) sender { return &fixedSender{system: s} }

func (f *fixedSender) send(r *ledgerRequest) {
	f.queue = append(f.queue, r)
	f.next()
}

func (f *fixedSender) next() {
	for len(f.queue) > 0 && f.underWay < gate.DefaultPolicy().Window.Max {
		r := f.queue[0]
		f.queue = f.queue[1:]
		if f.system.sim.now >= r.expires {
			r.done(errNoAnswer)
			continue
		}
		f.underWay++
		f.attempt(r)
	}
}

func (f *fixedSender) attempt(r *ledgerRequest) {
	s := f.system
	s.exchange(func(answered, _ bool) {
		switch {
		case answered:
			f.leave(r, nil)
		case s.sim.now >= r.expires:
			f.leave(r, errNoAnswer)
		default:
			s.sim.after(time.Duration(s.rng.Int64N(int64(retryBackoff))), func() { f.attempt(r) })
		}
	})
}

func (f *fixedSender) leave(r *ledgerRequest, err error) {
	f.underWay--
	r.done(err)
	f.next()
}

// gatedSender sends what its gate lets through.
type gatedSender struct {
	system *ledgerSystem
	gate   *gate.Gate[*ledgerRequest]
}

func newGatedSender(s *ledgerSystem) sender {
	return &gatedSender{system: s, gate: gate.New[*ledgerRequest](gate.DefaultPolicy())}
}

func (g *gatedSender) send(r *ledgerRequest) {
	passed, shed, err := g.gate.Acquire(g.system.sim.now, r.call, r.admission, r)
	if err != nil {
		r.done(err)
		return
	}
	if shed != nil {
		shed.Value.done(g.gate.QueueFullError())
	}
	if passed {
		g.attempt(r, g.system.sim.now)
		return
	}
	g.system.sim.after(r.expires-g.system.sim.now, func() {
		if g.gate.Cancel(r.call.ID) {
			r.done(errNoAnswer)
		}
	})
}

func (g *gatedSender) attempt(r *ledgerRequest, sent time.Duration) {
	s := g.system
	s.exchange(func(answered, busy bool) {
		switch {
		case answered && busy:
			g.leave(r, sent, gate.Overloaded, nil)
		case answered:
			g.leave(r, sent, gate.Answered, nil)
		case s.sim.now >= r.expires:
			g.leave(r, sent, gate.Overloaded, errNoAnswer)
		default:
			s.sim.after(time.Duration(s.rng.Int64N(int64(retryBackoff))), func() { g.attempt(r, sent) })
		}
	})
}

func (g *gatedSender) leave(r *ledgerRequest, sent time.Duration, fate gate.Outcome, err error) {
	now := g.system.sim.now
	next := g.gate.Release(now, now-sent, fate)
	r.done(err)
	for _, item := range next {
		g.attempt(item.Value, now)
	}
}

// ledgerResult is what one way to send requests gave for a load.
type ledgerResult struct {
	load   ledgerLoad
	sender string
	kinds  map[string]*timeliness
}

const gatedName = "window, order, admission"

// measureLedger runs both loads with and without the gate.
func measureLedger(seeds int) []ledgerResult {
	senders := []struct {
		name string
		make func(*ledgerSystem) sender
	}{{"40 requests, order of arrival", newFixedSender}, {gatedName, newGatedSender}}
	var results []ledgerResult
	for _, load := range ledgerLoads() {
		for _, sender := range senders {
			r := ledgerResult{load: load, sender: sender.name, kinds: make(map[string]*timeliness)}
			for seed := range seeds {
				for kind, t := range simulateLedger(load, uint64(seed)+1, sender.make).results {
					if r.kinds[kind] == nil {
						r.kinds[kind] = new(timeliness)
					}
					r.kinds[kind].timely += t.timely
					r.kinds[kind].late += t.late
					r.kinds[kind].failed += t.failed
				}
			}
			results = append(results, r)
		}
	}
	return results
}

func printLedger(w io.Writer, results []ledgerResult) {
	fmt.Fprint(w, "\n### Program ledger under a burst and an election\n\n| deployment | requests to the ledger | programs | in time | late | failed |\n|---|---|---|---|---|---|\n")
	for _, r := range results {
		for _, kind := range r.load.kinds {
			t := r.kinds[kind.name]
			n := float64(t.timely + t.late + t.failed)
			fmt.Fprintf(w, "| %s | %s | %s | %.3f | %.3f | %.3f |\n", r.load.name, r.sender, kind.name,
				float64(t.timely)/n, float64(t.late)/n, float64(t.failed)/n)
		}
	}
}

// checkLedger bounds what the gate gives by the stated target of the grown deployments.
func checkLedger(results []ledgerResult) []check {
	var checks []check
	for _, r := range results {
		if r.sender != gatedName {
			continue
		}
		for _, kind := range r.load.kinds {
			id := fmt.Sprintf("ledger/%s/%s in time", r.load.name, kind.name)
			checks = append(checks, check{id: id, got: r.kinds[kind.name].share(), limit: minTimely})
		}
	}
	return checks
}
