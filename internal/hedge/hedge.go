// Package hedge sends hedged requests: an idempotent request is made a second time,
// over another path, when the first one takes unusually long.
package hedge

import (
	"context"
	"time"

	"ibistray.example/ibistray/internal/panics"
)

// Call makes the request over one path.
type Call[T any] func(ctx context.Context) (T, error)

type result[T any] struct {
	value T
	err   error
}

// Do calls first, and also second if first has not returned after delay. It returns the
// first success, or the last error if both fail. A failure of first within delay is
// returned at once. The context of a call that is still running when Do returns is
// cancelled. A call that panics fails. The request must be idempotent.
func Do[T any](ctx context.Context, delay time.Duration, first, second Call[T]) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result[T], 2)
	start := func(call Call[T]) {
		go func() {
			var r result[T]
			if err := panics.Contain(nil, "hedged request", func() { r.value, r.err = call(ctx) }); err != nil {
				r.err = err
			}
			results <- r
		}()
	}
	start(first)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case r := <-results:
		return r.value, r.err
	case <-timer.C:
	}
	start(second)
	r := <-results
	if r.err == nil {
		return r.value, nil
	}
	r = <-results
	return r.value, r.err
}
