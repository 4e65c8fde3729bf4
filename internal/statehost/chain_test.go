package statehost

import (
	"bytes"
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/ledgerpb"
)

// longChainIsContinued guards against a chain of kept turns that is too long for one message: no
// turn could continue from it, although the ledger had acknowledged and kept all of them.
func longChainIsContinued(t *testing.T, c *cluster) {
	const inputBytes, turns = 4_000_000, 5
	caller := c.caller()
	defer caller.pool.Close()
	caller.keepFirstState(t, c)
	var content []byte
	previous := ""
	for n := range turns {
		id := fmt.Sprint("long-", n)
		finish := finishCommand(id, "q", previous, 1)
		finish.GetFinish().Input = bytes.Repeat([]byte{byte('a' + n)}, inputBytes)
		resp, err := caller.call(t, recoveryTimeout, finish)
		assert.NilError(t, err)
		assert.Equal(t, resp.Outcome, ledgerpb.Outcome_OUTCOME_OK)
		content = append(append(content, finish.GetFinish().Input...), finish.GetFinish().Output...)
		previous = id
	}
	request := func(fetches bool) (*ledgerpb.Response, error) {
		ctx, cancel := context.WithTimeout(t.Context(), recoveryTimeout)
		defer cancel()
		resp := new(ledgerpb.Response)
		req := &ledgerpb.Request{Command: beginCommand("next", "q", previous, 1, 1000), FetchesChain: fetches}
		return resp, caller.client.Call(ctx, &caller.leader, transport.MethodLedger, 0, req, resp)
	}
	_, err := request(false)
	assert.ErrorContains(t, err, "response of", "an entry of a build that does not fetch gets no part of the chain")

	resp, err := request(true)
	assert.NilError(t, err)
	assert.Equal(t, resp.ChainBytes, uint64(len(content)))
	assert.Equal(t, len(resp.Chain), 0)
	var got []byte
	for len(got) < len(content) {
		part := new(ledgerpb.ChainPart)
		req := &ledgerpb.ChainRequest{CallId: previous, Offset: uint64(len(got))}
		assert.NilError(t, caller.client.Call(t.Context(), &caller.leader, transport.MethodLedgerChain, 0, req, part))
		assert.Assert(t, len(part.Content) > 0 && len(part.Content) <= chainPartBytes)
		got = append(got, part.Content...)
	}
	assert.Assert(t, bytes.Equal(got, content))
}
