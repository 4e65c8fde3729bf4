package window

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var policy = Policy{Min: 2, Max: 40, SlowThreshold: 200 * time.Millisecond, DecreaseFactor: 0.5, DecreaseInterval: 100 * time.Millisecond}

func TestWindowIsCutOncePerPause(t *testing.T) {
	w := New(policy)
	for range 10 {
		w.RecordOverload(time.Second)
	}
	assert.Equal(t, w.Limit(), 20)
	w.RecordOverload(time.Second + policy.DecreaseInterval)
	assert.Equal(t, w.Limit(), 10)
	assert.Assert(t, w.BelowMax())
}

func TestSlowAnswerCountsAsOverload(t *testing.T) {
	w := New(policy)
	w.RecordSuccess(time.Second, policy.SlowThreshold+1)
	assert.Equal(t, w.Limit(), 20)
}

func TestWindowComesBack(t *testing.T) {
	w := New(policy)
	for i := range 10 {
		w.RecordOverload(time.Duration(i) * time.Second)
	}
	assert.Equal(t, w.Limit(), policy.Min)
	rounds := 0
	for ; w.BelowMax(); rounds++ {
		for range w.Limit() {
			w.RecordSuccess(time.Minute, time.Millisecond)
		}
	}
	// By one a round, so that many clients do not overload the server together again.
	assert.Assert(t, rounds > 10 && rounds <= policy.Max+policy.Min, "%d rounds", rounds)
}

func TestWindowStaysWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := New(policy)
		now := time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 50).Draw(t, "pause")) * time.Millisecond
			if rapid.Bool().Draw(t, "overloaded") {
				w.RecordOverload(now)
			} else {
				w.RecordSuccess(now, time.Duration(rapid.IntRange(0, 400).Draw(t, "took"))*time.Millisecond)
			}
			if w.Limit() < policy.Min || w.Limit() > policy.Max {
				t.Fatalf("limit %d", w.Limit())
			}
		}
	})
}

// TestClientsShareAServerBeyondItsCapacity replays twenty clients that ask twice what
// a server can do, which spends its time on each request that arrives, answered in
// time or not.
func TestClientsShareAServerBeyondItsCapacity(t *testing.T) {
	fixed := func() limiter { return fixedLimit(40) }
	adaptive := func() limiter { return New(policy) }
	collapsed, shared := overload(fixed), overload(adaptive)
	assert.Assert(t, collapsed < 0.3, "%.2f of the capacity with fixed bounds", collapsed)
	assert.Assert(t, shared > 0.8, "%.2f of the capacity with windows", shared)
}

type limiter interface {
	Limit() int
	RecordSuccess(now, took time.Duration)
	RecordOverload(now time.Duration)
}

type fixedLimit int

func (f fixedLimit) Limit() int                               { return int(f) }
func (fixedLimit) RecordSuccess(time.Duration, time.Duration) {}
func (fixedLimit) RecordOverload(time.Duration)               {}

// overload returns the share of a server's capacity that goes into answers in time.
func overload(newLimiter func() limiter) float64 {
	const (
		clients = 20
		work    = time.Millisecond       // of the server on each request
		timeout = 400 * time.Millisecond // after which a client asks again
		length  = 20 * time.Second
	)
	type request struct {
		client int
		sent   time.Duration
	}
	limiters := make([]limiter, clients)
	underWay := make([]int, clients)
	for i := range limiters {
		limiters[i] = newLimiter()
	}
	var queue []request
	timely := 0
	for now := time.Duration(0); now < length; now += work {
		for i := range limiters {
			// Each client has more to ask than its window lets it.
			for underWay[i] < limiters[i].Limit() {
				underWay[i]++
				queue = append(queue, request{i, now})
			}
		}
		if len(queue) == 0 {
			continue
		}
		r := queue[0]
		queue = queue[1:]
		underWay[r.client]--
		took := now + work - r.sent
		if took > timeout {
			limiters[r.client].RecordOverload(now)
			continue
		}
		timely++
		limiters[r.client].RecordSuccess(now, took)
	}
	return float64(timely) / float64(length/work)
}
