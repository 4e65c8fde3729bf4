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

// Errors returned by Call.
var (
	// ErrUnavailable means that no leader responded before the context ended. The
	// request may or may not have been applied.
	ErrUnavailable = errors.New("leaderclient: no leader responded")
	// ErrRefused means that the request failed with an error that a retry does not
	// resolve.
	ErrRefused = errors.New("leaderclient: request refused")
	// ErrUncertain comes with ErrRefused if an earlier attempt may have been applied.
	ErrUncertain = errors.New("leaderclient: an earlier attempt may have been applied")
)

const (
	baseRetryDelay = 10 * time.Millisecond
	maxRetryDelay  = 400 * time.Millisecond
	// attemptTimeout limits one attempt, not counting the wait that the caller
	// allows the server, so that an unresponsive leader does not use up the
	// caller's deadline.
	attemptTimeout = 2 * time.Second
)

// Client sends requests to leaders. It is safe for concurrent use.
type Client struct {
	addresses      func() []string
	attemptTimeout time.Duration
	onRetry        func(reason string)
	call           func(ctx context.Context, address, method string, req, resp proto.Message) error
}

// Options configures a Client.
type Options struct {
	// Addresses returns the addresses of the control processes. They may change
	// between calls.
	Addresses func() []string
	// AttemptTimeout limits one attempt, not counting the wait passed to Call.
	AttemptTimeout time.Duration
	// OnRetry is called before each retry with its reason.
	OnRetry func(reason string)
	// SharedStream sends all requests of a method to a process over one stream. The
	// server must register the method with transport.SharedUnary.
	SharedStream bool
}

// New returns a client of the control processes at fixed addresses. onRetry is
// called before each retry with its reason.
func New(pool *transport.Pool, addresses []string, onRetry func(reason string)) *Client {
	return NewWithOptions(pool, Options{
		Addresses:      func() []string { return addresses },
		AttemptTimeout: attemptTimeout,
		OnRetry:        onRetry,
	})
}

// NewWithOptions returns a client with the given options.
func NewWithOptions(pool *transport.Pool, opts Options) *Client {
	call := pool.Call
	if opts.SharedStream {
		call = pool.CallShared
	}
	return &Client{
		addresses:      opts.Addresses,
		attemptTimeout: opts.AttemptTimeout,
		onRetry:        opts.OnRetry,
		call:           call,
	}
}

// LeaderCache stores the address of a group's last known leader. The zero value is
// empty. It is safe for concurrent use.
type LeaderCache struct {
	address atomic.Pointer[string]
}

// Call sends an idempotent request to the leader of a group. It tries the cached
// leader first and then the control processes in turn, with jittered backoff, until
// one responds or the context ends. wait is how long the server may hold the request;
// it extends the timeout of each attempt. The error wraps ErrUnavailable, ErrRefused, or
// ErrRefused and ErrUncertain.
func (c *Client) Call(ctx context.Context, cache *LeaderCache, method string, wait time.Duration, req, resp proto.Message) error {
	addresses := c.addresses()
	if len(addresses) == 0 {
		return fmt.Errorf("%w: no address of a control process is known", ErrUnavailable)
	}
	next := rand.IntN(len(addresses))
	uncertain := false
	for attempt := 0; ; attempt++ {
		address := addresses[next]
		if cached := cache.address.Load(); cached != nil {
			address = *cached
		}
		err := c.callOnce(ctx, address, method, wait, req, resp)
		if err == nil {
			cache.address.Store(&address)
			return nil
		}
		reason, retryable := retryReason(err)
		if !retryable && uncertain {
			return fmt.Errorf("%w: %w: %s: %w", ErrRefused, ErrUncertain, method, err)
		}
		if !retryable {
			return fmt.Errorf("%w: %s: %w", ErrRefused, method, err)
		}
		uncertain = uncertain || mayBeApplied(err)
		redirected := cache.update(err)
		next = (next + 1) % len(addresses)
		if ctx.Err() != nil {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		c.onRetry(reason)
		if redirected && attempt < len(addresses) {
			continue
		}
		if !loop.Sleep(ctx, backoff(attempt)) {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
	}
}

func (c *Client) callOnce(ctx context.Context, address, method string, wait time.Duration, req, resp proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, wait+c.attemptTimeout)
	defer cancel()
	return c.call(ctx, address, method, req, resp)
}

// update stores the leader that the error of a process names and reports whether it
// named one. Otherwise it empties the cache.
func (l *LeaderCache) update(err error) bool {
	var remote *transport.Error
	if errors.As(err, &remote) && remote.Leader != "" {
		l.address.Store(&remote.Leader)
		return true
	}
	l.address.Store(nil)
	return false
}

// mayBeApplied reports whether a request that ended with an error may have been applied.
func mayBeApplied(err error) bool {
	return !errors.Is(err, transport.ErrUnreachable) && transport.CodeOf(err) != rpcpb.Code_CODE_NOT_LEADER
}

// retryReason returns the reason to retry a request after an error. It returns false
// when the request must not be retried.
func retryReason(err error) (string, bool) {
	var remote *transport.Error
	if !errors.As(err, &remote) {
		switch {
		case errors.Is(err, transport.ErrUnreachable):
			return "control_unreachable", true
		case errors.Is(err, transport.ErrInterrupted):
			return "control_broken", true
		default:
			return "", false
		}
	}
	switch remote.Code {
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

// backoff returns the delay after an attempt, with full jitter.
func backoff(attempt int) time.Duration {
	limit := min(baseRetryDelay<<min(attempt, 10), maxRetryDelay)
	return rand.N(limit) + time.Millisecond
}
