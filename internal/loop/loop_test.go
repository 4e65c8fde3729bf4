package loop

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestEveryCallsImmediatelyAndThenOncePerInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		start := time.Now()
		var calls []time.Duration
		go Every(ctx, time.Second, func(context.Context) { calls = append(calls, time.Since(start)) })
		time.Sleep(2500 * time.Millisecond)
		cancel()
		synctest.Wait()
		assert.DeepEqual(t, calls, []time.Duration{0, time.Second, 2 * time.Second})
	})
}

func TestSleepReturnsWhenContextIsDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.Assert(t, Sleep(ctx, 500*time.Millisecond))
		start := time.Now()
		assert.Assert(t, !Sleep(ctx, time.Hour))
		assert.Equal(t, time.Since(start), 500*time.Millisecond)
	})
}
