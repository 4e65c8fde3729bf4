package statehost

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/ledgerpb"
	"ibistray.example/ibistray/proto/rpcpb"
)

// TestTurnWithoutItsBeginningIsNotKept guards against turns with a hole from entries of an earlier
// build, which keep only the events of the call that resumed a stream.
func TestTurnWithoutItsBeginningIsNotKept(t *testing.T) {
	h := startLeader(t, 24<<20)
	call := func(cmd *ledgerpb.Command) (*ledgerpb.Response, error) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		return h.handleLedger(ctx, &ledgerpb.Request{Command: cmd})
	}
	begin := func(id string, stream *ledgerpb.OpenStream) {
		t.Helper()
		cmd := beginCommand(id, "p", "", 10, 1000)
		stream.CallId, stream.RetentionMs = id, 60_000
		cmd.GetBegin().Stream = stream
		resp, err := call(cmd)
		assert.NilError(t, err)
		assert.Equal(t, resp.Outcome, ledgerpb.Outcome_OUTCOME_OK)
	}
	finish := func(id string, whole bool) error {
		cmd := finishCommand(id, "p", "", 10)
		cmd.GetFinish().Whole = whole
		_, err := call(cmd)
		return err
	}
	begin("first", &ledgerpb.OpenStream{Version: "s/v1"})
	begin("resumed", &ledgerpb.OpenStream{Resumed: true, Resumes: "first"})
	assert.Equal(t, transport.CodeOf(finish("resumed", false)), rpcpb.Code_CODE_INVALID)
	_, kept := h.ledger.Chain("", "resumed")
	assert.Assert(t, !kept)
	assert.NilError(t, finish("resumed", true))
	assert.NilError(t, finish("first", false), "the call that began the stream has all its events")
	for _, id := range []string{"first", "resumed"} {
		_, kept := h.ledger.Chain("", id)
		assert.Assert(t, kept, id)
	}
}
