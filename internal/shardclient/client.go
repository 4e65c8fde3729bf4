// Package shardclient sends commands and reads to the current leader of a
// customer's shard.
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

// Client sends each request to the leader of its customer's shard. Methods that send a
// request return leaderclient.ErrUnavailable if no leader responded before the
// context ended, in which case the outcome of a command is unknown, and
// leaderclient.ErrRefused if the leader could not take the request. A Client is
// safe for concurrent use.
type Client struct {
	client       *leaderclient.Client
	shardLeaders []leaderclient.LeaderCache
}

// New returns a client for shardCount shards. client must know the control
// processes that hold the shards' replicas.
func New(client *leaderclient.Client, shardCount uint32) *Client {
	return &Client{client: client, shardLeaders: make([]leaderclient.LeaderCache, shardCount)}
}

func (c *Client) leaderCache(customer string) *leaderclient.LeaderCache {
	return &c.shardLeaders[c.ShardOf(customer)]
}

// ShardOf returns the shard of a customer.
func (c *Client) ShardOf(customer string) uint32 {
	return placement.ShardOf(customer, uint32(len(c.shardLeaders)))
}

// Propose sends a command to the customer's shard and returns its result; a
// refusal is a result and not an error. A command whose outcome is unknown may be
// sent again. Commands are idempotent except Dispatch, of which a resend is refused
// if the first one was applied. wait limits how long a Begin waits for earlier calls
// of its program.
func (c *Client) Propose(ctx context.Context, customer string, cmd *shardpb.Command, wait time.Duration) (*shardpb.Result, error) {
	req := &rpcpb.ShardRequest{Customer: customer, Command: cmd, WaitMs: wait.Milliseconds()}
	resp := new(rpcpb.ShardResponse)
	if err := c.client.Call(ctx, c.leaderCache(customer), transport.MethodShardPropose, wait, req, resp); err != nil {
		return nil, err
	}
	return resp.Result, nil
}

// History reads the history of a program, starting at turn afterTurn+1.
func (c *Client) History(ctx context.Context, customer, program string, afterTurn uint64) (*rpcpb.HistoryResponse, error) {
	req := &rpcpb.HistoryRequest{Customer: customer, Program: program, AfterTurn: afterTurn}
	resp := new(rpcpb.HistoryResponse)
	if err := c.client.Call(ctx, c.leaderCache(customer), transport.MethodShardHistory, 0, req, resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// View reads the views of one customer that req selects.
func (c *Client) View(ctx context.Context, req *rpcpb.ViewRequest) (*rpcpb.ViewResponse, error) {
	resp := new(rpcpb.ViewResponse)
	if err := c.client.Call(ctx, c.leaderCache(req.Customer), transport.MethodShardView, 0, req, resp); err != nil {
		return nil, err
	}
	return resp, nil
}
