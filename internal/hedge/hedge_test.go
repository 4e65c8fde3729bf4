package hedge

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// after returns a call that returns value and err after d, or fails earlier if its
// context ends.
func after(d time.Duration, value string, err error) Call[string] {
	return func(ctx context.Context) (string, error) {
		select {
		case <-time.After(d):
			return value, err
		case <-ctx.Done():
			return "", ctx.Err()
		}
	}
}

func TestDo(t *testing.T) {
	failed := errors.New("failed")
	const delay = 100 * time.Millisecond
	cases := []struct {
		name          string
		first, second Call[string]
		want          string
		err           error
		duration      time.Duration
	}{
		{"first call succeeds before the delay", after(delay/2, "a", nil), nil, "a", nil, delay / 2},
		{"failure before the delay is not hedged", after(delay/2, "", failed), nil, "", failed, delay / 2},
		{"second call is faster", after(time.Minute, "a", nil), after(delay, "b", nil), "b", nil, 2 * delay},
		{"first call succeeds after the delay", after(delay+time.Millisecond, "a", nil), after(time.Minute, "b", nil), "a", nil, delay + time.Millisecond},
		{"second call fails", after(3*delay, "a", nil), after(delay, "", failed), "a", nil, 3 * delay},
		{"both calls fail", after(3*delay, "", failed), after(delay, "", failed), "", failed, 3 * delay},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				got, err := Do(t.Context(), delay, c.first, c.second)
				assert.Equal(t, got, c.want)
				assert.ErrorIs(t, err, c.err)
				assert.Equal(t, time.Since(start), c.duration)
				synctest.Wait()
			})
		})
	}
}

// TestCallThatPanicsFails guards against a process that ends since a hedged request panics in a goroutine
// of its own.
func TestCallThatPanicsFails(t *testing.T) {
	_, err := Do(t.Context(), time.Hour, func(context.Context) (int, error) { panic("boom") }, nil)
	assert.ErrorContains(t, err, "boom")
}
