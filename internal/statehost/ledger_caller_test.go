package statehost

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/leaderclient"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/ledgerpb"
)

// ledgerCaller is a client of the ledger.
type ledgerCaller struct {
	pool   *transport.Pool
	client *leaderclient.Client
	leader leaderclient.LeaderCache
}

// caller returns a client of the ledger that is connected to all hosts.
func (c *cluster) caller() *ledgerCaller {
	pool := transport.NewPool(c.dialer("caller", new(atomic.Bool)))
	return &ledgerCaller{pool: pool, client: leaderclient.NewWithOptions(pool, leaderclient.Options{
		Addresses: c.addresses, AttemptTimeout: callTimeout, OnRetry: func(string) {}, SharedStream: true,
	})}
}

// call sends a command and retries until it has an outcome or the limit has passed.
func (l *ledgerCaller) call(t *testing.T, limit time.Duration, cmd *ledgerpb.Command) (*ledgerpb.Response, error) {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	resp := new(ledgerpb.Response)
	err := l.client.Call(ctx, &l.leader, transport.MethodLedger, 0, &ledgerpb.Request{Command: cmd}, resp)
	return resp, err
}

func beginCommand(call, program, previous string, maxTokens, budget uint64) *ledgerpb.Command {
	return &ledgerpb.Command{Kind: &ledgerpb.Command_Begin{Begin: &ledgerpb.Begin{
		CallId: call, Program: program, Previous: previous, MaxTokens: maxTokens, TokenBudget: budget, Limited: true,
	}}}
}

func finishCommand(call, program, previous string, tokens uint64) *ledgerpb.Command {
	return &ledgerpb.Command{Kind: &ledgerpb.Command_Finish{Finish: &ledgerpb.Finish{
		CallId: call, Program: program, Previous: previous, Tokens: tokens, Keep: true,
		Input: []byte("in " + call + "\n"), Output: []byte("out " + call + "\n"), RetentionMs: 60_000,
	}}}
}

// keepTurn begins and finishes one turn of a program, which the ledger keeps.
func (l *ledgerCaller) keepTurn(t *testing.T, call, program, previous string) {
	t.Helper()
	resp, err := l.call(t, recoveryTimeout, beginCommand(call, program, previous, 10, 1000))
	assert.NilError(t, err)
	assert.Equal(t, resp.Outcome, ledgerpb.Outcome_OUTCOME_OK)
	resp, err = l.call(t, recoveryTimeout, finishCommand(call, program, previous, 10))
	assert.NilError(t, err)
	assert.Equal(t, resp.Outcome, ledgerpb.Outcome_OUTCOME_OK)
}

// keepFirstState waits until the hosts have caught up and stores a first turn and a first
// version of the routes.
func (l *ledgerCaller) keepFirstState(t *testing.T, c *cluster) {
	t.Helper()
	time.Sleep(catchUpDelay)
	l.keepTurn(t, "turn 1", "p", "")
	c.applyRoutes(1)
}

// checkChain checks that a new turn can continue from an earlier one, which is the last of
// a chain of length turns.
func (l *ledgerCaller) checkChain(t *testing.T, previous string, length int) {
	t.Helper()
	resp, err := l.call(t, recoveryTimeout, beginCommand("next", "q", previous, 1, 10))
	assert.NilError(t, err)
	assert.Equal(t, len(resp.Chain), length)
}
