// Package loop provides periodic calls and sleeps that end when a context is done.
package loop

import (
	"context"
	"time"
)

// Every calls f immediately and then once per interval until ctx is done. Calls do not
// overlap: ticks that fall into a call are merged into one.
func Every(ctx context.Context, interval time.Duration, f func(context.Context)) {
	EveryOrWoken(ctx, interval, nil, f)
}

// EveryOrWoken is like Every, and also calls f after each value from wake.
func EveryOrWoken(ctx context.Context, interval time.Duration, wake <-chan struct{}, f func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		f(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-wake:
		}
	}
}

// Waker wakes an EveryOrWoken loop. It is safe for concurrent use.
type Waker chan struct{}

// NewWaker returns a waker.
func NewWaker() Waker { return make(Waker, 1) }

// Wake wakes the loop. It does not block; calls before the loop runs again count as one.
func (w Waker) Wake() {
	select {
	case w <- struct{}{}:
	default:
	}
}

// Sleep waits for d and returns true, or returns false as soon as ctx is done.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
