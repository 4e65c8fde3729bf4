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

// ledgerLoad is the load of a deployment on the leader of its program ledger. A
// program runs its turns one after the other. A turn consists of a request that begins
// it, time at an engine, and a request that settles it.
type ledgerLoad struct {
	name         string
	entries      int
	requestCost  time.Duration // processor time of a request at the leader
	kinds        []ledgerProgramKind
	burstFactor  float64       // multiplies the arrival rates between burstFrom and burstTo
	electionTime time.Duration // time without a leader from electionAt on
}

// ledgerProgramKind describes the programs of one kind.
type ledgerProgramKind struct {
	name        string
	arrivalRate float64 // programs per second
	turns       int
	priority    int     // of the route, 0 is the most urgent
	maxSlowdown float64 // run time of a program in time, at most, relative to its ideal time
}

const (
	engineTime       = 350 * time.Millisecond // of a turn
	turnPause        = 150 * time.Millisecond // for tools between two turns
	ledgerArrivalEnd = 30 * time.Second       // no program starts later
	burstFrom        = 2 * time.Second
	burstTo          = 8 * time.Second
	electionAt       = 5 * time.Second

	exchangeTimeout  = 600 * time.Millisecond  // of one request to the leader
	beginTimeout     = 1700 * time.Millisecond // of the begin of a turn, resends included
	settleTimeout    = 4 * time.Second         // of the settlement of a turn, resends included
	leaderQueueLimit = 384                     // requests that wait at the leader; it refuses more
	refusalCostRatio = 0.3                     // processor time of a refusal, relative to a request
	maxRetryJitter   = 400 * time.Millisecond
	busyQueueDelay   = 12500 * time.Microsecond // the leader reports that it is busy above this
	maxBeginAttempts = 6                        // for a turn, the first included
	minOnTimeShare   = 0.65                     // of the programs of a kind
)

// ledgerLoads returns the peak loads of the two deployments after they have grown. A
// request takes 0.15 ms of a core, a value between the results of BenchmarkLedger in
// internal/statehost (0.07 to 0.2 ms) and those of runs of the whole system. The leaders
// run on hosts with 0.48 and 0.27 cores.
func ledgerLoads() []ledgerLoad {
	return []ledgerLoad{
		{
			name: "hoses", entries: 25, requestCost: 312 * time.Microsecond, burstFactor: 2.4, electionTime: 500 * time.Millisecond,
			kinds: []ledgerProgramKind{{"diagnosis", 87.2, 3, 1, 2.7}, {"quote", 25.5, 9, 0, 2.7}},
		},
		{
			name: "wharf", entries: 21, requestCost: 551 * time.Microsecond, burstFactor: 2.4, electionTime: 500 * time.Millisecond,
			kinds: []ledgerProgramKind{{"berth plan", 87.4, 4, 1, 2.4}, {"shipping", 32.5, 9, 0, 2.2}},
		},
	}
}

// ledgerSystem simulates one load with one kind of sender.
type ledgerSystem struct {
	sim          *simulator
	load         ledgerLoad
	rng          *rand.Rand
	entries      []sender
	leaderIdleAt time.Duration             // when the leader has served the requests in its queue
	results      map[string]*outcomeCounts // by the name of the kind
}

// outcomeCounts counts the programs of a kind by their outcome.
type outcomeCounts struct{ onTime, late, failed int }

func (c *outcomeCounts) onTimeShare() float64 {
	return float64(c.onTime) / float64(max(1, c.onTime+c.late+c.failed))
}

// sender is the part of an entry that sends requests to the leader.
type sender interface {
	// send sends r, and resends it until it is served or its deadline has passed,
	// or refuses it. It calls r.done exactly once.
	send(r *ledgerRequest)
}

// ledgerRequest is a request to the program ledger.
type ledgerRequest struct {
	call      order.Call
	admission *admit.Request // only for the begin of a turn
	deadline  time.Duration
	done      func(err error)
}

// errNotServed means that the deadline of a request passed before it was served.
var errNotServed = errors.New("not served by the program ledger before the deadline")

// simulateLedger simulates a load until ledgerArrivalEnd and the same time again for
// the programs that still run then.
func simulateLedger(load ledgerLoad, seed uint64, newSender func(*ledgerSystem) sender) *ledgerSystem {
	s := &ledgerSystem{sim: &simulator{}, load: load, rng: rand.New(rand.NewPCG(seed, 2)), results: make(map[string]*outcomeCounts)}
	for range load.entries {
		s.entries = append(s.entries, newSender(s))
	}
	for i := range load.kinds {
		s.scheduleArrivals(&load.kinds[i])
	}
	s.sim.runUntil(2 * ledgerArrivalEnd)
	return s
}

// scheduleArrivals schedules the starts of the programs of a kind as a Poisson
// process, with a higher rate during the burst.
func (s *ledgerSystem) scheduleArrivals(kind *ledgerProgramKind) {
	s.results[kind.name] = new(outcomeCounts)
	arrival := time.Duration(0)
	for n := 0; ; n++ {
		rate := kind.arrivalRate
		if arrival >= burstFrom && arrival < burstTo {
			rate *= s.load.burstFactor
		}
		arrival += toDuration(s.rng.ExpFloat64() / rate)
		if arrival >= ledgerArrivalEnd {
			return
		}
		id := fmt.Sprintf("%s %d", kind.name, n)
		entry := s.entries[s.rng.IntN(len(s.entries))]
		s.sim.after(arrival, func() {
			p := &ledgerProgram{system: s, kind: kind, id: id, entry: entry, startedAt: s.sim.now}
			p.beginTurn(1)
		})
	}
}

// ledgerProgram is a running program.
type ledgerProgram struct {
	system    *ledgerSystem
	kind      *ledgerProgramKind
	id        string
	entry     sender
	startedAt time.Duration
	turn      int // turns settled so far
}

// beginTurn sends the request that begins the next turn. attempt counts from 1.
func (p *ledgerProgram) beginTurn(attempt int) {
	s := p.system
	priority := gate.BeginPriority(p.kind.priority, p.turn == 0)
	p.entry.send(&ledgerRequest{
		call:      order.Call{ID: fmt.Sprintf("begin %s %d %d", p.id, p.turn, attempt), Program: p.id, Priority: priority},
		admission: &admit.Request{Priority: priority, NewProgram: p.turn == 0},
		deadline:  s.sim.now + beginTimeout,
		done: func(err error) {
			if err == nil {
				s.sim.after(engineTime, p.settleTurn)
				return
			}
			if attempt == maxBeginAttempts {
				s.results[p.kind.name].failed++
				return
			}
			delay := 200 * time.Millisecond
			var overload *gate.OverloadError
			if errors.As(err, &overload) {
				delay = overload.RetryAfter
			}
			s.sim.after(delay+time.Duration(s.rng.Int64N(int64(maxRetryJitter))), func() { p.beginTurn(attempt + 1) })
		},
	})
}

// settleTurn sends the request that settles the current turn and continues with the
// next turn.
func (p *ledgerProgram) settleTurn() {
	s := p.system
	p.entry.send(&ledgerRequest{
		call:     order.Call{ID: fmt.Sprintf("settle %s %d", p.id, p.turn), Program: p.id, Priority: gate.PrioritySettle},
		deadline: s.sim.now + settleTimeout,
		done: func(err error) {
			p.turn++
			switch {
			case err != nil:
				s.results[p.kind.name].failed++
			case p.turn < p.kind.turns:
				s.sim.after(turnPause, func() { p.beginTurn(1) })
			default:
				p.finish()
			}
		},
	})
}

// finish counts the program as in time or late.
func (p *ledgerProgram) finish() {
	s := p.system
	idealTime := time.Duration(p.kind.turns)*engineTime + time.Duration(p.kind.turns-1)*turnPause
	if s.sim.now-p.startedAt <= time.Duration(p.kind.maxSlowdown*float64(idealTime)) {
		s.results[p.kind.name].onTime++
	} else {
		s.results[p.kind.name].late++
	}
}

// exchange sends one request to the leader and calls done with whether it was served
// within exchangeTimeout and whether the leader was busy. The leader serves requests in
// the order of arrival, including those whose sender has already given up.
func (s *ledgerSystem) exchange(done func(served, busy bool)) {
	now := s.sim.now
	if now >= electionAt && now < electionAt+s.load.electionTime {
		s.leaderIdleAt = electionAt + s.load.electionTime
		s.sim.after(exchangeTimeout, func() { done(false, false) })
		return
	}
	queueDelay := max(0, s.leaderIdleAt-now)
	if queueDelay > leaderQueueLimit*s.load.requestCost {
		s.leaderIdleAt = max(s.leaderIdleAt, now) + time.Duration(refusalCostRatio*float64(s.load.requestCost))
		s.sim.after(min(s.leaderIdleAt-now, exchangeTimeout), func() { done(false, true) })
		return
	}
	s.leaderIdleAt = max(s.leaderIdleAt, now) + s.load.requestCost
	responseTime := s.leaderIdleAt - now
	s.sim.after(min(responseTime, exchangeTimeout), func() { done(responseTime <= exchangeTimeout, queueDelay > busyQueueDelay) })
}

// fixedSender sends requests in the order of arrival with a fixed limit on the
// requests in flight.
type fixedSender struct {
	system   *ledgerSystem
	inFlight int
	queue    []*ledgerRequest
}

func newFixedSender(s *ledgerSystem) sender { return &fixedSender{system: s} }

func (f *fixedSender) send(r *ledgerRequest) {
	f.queue = append(f.queue, r)
	f.sendQueued()
}

// sendQueued sends queued requests while the limit allows it.
func (f *fixedSender) sendQueued() {
	for len(f.queue) > 0 && f.inFlight < gate.DefaultPolicy().Window.Max {
		r := f.queue[0]
		f.queue = f.queue[1:]
		if f.system.sim.now >= r.deadline {
			r.done(errNotServed)
			continue
		}
		f.inFlight++
		f.attempt(r)
	}
}

// attempt sends r once, and again after a random delay if it is not served.
func (f *fixedSender) attempt(r *ledgerRequest) {
	s := f.system
	s.exchange(func(served, _ bool) {
		switch {
		case served:
			f.finish(r, nil)
		case s.sim.now >= r.deadline:
			f.finish(r, errNotServed)
		default:
			s.sim.after(time.Duration(s.rng.Int64N(int64(maxRetryJitter))), func() { f.attempt(r) })
		}
	})
}

// finish completes r with err and sends the next queued request.
func (f *fixedSender) finish(r *ledgerRequest, err error) {
	f.inFlight--
	r.done(err)
	f.sendQueued()
}

// gatedSender sends the requests that its gate admits, in the gate's order.
type gatedSender struct {
	system *ledgerSystem
	gate   *gate.Gate[*ledgerRequest]
}

func newGatedSender(s *ledgerSystem) sender {
	return &gatedSender{system: s, gate: gate.New[*ledgerRequest](gate.DefaultPolicy())}
}

func (g *gatedSender) send(r *ledgerRequest) {
	admitted, shed, err := g.gate.Acquire(g.system.sim.now, r.call, r.admission, r)
	if err != nil {
		r.done(err)
		return
	}
	if shed != nil {
		shed.Value.done(g.gate.QueueFullError())
	}
	if admitted {
		g.attempt(r, g.system.sim.now)
		return
	}
	g.system.sim.after(r.deadline-g.system.sim.now, func() {
		if g.gate.Cancel(r.call.ID) {
			r.done(errNotServed)
		}
	})
}

// attempt sends r once, and again after a random delay if it is not served. sentAt is
// the time of the first attempt.
func (g *gatedSender) attempt(r *ledgerRequest, sentAt time.Duration) {
	s := g.system
	s.exchange(func(served, busy bool) {
		switch {
		case served && busy:
			g.finish(r, sentAt, gate.Overloaded, nil)
		case served:
			g.finish(r, sentAt, gate.Responded, nil)
		case s.sim.now >= r.deadline:
			g.finish(r, sentAt, gate.Overloaded, errNotServed)
		default:
			s.sim.after(time.Duration(s.rng.Int64N(int64(maxRetryJitter))), func() { g.attempt(r, sentAt) })
		}
	})
}

// finish completes r with err, reports the outcome to the gate and sends the requests
// that the gate admits next.
func (g *gatedSender) finish(r *ledgerRequest, sentAt time.Duration, outcome gate.Outcome, err error) {
	now := g.system.sim.now
	admitted := g.gate.Release(now, now-sentAt, outcome)
	r.done(err)
	for _, item := range admitted {
		g.attempt(item.Value, now)
	}
}

// ledgerResult holds the outcomes of a load with one kind of sender, over all seeds.
type ledgerResult struct {
	load       ledgerLoad
	senderName string
	outcomes   map[string]*outcomeCounts // by the name of the kind
}

// gatedSenderName is the name of gatedSender in the table.
const gatedSenderName = "window, order, admission"

// measureLedger simulates both loads with a fixed sender and with a gated one.
func measureLedger(seeds int) []ledgerResult {
	senders := []struct {
		name      string
		newSender func(*ledgerSystem) sender
	}{{"40 requests, order of arrival", newFixedSender}, {gatedSenderName, newGatedSender}}
	var results []ledgerResult
	for _, load := range ledgerLoads() {
		for _, s := range senders {
			r := ledgerResult{load: load, senderName: s.name, outcomes: make(map[string]*outcomeCounts)}
			for seed := range seeds {
				for kind, counts := range simulateLedger(load, uint64(seed)+1, s.newSender).results {
					if r.outcomes[kind] == nil {
						r.outcomes[kind] = new(outcomeCounts)
					}
					r.outcomes[kind].onTime += counts.onTime
					r.outcomes[kind].late += counts.late
					r.outcomes[kind].failed += counts.failed
				}
			}
			results = append(results, r)
		}
	}
	return results
}

// printLedger prints the shares of programs in time, late and failed.
func printLedger(w io.Writer, results []ledgerResult) {
	fmt.Fprint(w, "\n### Program ledger under a burst and an election\n\n| deployment | requests to the ledger | programs | in time | late | failed |\n|---|---|---|---|---|---|\n")
	for _, r := range results {
		for _, kind := range r.load.kinds {
			counts := r.outcomes[kind.name]
			total := float64(counts.onTime + counts.late + counts.failed)
			fmt.Fprintf(w, "| %s | %s | %s | %.3f | %.3f | %.3f |\n", r.load.name, r.senderName, kind.name,
				float64(counts.onTime)/total, float64(counts.late)/total, float64(counts.failed)/total)
		}
	}
}

// checkLedger returns the bounds on the share of programs in time with the gated
// sender. minOnTimeShare is the stated target of the grown deployments.
func checkLedger(results []ledgerResult) []check {
	var checks []check
	for _, r := range results {
		if r.senderName != gatedSenderName {
			continue
		}
		for _, kind := range r.load.kinds {
			id := fmt.Sprintf("ledger/%s/%s in time", r.load.name, kind.name)
			checks = append(checks, check{id: id, measured: r.outcomes[kind.name].onTimeShare(), limit: minOnTimeShare})
		}
	}
	return checks
}
