// Package loop provides periodic calls and sleeps that end when a context is done.
package loop

import (
	"context"
	"time"
)

// Every calls f immediately and then once per interval until ctx is done. Calls do not
// overlap: ticks that fall into a call are merged into one.
func Every(ctx context.Context, interval time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		f(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
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
