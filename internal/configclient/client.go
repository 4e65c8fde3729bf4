// Package configclient sends changes to the leader of the configuration group
// and reads which version is in force.
package configclient

import (
	"context"
	"time"

	"ibistray.example/ibistray/internal/leaderclient"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/configpb"
	"ibistray.example/ibistray/proto/rpcpb"
)

const statusInterval = 200 * time.Millisecond

// Client finds the leader of the configuration group. Its errors are those of
// leaderclient.Client. It is safe for concurrent use.
type Client struct {
	leaders *leaderclient.Client
	leader  leaderclient.LeaderCache
}

// New returns a client of the configuration group.
func New(leaders *leaderclient.Client) *Client {
	return &Client{leaders: leaders}
}

// Propose sends a command and returns its result, also when that is a refusal.
// A command whose outcome is not known may be sent again with its change ID.
func (c *Client) Propose(ctx context.Context, cmd *configpb.Command) (*configpb.Result, error) {
	resp := new(rpcpb.ConfigResponse)
	err := c.leaders.Call(ctx, &c.leader, transport.MethodConfigPropose, 0, &rpcpb.ConfigRequest{Command: cmd}, resp)
	if err != nil {
		return nil, err
	}
	return resp.Result, nil
}

// Status returns the version that is in force and the records that changed since
// a version, all of them for 0.
func (c *Client) Status(ctx context.Context, since uint64) (*rpcpb.ConfigStatus, error) {
	resp := new(rpcpb.ConfigStatus)
	err := c.leaders.Call(ctx, &c.leader, transport.MethodConfigStatus, 0, &rpcpb.ConfigStatusRequest{Version: since}, resp)
	if err != nil {
		return nil, err
	}
	return resp, nil
}

// WaitInForce returns once a version is in force at each process, or the
// context's error.
func (c *Client) WaitInForce(ctx context.Context, version uint64) error {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for {
		status, err := c.Status(ctx, version)
		if err == nil && status.InForceVersion >= version {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}
