// Package shardclient sends commands and reads to the leader of a customer's
// shard, wherever it is.
package shardclient

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/internal/placement"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/rpcpb"
	"ibistray.example/ibistray/proto/shardpb"
)

// Errors of this package.
var (
	// ErrUnavailable says that no leader answered before the context ended.
	// The command may or may not have been applied; it is idempotent, so it
	// may be sent again.
	ErrUnavailable = errors.New("shardclient: no leader of the shard answered")
	// ErrRejected says that the leader could not take the request: sending it
	// again does not help.
	ErrRejected = errors.New("shardclient: request rejected")
)

const (
	backoffBase = 10 * time.Millisecond
	backoffMax  = 400 * time.Millisecond
	// attemptTimeout bounds one exchange, beyond the wait that it asks for, so
	// that a silent leader does not use up the caller's whole time.
	attemptTimeout = 2 * time.Second
)

// Client finds leaders and remembers them. It is safe for concurrent use.
type Client struct {
	pool      *transport.Pool
	addresses []string
	leaders   []atomic.Pointer[string] // by shard
	onRetry   func(reason string)
}

// New returns a client for a number of shards whose replicas are at addresses.
// onRetry is called with a reason for each exchange that is made again.
func New(pool *transport.Pool, addresses []string, shards uint32, onRetry func(reason string)) *Client {
	return &Client{
		pool:      pool,
		addresses: addresses,
		leaders:   make([]atomic.Pointer[string], shards),
		onRetry:   onRetry,
	}
}

// Propose sends a command to the customer's shard and returns its result, also
// when that is a refusal. wait bounds how long a Begin waits for earlier calls
// of its program. Errors: ErrUnavailable, ErrRejected.
func (c *Client) Propose(ctx context.Context, customer string, cmd *shardpb.Command, wait time.Duration) (*shardpb.Result, error) {
	req := &rpcpb.ShardRequest{Customer: customer, Command: cmd, WaitMs: wait.Milliseconds()}
	resp := new(rpcpb.ShardResponse)
	if err := c.call(ctx, customer, transport.MethodShardPropose, wait, req, resp); err != nil {
		return nil, err
	}
	return resp.Result, nil
}

// History reads the history of a program from turn afterTurn+1 on.
func (c *Client) History(ctx context.Context, customer, program string, afterTurn uint64) (*rpcpb.HistoryResponse, error) {
	req := &rpcpb.HistoryRequest{Customer: customer, Program: program, AfterTurn: afterTurn}
	resp := new(rpcpb.HistoryResponse)
	if err := c.call(ctx, customer, transport.MethodShardHistory, 0, req, resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// View reads the views of one customer.
func (c *Client) View(ctx context.Context, req *rpcpb.ViewRequest) (*rpcpb.ViewResponse, error) {
	resp := new(rpcpb.ViewResponse)
	if err := c.call(ctx, req.Customer, transport.MethodShardView, 0, req, resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// call tries the known leader, then the other control processes in turn, with
// jittered backoff, until one answers or the context ends.
func (c *Client) call(ctx context.Context, customer, method string, wait time.Duration, req, resp proto.Message) error {
	leader := &c.leaders[placement.ShardOf(customer, uint32(len(c.leaders)))]
	next := rand.IntN(len(c.addresses))
	var last error
	for try := 0; ; try++ {
		address := c.addresses[next]
		if known := leader.Load(); known != nil {
			address = *known
		}
		last = c.exchange(ctx, address, method, wait, req, resp)
		if last == nil {
			leader.Store(&address)
			return nil
		}
		reason, ok := retryReason(last)
		if !ok {
			return fmt.Errorf("%w: %s: %w", ErrRejected, method, last)
		}
		hinted := c.follow(leader, last)
		next = (next + 1) % len(c.addresses)
		if ctx.Err() != nil {
			return fmt.Errorf("%w: %w", ErrUnavailable, last)
		}
		c.onRetry(reason)
		if hinted && try < len(c.addresses) {
			continue
		}
		if !sleep(ctx, backoff(try)) {
			return fmt.Errorf("%w: %w", ErrUnavailable, last)
		}
	}
}

func (c *Client) exchange(ctx context.Context, address, method string, wait time.Duration, req, resp proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, wait+attemptTimeout)
	defer cancel()
	return c.pool.Call(ctx, address, method, req, resp)
}

// follow remembers the leader that a peer named and reports whether it did.
func (c *Client) follow(leader *atomic.Pointer[string], err error) bool {
	var reported *transport.Error
	if errors.As(err, &reported) && reported.Leader != "" {
		leader.Store(&reported.Leader)
		return true
	}
	leader.Store(nil)
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

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
