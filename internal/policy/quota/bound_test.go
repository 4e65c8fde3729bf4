package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ibistray.example/ibistray/internal/account"
)

// adversary orders, delays, loses and duplicates the messages between entries and allocators.
type adversary struct {
	rng       *rand.Rand
	now       time.Duration
	window    Window
	limit     account.Limit
	limits    []limitChange
	allocator *Allocator
	started   []time.Duration // of allocators
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

func newAdversary(seed uint64) *adversary {
	a := &adversary{rng: rand.New(rand.NewPCG(seed, 0)), now: time.Hour}
	a.window = Window{
		Period: time.Duration(100+a.rng.IntN(4900)) * time.Millisecond, Excess: 0.1 * a.rng.Float64(), Slack: 2 + 20*a.rng.Float64(),
	}
	for range 1 + a.rng.IntN(4) {
		a.entries = append(a.entries, new(Stock))
	}
	a.taken = make([][]time.Duration, len(a.entries))
	a.setLimit()
	a.startAllocator()
	return a
}

func (a *adversary) startAllocator() {
	a.allocator = NewAllocator(a.window, a.now, nil)
	a.started = append(a.started, a.now)
}

func (a *adversary) setLimit() {
	a.limit = account.Limit{
		PerSecond: math.Pow(10, 3*a.rng.Float64()-1), Burst: 50 * a.rng.Float64(),
	}
	a.limits = append(a.limits, limitChange{a.now, a.limit})
}

// step does one thing. Most steps are those by which much is admitted.
func (a *adversary) step() {
	entry := a.rng.IntN(len(a.entries))
	switch op := a.rng.IntN(200); {
	case op < 60:
		a.now += time.Duration(a.rng.IntN(200)) * time.Millisecond
	case op < 66:
		a.now += time.Duration(a.rng.IntN(4000)) * time.Millisecond
	case op < 100:
		a.ask(entry)
	case op < 110:
		a.deliverAsk()
	case op < 130:
		a.deliverGrant()
	case op < 180:
		a.take(entry, 1+a.rng.IntN(50))
	case op < 186:
		a.refund(entry)
	case op < 190:
		a.entries[entry].Lost(a.now)
	case op < 192:
		a.entries[entry], a.taken[entry] = new(Stock), nil
	case op < 193:
		a.startAllocator()
	case op < 194:
		a.changeAllocators()
	case op < 195:
		a.setLimit()
	default:
		a.allocator.Prune(a.now)
	}
}

// changeAllocators has several allocators within a lifetime of permits, each of which is
// asked for as much as it gives.
func (a *adversary) changeAllocators() {
	for range 1 + a.rng.IntN(8) {
		a.startAllocator()
		a.now += time.Duration(a.rng.IntN(600)) * time.Millisecond
		for range 2 {
			a.ask(a.rng.IntN(len(a.entries)))
		}
	}
}

// ask sends an ask, and mostly delivers it with its grant at once.
func (a *adversary) ask(entry int) {
	a.now++ // asks are told apart by their times
	var programs []uint64
	for range a.rng.IntN(3) {
		a.program++
		programs = append(programs, a.program)
	}
	ask := a.entries[entry].Ask(a.now, a.rng.IntN(60), programs)
	ask.Entry = fmt.Sprint(entry)
	a.asks = append(a.asks, askMessage{entry, a.entries[entry], a.now, ask})
	if a.rng.IntN(4) > 0 {
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
	i := a.rng.IntN(len(a.asks))
	a.respond(a.asks[i])
	if a.rng.IntN(2) > 0 {
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
	i := a.rng.IntN(len(a.grants))
	a.receive(a.grants[i])
	if a.rng.IntN(2) > 0 {
		a.grants = append(a.grants[:i], a.grants[i+1:]...)
	}
}

// receive records a grant. Its programs begin unless it is late or came before.
func (a *adversary) receive(m grantMessage) {
	if a.entries[m.entry] != m.stock {
		return
	}
	known := slices.Contains(m.stock.inFlight, m.askedAt)
	m.stock.Add(a.now, m.askedAt, m.grant)
	for _, admitted := range m.grant.Admitted {
		if admitted && known && Valid(a.now, m.askedAt) {
			a.admit(m.entry)
		}
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
	i := a.rng.IntN(len(a.taken[entry]))
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
// within it or when permits were granted that are valid in it. If no permits of earlier
// allocators were valid at its start, half of the tolerance is enough.
func (a *adversary) allowed(start time.Duration) float64 {
	var highest account.Limit
	for i, c := range a.limits {
		ended := i+1 < len(a.limits) && a.limits[i+1].at < start-PermitLifetime
		if c.at <= start+a.window.Period && !ended {
			highest.PerSecond, highest.Burst = max(highest.PerSecond, c.limit.PerSecond), max(highest.Burst, c.limit.Burst)
		}
	}
	rate := highest.PerSecond * a.window.Period.Seconds()
	tolerance := a.window.Excess*(rate+highest.Burst) + a.window.Slack
	for _, started := range a.started {
		if started <= start && start <= started+PermitLifetime {
			return rate + highest.Burst + tolerance
		}
	}
	return rate + highest.Burst + tolerance/2
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
		first := rapid.Uint64().Draw(t, "seed")
		for seed := first; seed < first+20; seed++ {
			a := newAdversary(seed)
			for range 400 {
				a.step()
			}
			if err := a.check(); err != nil {
				t.Fatalf("seed %d: %s", seed, err)
			}
		}
	})
}
