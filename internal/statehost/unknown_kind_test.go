package statehost

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/ledger"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/fleetpb"
	"ibistray.example/ibistray/proto/ledgerpb"
	"ibistray.example/ibistray/proto/rpcpb"
)

// ofLaterBuild returns an encoded message with a field that only later builds know.
func ofLaterBuild() []byte {
	return protowire.AppendBytes(protowire.AppendTag(nil, 1000, protowire.BytesType), []byte("later"))
}

// TestCommandsOfLaterBuildsAreNotAcknowledged guards against a host that acknowledges a command
// which it ignores, so that the change is lost.
func TestCommandsOfLaterBuildsAreNotAcknowledged(t *testing.T) {
	h := newTestHost(t, t.TempDir(), "127.0.0.1:1")
	defer stopHost(t, h)
	command, config := new(ledgerpb.Command), new(fleetpb.ConfigCommand)
	assert.NilError(t, proto.Unmarshal(ofLaterBuild(), command))
	assert.NilError(t, proto.Unmarshal(ofLaterBuild(), config))
	_, err := h.handleLedger(t.Context(), &ledgerpb.Request{Command: command})
	assert.Equal(t, transport.CodeOf(err), rpcpb.Code_CODE_INVALID)
	_, err = h.handleConfig(t.Context(), &fleetpb.ConfigRequest{Command: config})
	assert.Equal(t, transport.CodeOf(err), rpcpb.Code_CODE_INVALID)
}

// TestRecordsOfLaterBuildsAreCounted guards against records of a later build that are ignored
// unnoticed after a return to this one. A record in a snapshot set the time back to 0.
func TestRecordsOfLaterBuildsAreCounted(t *testing.T) {
	const now = 1_800_000_000_000
	var snapshot bytes.Buffer
	later := new(ledgerpb.Record)
	assert.NilError(t, proto.Unmarshal(ofLaterBuild(), later))
	for _, record := range []*ledgerpb.Record{{NowMs: now}, later} {
		_, err := protodelim.MarshalTo(&snapshot, record)
		assert.NilError(t, err)
	}
	state := ledger.New()
	assert.NilError(t, state.Restore(&snapshot))
	assert.Equal(t, state.Stats().Unknown, 1)
	state.Apply(1, ofLaterBuild())
	assert.Equal(t, state.Stats().Unknown, 2)
	var copied bytes.Buffer
	assert.NilError(t, state.Snapshot(&copied))
	first := new(ledgerpb.Record)
	assert.NilError(t, protodelim.UnmarshalFrom(&copied, first))
	assert.Equal(t, first.NowMs, int64(now))

	config := newConfigState()
	config.Apply(1, ofLaterBuild())
	assert.Equal(t, config.unknown.Load(), int64(1))
}
