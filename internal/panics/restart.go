package panics

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/loop"
)

const (
	// The pause after a panic doubles with each further one, and starts over once the task has run
	// for stableRunTime.
	minRestartDelay = 100 * time.Millisecond
	maxRestartDelay = 30 * time.Second
	stableRunTime   = time.Minute
)

// Restart calls f until it returns or ctx ends, and again after a panic of f, which is logged and
// counted. It is for background tasks that read the state of others and whose own state is valid
// after each step; after a panic of any other one, the part that it belongs to must be created anew.
func Restart(ctx context.Context, log hclog.Logger, part string, f func(context.Context)) {
	for delay := minRestartDelay; ctx.Err() == nil; delay = min(2*delay, maxRestartDelay) {
		start := time.Now()
		if Contain(log, part, func() { f(ctx) }) == nil {
			return
		}
		if time.Since(start) >= stableRunTime {
			delay = minRestartDelay
		}
		if !loop.Sleep(ctx, delay) {
			return
		}
	}
}
