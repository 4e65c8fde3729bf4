package statehost

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/ledger"
	"ibistray.example/ibistray/internal/spill"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/ledgerpb"
	"ibistray.example/ibistray/proto/rpcpb"
)

// runCommand proposes a command until it is applied.
func runCommand(t *testing.T, h *Host, cmd *ledgerpb.Command) ledger.Result {
	t.Helper()
	cmd.NowMs = time.Now().UnixMilli()
	data, err := proto.Marshal(cmd)
	assert.NilError(t, err)
	for end := time.Now().Add(recoveryTimeout); ; time.Sleep(10 * time.Millisecond) {
		applied, err := h.propose(LedgerGroup, data)
		if err == nil {
			return applied.Result.(ledger.Result)
		}
		assert.Assert(t, time.Now().Before(end), "%v", err)
	}
}

// TestDamagedSpillStopsTheHost guards against kept turns that are damaged on disk and served, or
// written into a snapshot. The host stops, and has all of them when it is opened again.
func TestDamagedSpillStopsTheHost(t *testing.T) {
	const limit = 4 << 20
	dir := t.TempDir()
	failed := make(chan error, 1)
	h := startLimitedHost(t, dir, limit, 8*limit, func(err error) { failed <- err })
	for n := range 40 {
		runCommand(t, h, keptTurn(n, 64<<10))
	}
	files, err := filepath.Glob(filepath.Join(SpillDir(dir), "*"))
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		assert.NilError(t, os.Truncate(file, 1000))
	}
	begin := func(h *Host) (*ledgerpb.Response, error) {
		begin := &ledgerpb.Begin{CallId: "next", Program: "p", Previous: "turn-39"}
		return h.handleLedger(t.Context(), &ledgerpb.Request{Command: &ledgerpb.Command{Kind: &ledgerpb.Command_Begin{Begin: begin}}})
	}
	for end := time.Now().Add(recoveryTimeout); h.replicas.Err() == nil; {
		// A snapshot may read the files first, and commands are refused while one is written.
		assert.Assert(t, time.Now().Before(end), "the host has not stopped")
		_, err := begin(h)
		code := transport.CodeOf(err)
		assert.Assert(t, code == rpcpb.Code_CODE_STOPPING || code == rpcpb.Code_CODE_UNAVAILABLE, "%v", err)
	}
	assert.ErrorIs(t, <-failed, spill.ErrUnreadable)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorIs(t, h.Stop(ctx), spill.ErrUnreadable)

	h = startLimitedHost(t, dir, limit, 8*limit, func(err error) { t.Error(err) })
	defer stopHost(t, h)
	runCommand(t, h, keptTurn(40, 10))
	resp, err := begin(h)
	assert.NilError(t, err)
	assert.Equal(t, len(resp.Chain), 1)
	assert.Equal(t, len(resp.Chain[0].Input), 64<<10)
}
