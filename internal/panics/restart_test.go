package panics

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/loop"
)

// TestTaskThatPanicsIsCalledAgainLaterEachTime guards against a task that takes the processor since it
// panics again and again.
func TestTaskThatPanicsIsCalledAgainLaterEachTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var calls []time.Duration
		Restart(t.Context(), hclog.NewNullLogger(), "task", func(ctx context.Context) {
			calls = append(calls, time.Since(start))
			switch len(calls) {
			case 12:
				loop.Sleep(ctx, stableRunTime)
			case 14:
				return
			}
			panic("boom")
		})
		var pauses []time.Duration
		for i, call := range calls[1:] {
			pauses = append(pauses, call-calls[i])
		}
		ms := time.Millisecond
		assert.DeepEqual(t, pauses, []time.Duration{
			100 * ms, 200 * ms, 400 * ms, 800 * ms, 1600 * ms, 3200 * ms, 6400 * ms, 12800 * ms, 25600 * ms,
			maxRestartDelay, maxRestartDelay, stableRunTime + minRestartDelay, 200 * ms,
		})
	})
}

func TestRestartEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 150*time.Millisecond)
		defer cancel()
		calls := 0
		Restart(ctx, hclog.NewNullLogger(), "task", func(context.Context) {
			calls++
			panic("boom")
		})
		assert.Equal(t, calls, 2)
	})
}
