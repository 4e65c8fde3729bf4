package quota

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ibistray.example/ibistray/internal/account"
)

// adversary orders, delays, loses and duplicates the messages between entries and allocators.
type adversary struct {
	t         *rapid.T
	now       time.Duration
	window    Window
	limit     account.Limit
	limits    []limitChange
	allocator *Allocator
	entries   []*Stock
	asks      []askMessage
	grants    []grantMessage
	admitted  []time.Duration
	taken     [][]time.Duration // by entry, requests that can be refunded
	program   uint64
}

type limitChange struct {
	at    time.Duration
	limit account.Limit
}

type askMessage struct {
	entry   int
	stock   *Stock
	askedAt time.Duration
	ask     Ask
}

type grantMessage struct {
	askMessage
	grant Grant
}

func newAdversary(t *rapid.T) *adversary {
	a := &adversary{t: t, now: time.Hour}
	a.window = Window{
		Period: time.Duration(rapid.IntRange(500, 5000).Draw(t, "window")) * time.Millisecond,
		Excess: rapid.Float64Range(0, 0.3).Draw(t, "excess"), Slack: rapid.Float64Range(0, 30).Draw(t, "slack"),
	}
	n := rapid.IntRange(1, 4).Draw(t, "entries")
	a.taken = make([][]time.Duration, n)
	for range n {
		a.entries = append(a.entries, new(Stock))
	}
	a.setLimit()
	a.allocator = NewAllocator(a.window, a.now)
	return a
}

func (a *adversary) setLimit() {
	a.limit = account.Limit{
		PerSecond: rapid.Float64Range(0.1, 100).Draw(a.t, "rate"), Burst: rapid.Float64Range(0, 50).Draw(a.t, "burst"),
	}
	a.limits = append(a.limits, limitChange{a.now, a.limit})
}

// step does one thing. Most steps are those by which much is admitted.
func (a *adversary) step() {
	entry := rapid.IntRange(0, len(a.entries)-1).Draw(a.t, "entry")
	switch op := rapid.IntRange(0, 30).Draw(a.t, "step"); {
	case op < 6:
		a.now += time.Duration(rapid.IntRange(0, 100).Draw(a.t, "ms")) * time.Millisecond
	case op < 8:
		a.now += time.Duration(rapid.IntRange(0, 2500).Draw(a.t, "ms")) * time.Millisecond
	case op < 14:
		a.ask(entry)
	case op < 18:
		a.deliverAsk()
	case op < 22:
		a.deliverGrant()
	case op < 26:
		a.take(entry, rapid.IntRange(1, 50).Draw(a.t, "takes"))
	case op < 27:
		a.refund(entry)
	case op < 28:
		a.entries[entry].Lost(a.now)
	case op < 29:
		a.entries[entry], a.taken[entry] = new(Stock), nil
	case op < 30:
		a.allocator = NewAllocator(a.window, a.now)
	default:
		a.setLimit()
		a.allocator.Prune(a.now)
	}
}

// ask sends an ask, and often delivers it with its grant at once.
func (a *adversary) ask(entry int) {
	var programs []uint64
	for range rapid.IntRange(0, 2).Draw(a.t, "programs") {
		a.program++
		programs = append(programs, a.program)
	}
	ask := a.entries[entry].Ask(a.now, rapid.IntRange(0, 60).Draw(a.t, "waiting"), programs)
	ask.Entry = fmt.Sprint(entry)
	a.asks = append(a.asks, askMessage{entry, a.entries[entry], a.now, ask})
	if rapid.Bool().Draw(a.t, "at once") {
		a.respond(a.asks[len(a.asks)-1])
		a.asks = a.asks[:len(a.asks)-1]
		a.receive(a.grants[len(a.grants)-1])
		a.grants = a.grants[:len(a.grants)-1]
	}
}

// deliverAsk delivers any ask, which may arrive again later.
func (a *adversary) deliverAsk() {
	if len(a.asks) == 0 {
		return
	}
	i := rapid.IntRange(0, len(a.asks)-1).Draw(a.t, "ask")
	a.respond(a.asks[i])
	if rapid.Bool().Draw(a.t, "once") {
		a.asks = append(a.asks[:i], a.asks[i+1:]...)
	}
}

func (a *adversary) respond(m askMessage) {
	a.grants = append(a.grants, grantMessage{m, a.allocator.Ask(a.now, "a", a.limit, m.ask)})
}

// deliverGrant delivers any grant, which may arrive again later.
func (a *adversary) deliverGrant() {
	if len(a.grants) == 0 {
		return
	}
	i := rapid.IntRange(0, len(a.grants)-1).Draw(a.t, "grant")
	a.receive(a.grants[i])
	if rapid.Bool().Draw(a.t, "once") {
		a.grants = append(a.grants[:i], a.grants[i+1:]...)
	}
}

// receive records a grant. Its programs begin unless it is late or came before.
func (a *adversary) receive(m grantMessage) {
	if a.entries[m.entry] != m.stock {
		return
	}
	before := m.stock.used
	m.stock.Add(a.now, m.askedAt, m.grant)
	if m.grant.Session != m.stock.session || !Valid(a.now, m.askedAt) {
		return
	}
	for range m.stock.used - min(before, m.stock.used) {
		a.admit(m.entry)
	}
}

func (a *adversary) take(entry, count int) {
	for range count {
		if !a.entries[entry].Take(a.now, false) {
			return
		}
		a.admit(entry)
	}
}

func (a *adversary) admit(entry int) {
	a.admitted = append(a.admitted, a.now)
	a.taken[entry] = append(a.taken[entry], a.now)
}

// refund takes back any request that was admitted: it counts no longer.
func (a *adversary) refund(entry int) {
	if len(a.taken[entry]) == 0 {
		return
	}
	i := rapid.IntRange(0, len(a.taken[entry])-1).Draw(a.t, "refund")
	at := a.taken[entry][i]
	a.taken[entry] = append(a.taken[entry][:i], a.taken[entry][i+1:]...)
	for j, admitted := range a.admitted {
		if admitted == at {
			a.admitted = append(a.admitted[:j], a.admitted[j+1:]...)
			break
		}
	}
	a.entries[entry].Refund(at)
}

// allowed returns the bound of a window from a time on, by the highest limits that applied
// within it or when permits were granted that are valid in it.
func (a *adversary) allowed(start time.Duration) float64 {
	var highest account.Limit
	for i, c := range a.limits {
		ended := i+1 < len(a.limits) && a.limits[i+1].at < start-PermitLifetime
		if c.at <= start+a.window.Period && !ended {
			highest.PerSecond, highest.Burst = max(highest.PerSecond, c.limit.PerSecond), max(highest.Burst, c.limit.Burst)
		}
	}
	return highest.PerSecond*a.window.Period.Seconds() + highest.Burst + a.window.tolerance(highest)
}

// check returns an error if a window holds too many requests.
func (a *adversary) check() error {
	first := 0
	for last, at := range a.admitted {
		for at-a.admitted[first] >= a.window.Period {
			first++
		}
		if n := float64(last - first + 1); n > a.allowed(a.admitted[first])+1e-6 {
			return fmt.Errorf("%g requests within %s before %s, %g are allowed", n, a.window.Period, at, a.allowed(a.admitted[first]))
		}
	}
	return nil
}

// TestNoWindowExceedsTheLimit has messages lost, late, duplicated and out of order, entries
// that freeze, vanish and return without what they knew, leaders that change and limits too.
func TestNoWindowExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newAdversary(t)
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			a.step()
		}
		if err := a.check(); err != nil {
			t.Fatal(err)
		}
	})
}
