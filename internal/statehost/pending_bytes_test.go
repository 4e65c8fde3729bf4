package statehost

import (
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/rpcpb"
)

// TestPendingCommandsAreLimitedByBytes guards against large commands that fill the memory of a
// leader while it has no quorum. A single command is always taken.
func TestPendingCommandsAreLimitedByBytes(t *testing.T) {
	h := newTestHost(t, t.TempDir(), "127.0.0.1:1")
	defer stopHost(t, h)
	limit := int(h.cfg.memoryBytes() / pendingMemoryShare)
	assert.NilError(t, h.holdPending(2*limit))
	assert.Equal(t, transport.CodeOf(h.holdPending(1)), rpcpb.Code_CODE_UNAVAILABLE)
	h.releasePending(2 * limit)
	assert.NilError(t, h.holdPending(limit-1))
	assert.NilError(t, h.holdPending(1))
	assert.Equal(t, transport.CodeOf(h.holdPending(1)), rpcpb.Code_CODE_UNAVAILABLE)
	h.releasePending(limit)
	assert.Equal(t, h.pendingBytes.Load(), int64(0))
}
