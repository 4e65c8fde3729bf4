package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// simulation plays entries that send to one limited server in virtual time. Each entry asks
// when it has a request and its last ask is not denied any more.
type simulation struct {
	allocator *Allocator
	rng       *rand.Rand
	now       time.Duration
	waiting   []int           // requests by entry
	deniedTo  []time.Duration // by entry
	sent      []time.Duration // times at which requests were sent
	bySender  []int
}

const step = 5 * time.Millisecond

func newSimulation(entries int, seed uint64) *simulation {
	return &simulation{
		allocator: NewAllocator(), rng: rand.New(rand.NewPCG(seed, 0)),
		waiting: make([]int, entries), deniedTo: make([]time.Duration, entries), bySender: make([]int, entries),
	}
}

// run plays a period in which requests arrive at each entry at the given rates, in requests a
// second, and the server has a limit.
func (s *simulation) run(period time.Duration, limit float64, demand func(entry int) float64) {
	for end := s.now + period; s.now < end; s.now += step {
		for entry := range s.waiting {
			if s.rng.Float64() < demand(entry)*step.Seconds() {
				s.waiting[entry] = min(s.waiting[entry]+1, 20)
			}
		}
		for _, entry := range s.rng.Perm(len(s.waiting)) {
			s.ask(entry, limit)
		}
	}
}

func (s *simulation) ask(entry int, limit float64) {
	if s.waiting[entry] == 0 || s.now < s.deniedTo[entry] {
		return
	}
	result := s.allocator.Ask(s.now, "s", Ask{Entry: fmt.Sprint(entry), Rate: limit, Wanted: s.waiting[entry]})
	s.deniedTo[entry] = s.now + result.Retry
	for range result.Permits {
		s.waiting[entry]--
		s.bySender[entry]++
		s.sent = append(s.sent, s.now)
	}
}

// most returns the highest number of requests within a window.
func most(sent []time.Duration, window time.Duration) int {
	best, first := 0, 0
	for last := range sent {
		for sent[last]-sent[first] >= window {
			first++
		}
		best = max(best, last-first+1)
	}
	return best
}

const window = 4 * time.Second

// allowed returns the number of requests within window that a limit allows, with what unused
// permits keep.
func allowed(limit float64) int {
	return int(limit*window.Seconds() + max(1, limit*burstPeriod.Seconds()) + 1)
}

// TestLimitIsASumOverEntries has a server whose limit is smaller than the number of entries
// that send to it, and one whose limit is larger.
func TestLimitIsASumOverEntries(t *testing.T) {
	for _, entries := range []int{3, 8, 62, 200} {
		for _, limit := range []float64{0, 0.5, 4, 40} {
			t.Run(fmt.Sprintf("%d entries, %g a second", entries, limit), func(t *testing.T) {
				s := newSimulation(entries, 1)
				const period = 20 * time.Second
				s.run(period, limit, func(int) float64 { return 3 * max(limit, 1) / float64(entries) })
				assert.Assert(t, most(s.sent, window) <= allowed(max(limit, probeRate)), "%d in %s", most(s.sent, window), window)
				assert.Assert(t, float64(len(s.sent)) >= 0.95*limit*period.Seconds()-1, "%d sent in %s", len(s.sent), period)
			})
		}
	}
}

// TestLimitHoldsWhileItChanges lowers, raises and withdraws a limit again and again.
func TestLimitHoldsWhileItChanges(t *testing.T) {
	s := newSimulation(62, 2)
	highest := 0.0
	for i := range 40 {
		limit := []float64{8, 2, 0.5, 6, 1}[i%5]
		highest = max(highest, limit)
		s.run(700*time.Millisecond, limit, func(int) float64 { return 1 })
	}
	assert.Assert(t, most(s.sent, window) <= allowed(highest))
	lowered := s.now
	s.run(10*time.Second, 1, func(int) float64 { return 1 })
	var after []time.Duration
	for _, at := range s.sent {
		if at >= lowered+burstPeriod {
			after = append(after, at)
		}
	}
	assert.Assert(t, most(after, window) <= allowed(1), "%d", most(after, window))
}

// TestShareFollowsDemand has one busy entry among many that send nothing, and later two busy
// ones.
func TestShareFollowsDemand(t *testing.T) {
	s := newSimulation(62, 3)
	busy := 1
	demand := func(entry int) float64 {
		if entry < busy {
			return 20
		}
		return 0
	}
	s.run(10*time.Second, 4, demand)
	assert.Assert(t, s.bySender[0] >= 38, "%d of 40", s.bySender[0])
	busy = 2
	first := s.bySender[0]
	s.run(10*time.Second, 4, demand)
	assert.Assert(t, s.bySender[0]-first >= 10 && s.bySender[1] >= 10, "%d and %d of 40", s.bySender[0]-first, s.bySender[1])
}

// TestNewAllocatorHasNoPermits has a leader that takes over from another one, which may have
// given out all permits a moment before.
func TestNewAllocatorHasNoPermits(t *testing.T) {
	for _, limit := range []float64{1, 4, 100} {
		a := NewAllocator()
		assert.Equal(t, a.Ask(time.Hour, "s", Ask{Entry: "e", Rate: limit, Wanted: 1}).Permits, 0)
	}
}

func TestRunningProgramsComeFirst(t *testing.T) {
	a := NewAllocator()
	ask := func(now time.Duration, newProgram bool) Result {
		return a.Ask(now, "s", Ask{Entry: "e", Rate: 8, Wanted: 1, NewProgram: newProgram})
	}
	ask(0, false)
	assert.Equal(t, ask(250*time.Millisecond, true).Permits, 0)
	assert.Equal(t, ask(250*time.Millisecond, false).Permits, 1)
	assert.Equal(t, ask(time.Second, true).Permits, 1)
}

func TestReturnedPermitsAreGivenOutAgain(t *testing.T) {
	a := NewAllocator()
	a.Ask(0, "s", Ask{Entry: "e", Rate: 20, Wanted: 1})
	assert.Equal(t, a.Ask(500*time.Millisecond, "s", Ask{Entry: "e", Rate: 20, Wanted: 10}).Permits, 10)
	assert.Equal(t, a.Ask(500*time.Millisecond, "s", Ask{Entry: "e", Rate: 20, Wanted: 10}).Permits, 0)
	assert.Equal(t, a.Ask(500*time.Millisecond, "s", Ask{Entry: "e", Rate: 20, Wanted: 4, Returned: 4}).Permits, 4)
}

func TestRefusedAtOnceWhenThePermitComesTooLate(t *testing.T) {
	cases := []struct {
		name string
		in   Waiting
		wait bool
	}{
		{"first of a running program", Waiting{Timeout: 4 * time.Second, Share: 4}, true},
		{"behind a short backlog", Waiting{Timeout: 4 * time.Second, Share: 4, Ahead: 4}, true},
		{"behind a long backlog", Waiting{Timeout: 4 * time.Second, Share: 4, Ahead: 8}, false},
		{"new program behind a short backlog", Waiting{Timeout: 4 * time.Second, Share: 4, Ahead: 4, NewProgram: true}, false},
		{"new program, permit soon", Waiting{Timeout: 4 * time.Second, Share: 4, NewProgram: true}, true},
		{"unknown rate", Waiting{Timeout: 4 * time.Second}, true},
		{"waited long", Waiting{Timeout: 4 * time.Second, Share: 4, Waited: 2 * time.Second}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			decision := Decide(tc.in)
			assert.Equal(t, decision.Wait, tc.wait)
			if !tc.wait {
				assert.Assert(t, decision.RetryAfter >= minRetryAfter && decision.RetryAfter <= maxRetryAfter)
			}
		})
	}
}

// TestAllocatorNeverExceedsTheLimit asks in arbitrary patterns, with limits that change.
func TestAllocatorNeverExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewAllocator()
		now, bound := time.Duration(0), 0.0
		given, returned := 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "asks") {
			elapsed := time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			now += elapsed
			rate := rapid.Float64Range(0, 50).Draw(t, "rate")
			back := rapid.IntRange(0, given-returned).Draw(t, "returned")
			returned += back
			bound += 50 * elapsed.Seconds()
			result := a.Ask(now, "s", Ask{
				Entry: fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "entry")), Rate: rate, Returned: back,
				Wanted: rapid.IntRange(0, 30).Draw(t, "wanted"), NewProgram: rapid.Bool().Draw(t, "new"),
			})
			given += result.Permits
			if result.Permits == 0 && (result.Retry < minRetry || result.Retry > maxRetry) {
				t.Fatalf("retry after %s", result.Retry)
			}
			if float64(given-returned) > bound+1 {
				t.Fatalf("%d permits given, %d returned, at most %g allowed", given, returned, bound)
			}
		}
	})
}
