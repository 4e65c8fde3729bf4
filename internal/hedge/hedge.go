// Package hedge makes an idempotent request a second time, by another way, when the
// first one takes unusually long.
package hedge

import (
	"context"
	"time"
)

// Call is one way to make a request.
type Call[T any] func(ctx context.Context) (T, error)

type result[T any] struct {
	value T
	err   error
}

// Do makes a request by first, and also by second once there is no answer after
// delay. It returns the first success, or the last error when both fail. The context
// of a call that is not needed any longer ends. The request must be idempotent.
func Do[T any](ctx context.Context, delay time.Duration, first, second Call[T]) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result[T], 2)
	start := func(call Call[T]) {
		go func() {
			value, err := call(ctx)
			results <- result[T]{value, err}
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
