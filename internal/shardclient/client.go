// Package shardclient sends commands and reads to the leader of a customer's
// shard, wherever it is.
package shardclient

import (
	"context"
	"time"

	"ibistray.example/ibistray/internal/leaderclient"
	"ibistray.example/ibistray/internal/placement"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/rpcpb"
	"ibistray.example/ibistray/proto/shardpb"
)

// Client finds the leaders of shards. Each method returns
// leaderclient.ErrUnavailable when no leader answered before the context ended,
// so that the outcome of a command is not known, and leaderclient.ErrRejected
// when the leader could not take the request. It is safe for concurrent use.
type Client struct {
	leaders *leaderclient.Client
	shards  []leaderclient.LeaderCache
}

// New returns a client for a number of shards whose replicas are among the
// control processes of leaders.
func New(leaders *leaderclient.Client, shards uint32) *Client {
	return &Client{leaders: leaders, shards: make([]leaderclient.LeaderCache, shards)}
}

func (c *Client) leaderOf(customer string) *leaderclient.LeaderCache {
	return &c.shards[c.ShardOf(customer)]
}

// ShardOf returns the shard of a customer.
func (c *Client) ShardOf(customer string) uint32 {
	return placement.ShardOf(customer, uint32(len(c.shards)))
}

// Propose sends a command to the customer's shard and returns its result, also
// when that is a refusal. Commands are idempotent: one whose outcome is not
// known may be sent again. wait bounds how long a Begin waits for earlier calls
// of its program.
func (c *Client) Propose(ctx context.Context, customer string, cmd *shardpb.Command, wait time.Duration) (*shardpb.Result, error) {
	req := &rpcpb.ShardRequest{Customer: customer, Command: cmd, WaitMs: wait.Milliseconds()}
	resp := new(rpcpb.ShardResponse)
	if err := c.leaders.Call(ctx, c.leaderOf(customer), transport.MethodShardPropose, wait, req, resp); err != nil {
		return nil, err
	}
	return resp.Result, nil
}

// History reads the history of a program from turn afterTurn+1 on.
func (c *Client) History(ctx context.Context, customer, program string, afterTurn uint64) (*rpcpb.HistoryResponse, error) {
	req := &rpcpb.HistoryRequest{Customer: customer, Program: program, AfterTurn: afterTurn}
	resp := new(rpcpb.HistoryResponse)
	if err := c.leaders.Call(ctx, c.leaderOf(customer), transport.MethodShardHistory, 0, req, resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// View reads the views of one customer.
func (c *Client) View(ctx context.Context, req *rpcpb.ViewRequest) (*rpcpb.ViewResponse, error) {
	resp := new(rpcpb.ViewResponse)
	if err := c.leaders.Call(ctx, c.leaderOf(req.Customer), transport.MethodShardView, 0, req, resp); err != nil {
		return nil, err
	}
	return resp, nil
}
