// Package leaderclient finds the leader of a group among the control processes
// and sends requests to it.
package leaderclient

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/internal/loop"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/rpcpb"
)

// Errors of this package.
var (
	// ErrUnavailable says that no leader answered before the context ended.
	// The request may or may not have been applied.
	ErrUnavailable = errors.New("leaderclient: no leader answered")
	// ErrRejected says that the leader could not take the request: sending it
	// again does not help.
	ErrRejected = errors.New("leaderclient: request rejected")
)

const (
	backoffBase = 10 * time.Millisecond
	backoffMax  = 400 * time.Millisecond
	// attemptTimeout bounds one exchange, beyond the wait that it asks for, so
	// that a silent leader does not use up the caller's whole time.
	attemptTimeout = 2 * time.Second
)

// Client sends requests to leaders. It is safe for concurrent use.
type Client struct {
	addresses      func() []string
	attemptTimeout time.Duration
	onRetry        func(reason string)
	exchange       func(ctx context.Context, address, method string, req, resp proto.Message) error
}

// Options are the settings of a Client.
type Options struct {
	// Addresses returns the control processes. They may change between calls.
	Addresses func() []string
	// AttemptTimeout bounds one exchange, beyond the wait that it asks for.
	AttemptTimeout time.Duration
	// OnRetry is called with a reason for each exchange that is made again.
	OnRetry func(reason string)
	// SharedStream sends the requests of a method to a process over one stream; the method
	// must be registered with transport.SharedStream.
	SharedStream bool
}

// New returns a client of the control processes at addresses. onRetry is called
// with a reason for each exchange that is made again.
func New(pool *transport.Pool, addresses []string, onRetry func(reason string)) *Client {
	return NewWithOptions(pool, Options{
		Addresses:      func() []string { return addresses },
		AttemptTimeout: attemptTimeout,
		OnRetry:        onRetry,
	})
}

// NewWithOptions returns a client of control processes that may change.
func NewWithOptions(pool *transport.Pool, opts Options) *Client {
	exchange := pool.Call
	if opts.SharedStream {
		exchange = pool.CallShared
	}
	return &Client{
		addresses:      opts.Addresses,
		attemptTimeout: opts.AttemptTimeout,
		onRetry:        opts.OnRetry,
		exchange:       exchange,
	}
}

// LeaderCache remembers who led a group last. The zero value knows nobody.
type LeaderCache struct {
	address atomic.Pointer[string]
}

// Call sends an idempotent request to the group's leader: the known one first,
// then the other control processes in turn, with jittered backoff, until one
// answers or the context ends. wait is added to the time of one exchange.
// Errors: ErrUnavailable, ErrRejected.
func (c *Client) Call(ctx context.Context, leader *LeaderCache, method string, wait time.Duration, req, resp proto.Message) error {
	addresses := c.addresses()
	if len(addresses) == 0 {
		return fmt.Errorf("%w: no control process is known", ErrUnavailable)
	}
	next := rand.IntN(len(addresses))
	for try := 0; ; try++ {
		address := addresses[next]
		if known := leader.address.Load(); known != nil {
			address = *known
		}
		err := c.attempt(ctx, address, method, wait, req, resp)
		if err == nil {
			leader.address.Store(&address)
			return nil
		}
		reason, again := retryReason(err)
		if !again {
			return fmt.Errorf("%w: %s: %w", ErrRejected, method, err)
		}
		hinted := leader.follow(err)
		next = (next + 1) % len(addresses)
		if ctx.Err() != nil {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		c.onRetry(reason)
		if hinted && try < len(addresses) {
			continue
		}
		if !loop.Sleep(ctx, backoff(try)) {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
	}
}

func (c *Client) attempt(ctx context.Context, address, method string, wait time.Duration, req, resp proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, wait+c.attemptTimeout)
	defer cancel()
	return c.exchange(ctx, address, method, req, resp)
}

// follow remembers the leader that a peer named and reports whether it did.
func (l *LeaderCache) follow(err error) bool {
	var reported *transport.Error
	if errors.As(err, &reported) && reported.Leader != "" {
		l.address.Store(&reported.Leader)
		return true
	}
	l.address.Store(nil)
	return false
}

// retryReason names why an exchange may be made again.
func retryReason(err error) (string, bool) {
	var reported *transport.Error
	if !errors.As(err, &reported) {
		switch {
		case errors.Is(err, transport.ErrUnreachable):
			return "control_unreachable", true
		case errors.Is(err, transport.ErrBroken):
			return "control_broken", true
		default:
			return "", false
		}
	}
	switch reported.Code {
	case rpcpb.Code_CODE_NOT_LEADER:
		return "not_leader", true
	case rpcpb.Code_CODE_UNAVAILABLE, rpcpb.Code_CODE_STOPPING:
		return "control_unavailable", true
	case rpcpb.Code_CODE_TIMEOUT:
		return "control_timeout", true
	default:
		return "", false
	}
}

// backoff returns a delay with full jitter.
func backoff(try int) time.Duration {
	ceiling := min(backoffBase<<min(try, 10), backoffMax)
	return rand.N(ceiling) + time.Millisecond
}
