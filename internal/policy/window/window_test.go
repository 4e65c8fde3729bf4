package window

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var policy = Policy{Min: 2, Max: 40, SlowThreshold: 200 * time.Millisecond, DecreaseFactor: 0.5, DecreaseInterval: 100 * time.Millisecond}

func TestWindowShrinksOncePerInterval(t *testing.T) {
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

func TestWindowRecovers(t *testing.T) {
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
	// The window grows by one per round, so that clients that recover together do
	// not overload the server again.
	assert.Assert(t, rounds > 10 && rounds <= policy.Max+policy.Min, "%d rounds", rounds)
}

func TestWindowStaysWithinItsLimits(t *testing.T) {
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

// TestWindowsPreventCongestionCollapse simulates twenty clients that send twice
// what a server can handle. The server spends the same time on each request, also
// on those whose client has timed out. With fixed limits most of its capacity is
// wasted in this way; with windows most of it goes into timely responses.
func TestWindowsPreventCongestionCollapse(t *testing.T) {
	fixed := func() limiter { return fixedLimit(40) }
	adaptive := func() limiter { return New(policy) }
	collapsed, shared := simulateOverload(fixed), simulateOverload(adaptive)
	assert.Assert(t, collapsed < 0.3, "%.2f of the capacity with fixed limits", collapsed)
	assert.Assert(t, shared > 0.8, "%.2f of the capacity with windows", shared)
}

type limiter interface {
	Limit() int
	RecordSuccess(now, latency time.Duration)
	RecordOverload(now time.Duration)
}

type fixedLimit int

func (f fixedLimit) Limit() int                               { return int(f) }
func (fixedLimit) RecordSuccess(time.Duration, time.Duration) {}
func (fixedLimit) RecordOverload(time.Duration)               {}

// simulateOverload returns the share of a server's capacity that goes into
// requests that complete before their client times out.
func simulateOverload(newLimiter func() limiter) float64 {
	const (
		clients = 20
		work    = time.Millisecond       // server time per request
		timeout = 400 * time.Millisecond // after which a client sends the request again
		length  = 20 * time.Second
	)
	type request struct {
		client int
		sent   time.Duration
	}
	limiters := make([]limiter, clients)
	inFlight := make([]int, clients)
	for i := range limiters {
		limiters[i] = newLimiter()
	}
	var queue []request
	answeredInTime := 0
	for now := time.Duration(0); now < length; now += work {
		for i := range limiters {
			// Each client always has another request to send.
			for inFlight[i] < limiters[i].Limit() {
				inFlight[i]++
				queue = append(queue, request{i, now})
			}
		}
		if len(queue) == 0 {
			continue
		}
		r := queue[0]
		queue = queue[1:]
		inFlight[r.client]--
		latency := now + work - r.sent
		if latency > timeout {
			limiters[r.client].RecordOverload(now)
			continue
		}
		answeredInTime++
		limiters[r.client].RecordSuccess(now, latency)
	}
	return float64(answeredInTime) / float64(length/work)
}
