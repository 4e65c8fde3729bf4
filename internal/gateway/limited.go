package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"ibistray.example/ibistray/internal/fleet"
	"ibistray.example/ibistray/internal/policy/ratelimit"
	"ibistray.example/ibistray/internal/policy/streampin"
)

// maxPermitPause is the longest time after which a waiting request checks whether it should
// wait on.
const maxPermitPause = 250 * time.Millisecond

// shortageDelay is the wait of a request of a running program that shows a lack of servers.
const shortageDelay = 100 * time.Millisecond

// errLimited says that the backend servers of the service accept no more requests now.
var errLimited = errors.New("gateway: the backend servers have reached the limits that they named")

// errNotAsked ends an attempt before it began: the permit has expired, or the server takes no
// requests any more.
var errNotAsked = errors.New("gateway: the backend server was not asked")

// limitedError is an errLimited with the time after which the client should retry.
type limitedError struct {
	retryAfter time.Duration
}

func (e *limitedError) Error() string        { return errLimited.Error() }
func (e *limitedError) Is(target error) bool { return target == errLimited }

// isBlocked reports whether a server accepts no request of this call now because of its
// limit: permits were denied a moment ago, or other requests wait for one.
func (c *call) isBlocked(server *fleet.Instance) bool {
	if !server.Limited() {
		return false
	}
	return c.g.permits.denied(server) || !c.g.queues.mayAsk(c.service.Name, c.waiter)
}

// obtainPermit selects one of the preferred servers. The last of them may be one without a
// limit, which takes the request if no other has a permit. It reports whether a server was
// selected.
func (c *call) obtainPermit(ctx context.Context, preferred []*fleet.Instance) bool {
	timeout := longPermitTimeout
	limited, unlimited := preferred, (*fleet.Instance)(nil)
	if last := preferred[len(preferred)-1]; !last.Limited() {
		limited, unlimited, timeout = preferred[:len(preferred)-1], last, permitTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.server = unlimited
	if permit, ok := c.g.permits.obtain(ctx, limited, c.newProgram); ok {
		c.server, c.permit = permit.server, &permit
	}
	if c.server == nil {
		return false
	}
	c.g.loads.acquireServer(c.server.ID)
	return true
}

// waitForPermit waits until a permit may be asked for. It returns an error that wraps
// errLimited if the request would wait for too long.
func (c *call) waitForPermit(ctx context.Context, blocked []*fleet.Instance) error {
	if c.waiter == nil {
		c.waiter = c.g.queues.join(c.service.Name, c.newProgram, c.priority())
		c.g.metrics.PermitWaiting.Inc()
	}
	delay, share := c.g.permits.outlook(blocked)
	if slices.ContainsFunc(blocked, func(server *fleet.Instance) bool { return !server.Limited() }) {
		delay = min(delay, windowPollInterval)
	}
	share += c.g.loads.throughput(blocked, time.Now())
	decision := ratelimit.Decide(ratelimit.Waiting{
		NewProgram: c.newProgram,
		Waited:     time.Since(c.waiter.joined),
		Timeout:    c.deadline.Sub(c.arrived),
		Ahead:      c.g.queues.ahead(c.waiter),
		Share:      share,
	})
	if !decision.Wait {
		return &limitedError{retryAfter: decision.RetryAfter}
	}
	if len(c.triedServers) > 0 {
		delay = max(delay, busyRetryDelay)
		clear(c.triedServers)
	}
	c.waiter.wait(ctx, max(delay, time.Millisecond), maxPermitPause)
	return nil
}

// leaveQueue ends the wait for a permit, if there is one.
func (c *call) leaveQueue() {
	if c.waiter == nil {
		return
	}
	if !c.newProgram && time.Since(c.waiter.joined) > shortageDelay {
		c.g.shedder.recordShortage(c.service.Name)
	}
	c.g.queues.leave(c.waiter)
	c.g.metrics.PermitWaiting.Dec()
	c.waiter = nil
}

// checkServer returns an error that wraps errNotAsked if the request must not be sent to the
// selected server any more, since it has waited for something else.
func (c *call) checkServer() error {
	if err := c.checkStopping(); err != nil {
		return fmt.Errorf("%w: %w", errNotAsked, err)
	}
	if c.g.view.latest(c.server) == nil {
		return fmt.Errorf("%w: it takes no requests any more", errNotAsked)
	}
	if _, err := c.pin([]*fleet.Instance{c.server}); errors.Is(err, streampin.ErrOutdatedView) {
		return fmt.Errorf("%w: %w", errNotAsked, err)
	}
	if c.permit != nil && c.g.permits.expired(*c.permit) {
		return fmt.Errorf("%w: the permit has expired", errNotAsked)
	}
	return nil
}
