package orders

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var limits = Limits{BytesPerSecond: 100, BurstBytes: 1000, MaxConcurrent: 2}

func startedOrders(plan Plan) string {
	s := ""
	for _, order := range plan.Start {
		s += order.Server + fmt.Sprint(order.FencingToken) + " "
	}
	return s
}

func load(server string, fencingToken uint64, bytes int64) Order {
	return Order{Server: server, FencingToken: fencingToken, ReadsWeights: true, Bytes: bytes}
}

func TestNext(t *testing.T) {
	urgent := load("c", 1, 400)
	urgent.Priority = 5
	tests := []struct {
		name    string
		pending []Order
		limiter Limiter
		want    string
		wait    time.Duration
	}{
		{"concurrency", []Order{load("a", 1, 100), load("b", 1, 100), load("c", 1, 100)}, Limiter{Level: 1000}, "a1 b1 ", 0},
		{"rate", []Order{load("a", 1, 800), load("b", 1, 600)}, Limiter{Level: 1000}, "a1 ", 4 * time.Second},
		{"larger than the burst", []Order{load("a", 1, 5000)}, Limiter{Level: 1000}, "a1 ", 0},
		{"superseded", []Order{load("a", 3, 100), load("a", 2, 100)}, Limiter{Level: 1000}, "a3 ", 0},
		{"priority first", []Order{load("a", 1, 800), urgent}, Limiter{Level: 1000}, "c1 ", 2 * time.Second},
		{"no small order overtakes", []Order{load("a", 1, 800), load("b", 1, 10)}, Limiter{Level: 500}, "", 3 * time.Second},
		{"no weights", []Order{load("a", 1, 800), {Server: "b", FencingToken: 1}}, Limiter{}, "b1 ", 8 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			plan := Next(test.pending, test.limiter, limits, 0)
			assert.Equal(t, startedOrders(plan), test.want)
			assert.Equal(t, plan.Wait, test.wait)
		})
	}
}

// TestLimiterRateIsNeverExceeded checks that the bytes of the started orders never
// exceed what the rate and the burst allow by more than one order.
func TestLimiterRateIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limiter := NewLimiter(limits, 0)
		now := time.Duration(0)
		var bytes, largest int64
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			order := load(fmt.Sprint(i), 1, rapid.Int64Range(1, 2000).Draw(t, "bytes"))
			plan := Next([]Order{order}, limiter, limits, now)
			limiter = plan.Limiter
			assert.Assert(t, limiter.Running <= limits.MaxConcurrent)
			for _, started := range plan.Start {
				bytes += started.Bytes
				largest = max(largest, started.Bytes)
			}
			allowed := now.Seconds()*limits.BytesPerSecond + float64(limits.BurstBytes+largest)
			assert.Assert(t, float64(bytes) <= allowed+1)
			if rapid.Bool().Draw(t, "end") {
				limiter = limiter.LoadEnded()
			}
		}
	})
}

func TestIdleLimiterSavesNoMoreThanTheBurst(t *testing.T) {
	limiter := NewLimiter(limits, 0).Refill(limits, time.Hour)
	assert.Equal(t, limiter.Level, float64(limits.BurstBytes))
}

func TestFence(t *testing.T) {
	fence, err := Fence{}.Check(5)
	assert.NilError(t, err)
	_, err = fence.Check(5)
	assert.NilError(t, err)
	fence, err = fence.Check(4)
	assert.ErrorIs(t, err, ErrFenced)
	assert.Equal(t, fence.Highest, uint64(5))
}

func TestMayIssue(t *testing.T) {
	assert.Assert(t, MayIssue(true, 10, 0))
	assert.Assert(t, !MayIssue(false, 10, 9))
	assert.Assert(t, MayIssue(false, 10, 10))
}
