package orders

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var limits = Limits{BytesPerSecond: 100, BurstBytes: 1000, MaxConcurrent: 2}

func names(plan Plan) string {
	s := ""
	for _, order := range plan.Start {
		s += order.Server + fmt.Sprint(order.Fencing) + " "
	}
	return s
}

func load(server string, fencing uint64, bytes int64) Order {
	return Order{Server: server, Fencing: fencing, ReadsWeight: true, Bytes: bytes}
}

func TestNext(t *testing.T) {
	urgent := load("c", 1, 400)
	urgent.Priority = 5
	tests := []struct {
		name    string
		pending []Order
		store   Store
		want    string
		wait    time.Duration
	}{
		{"concurrency", []Order{load("a", 1, 100), load("b", 1, 100), load("c", 1, 100)}, Store{Level: 1000}, "a1 b1 ", 0},
		{"rate", []Order{load("a", 1, 800), load("b", 1, 600)}, Store{Level: 1000}, "a1 ", 4 * time.Second},
		{"larger than the burst", []Order{load("a", 1, 5000)}, Store{Level: 1000}, "a1 ", 0},
		{"superseded", []Order{load("a", 3, 100), load("a", 2, 100)}, Store{Level: 1000}, "a3 ", 0},
		{"priority first", []Order{load("a", 1, 800), urgent}, Store{Level: 1000}, "c1 ", 2 * time.Second},
		{"no small order overtakes", []Order{load("a", 1, 800), load("b", 1, 10)}, Store{Level: 500}, "", 3 * time.Second},
		{"no weights", []Order{load("a", 1, 800), {Server: "b", Fencing: 1}}, Store{}, "b1 ", 8 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			plan := Next(test.pending, test.store, limits, 0)
			assert.Equal(t, names(plan), test.want)
			assert.Equal(t, plan.Wait, test.wait)
		})
	}
}

// The bytes that start within any time stay within the rate, the burst and one
// order that is larger than the burst.
func TestStoreRateIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := NewStore(limits, 0)
		now := time.Duration(0)
		var bytes, largest int64
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			order := load(fmt.Sprint(i), 1, rapid.Int64Range(1, 2000).Draw(t, "bytes"))
			plan := Next([]Order{order}, store, limits, now)
			store = plan.Store
			assert.Assert(t, store.Running <= limits.MaxConcurrent)
			for _, started := range plan.Start {
				bytes += started.Bytes
				largest = max(largest, started.Bytes)
			}
			allowed := now.Seconds()*limits.BytesPerSecond + float64(limits.BurstBytes+largest)
			assert.Assert(t, float64(bytes) <= allowed+1)
			if rapid.Bool().Draw(t, "end") {
				store = store.Ended()
			}
		}
	})
}

func TestIdleStoreSavesNoMoreThanTheBurst(t *testing.T) {
	store := NewStore(limits, 0).At(limits, time.Hour)
	assert.Equal(t, store.Level, float64(limits.BurstBytes))
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
