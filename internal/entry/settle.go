package entry

import (
	"context"
	"errors"
	"time"

	"ibistray.example/ibistray/internal/loop"
	"ibistray.example/ibistray/proto/shardpb"
)

// settleTimeout limits how long a call waits for its shard after its deadline has passed:
// to record its final failure, or to learn the outcome of a command in progress.
const settleTimeout = 5 * time.Second

// propose sends a command to the call's shard, whose result decides what the caller is
// told. Therefore it waits for the result beyond the call's deadline, for at most
// settleTimeout, unless ctx is cancelled. wait limits how long a Begin waits for earlier
// calls of its program.
func (c *call) propose(ctx context.Context, cmd *shardpb.Command, wait time.Duration) (*shardpb.Result, error) {
	ctx, cancel := c.settleContext(ctx)
	defer cancel()
	return c.entry.shards.Propose(ctx, c.req.Key.Customer, cmd, wait)
}

// settleContext returns a context that ends settleTimeout after the call's deadline, or
// when ctx is cancelled.
func (c *call) settleContext(ctx context.Context) (context.Context, context.CancelFunc) {
	settling, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.req.Deadline.Add(settleTimeout))
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			cancel()
		}
	})
	return settling, func() {
		stop()
		cancel()
	}
}

// reloadDelay is the pause before the record is read again.
const reloadDelay = 50 * time.Millisecond

// reload makes the call read its record again, after another process changed it. Once the
// deadline has passed it does so a last time, to learn the outcome of the call.
func (c *call) reload(ctx context.Context) callTrigger {
	if loop.Sleep(ctx, reloadDelay) {
		return triggerReload
	}
	if c.reloadedLate || errors.Is(ctx.Err(), context.Canceled) {
		return c.deliverFailure(c.deadlineFailure())
	}
	c.reloadedLate = true
	return triggerReload
}

// attach attaches to the recorded attempt. Once the deadline has passed it still does so
// for a short time, which fences an attempt that never started.
func (c *call) attach(ctx context.Context) callTrigger {
	if !hasEnded(ctx) {
		return c.execute(ctx, true)
	}
	ctx, cancel := c.settleContext(ctx)
	defer cancel()
	return c.execute(ctx, true)
}
