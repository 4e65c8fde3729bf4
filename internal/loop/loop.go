// Package loop has the waits that end with a context.
package loop

import (
	"context"
	"time"
)

// Every calls f at once and then after each interval, until the context ends.
// Calls do not overlap; intervals that pass during a call are skipped.
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

// Sleep waits for d. It returns false when the context ended before.
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
