// Package configclient proposes changes to the leader of the configuration group
// and reads which version of the configuration is in force.
package configclient

import (
	"context"
	"time"

	"ibistray.example/ibistray/internal/leaderclient"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/configpb"
	"ibistray.example/ibistray/proto/rpcpb"
)

const statusPollInterval = 200 * time.Millisecond

// Client calls the leader of the configuration group. Its methods return the errors
// of leaderclient.Client. It is safe for concurrent use.
type Client struct {
	client      *leaderclient.Client
	leaderCache leaderclient.LeaderCache
}

// New returns a client of the configuration group that finds its leader with client.
func New(client *leaderclient.Client) *Client {
	return &Client{client: client}
}

// Propose sends a command and returns its result, which may be a refusal. A command
// whose outcome is unknown may be sent again with the same change ID.
func (c *Client) Propose(ctx context.Context, cmd *configpb.Command) (*configpb.Result, error) {
	resp := new(rpcpb.ConfigResponse)
	err := c.client.Call(ctx, &c.leaderCache, transport.MethodConfigPropose, 0, &rpcpb.ConfigRequest{Command: cmd}, resp)
	if err != nil {
		return nil, err
	}
	return resp.Result, nil
}

// Status returns the version that is in force and the records that changed after the
// version since. For since 0 it returns all records.
func (c *Client) Status(ctx context.Context, since uint64) (*rpcpb.ConfigStatus, error) {
	resp := new(rpcpb.ConfigStatus)
	err := c.client.Call(ctx, &c.leaderCache, transport.MethodConfigStatus, 0, &rpcpb.ConfigStatusRequest{Version: since}, resp)
	if err != nil {
		return nil, err
	}
	return resp, nil
}

// WaitInForce waits until a version is in force at every process. It returns the
// error of the context if that ends first.
func (c *Client) WaitInForce(ctx context.Context, version uint64) error {
	ticker := time.NewTicker(statusPollInterval)
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
