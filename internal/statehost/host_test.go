package statehost

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/fleet"
	"ibistray.example/ibistray/internal/routing"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/ledgerpb"
	"ibistray.example/ibistray/proto/rpcpb"
)

// newTestHost returns a state host without a server, so that other hosts cannot reach it.
// Its address is the first seed.
func newTestHost(t *testing.T, dir string, seeds ...string) *Host {
	t.Helper()
	return openTestHost(t, dir, func(*Config) {}, seeds...)
}

// openTestHost is newTestHost with changes to the configuration.
func openTestHost(t *testing.T, dir string, change func(*Config), seeds ...string) *Host {
	t.Helper()
	pool := transport.NewPool(transport.DialTCPTimeout(10 * time.Millisecond))
	t.Cleanup(pool.Close)
	cfg := Config{
		Name:              "host",
		Address:           seeds[0],
		DataDir:           dir,
		Bootstrap:         true,
		Seeds:             func() []string { return seeds },
		DecodeRoutes:      func([]byte) (*routing.Document, error) { return &routing.Document{Version: 1}, nil },
		HeartbeatInterval: time.Second,
	}
	change(&cfg)
	h, err := New(cfg, hclog.NewNullLogger(), prometheus.NewRegistry(), pool, func(error) {})
	assert.NilError(t, err)
	return h
}

func stopHost(t *testing.T, h *Host) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.NilError(t, h.Stop(ctx))
}

func testInstance(sequence uint64) *fleet.Instance {
	return &fleet.Instance{ID: "i-1", Service: "s", Address: "10.0.0.1:80", StartUnixMs: 1, Sequence: sequence, LastHeartbeat: time.Now()}
}

func TestIsolatedHostRefusesHeartbeats(t *testing.T) {
	h := newTestHost(t, t.TempDir(), "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
	defer stopHost(t, h)
	assert.ErrorIs(t, h.Heartbeat(testInstance(1)), ErrIsolated)
	assert.ErrorIs(t, h.Deregister("i-1", 0), ErrIsolated)
	assert.Equal(t, len(h.servers.NewestByAddress(nil)), 0)
}

func TestSingleHostAcceptsHeartbeats(t *testing.T) {
	h := newTestHost(t, t.TempDir(), "127.0.0.1:1")
	defer stopHost(t, h)
	assert.NilError(t, h.Heartbeat(testInstance(1)))
	assert.ErrorIs(t, h.Heartbeat(&fleet.Instance{ID: "i-2"}), fleet.ErrInvalid)
	assert.NilError(t, h.Deregister("i-1", 0))
}

func TestServersAreRestoredAfterRestart(t *testing.T) {
	dir := t.TempDir()
	h := newTestHost(t, dir, "127.0.0.1:1")
	assert.NilError(t, h.Heartbeat(testInstance(7)))
	h.persistServers(t.Context())
	stopHost(t, h)

	next := newTestHost(t, dir, "127.0.0.1:1")
	all := next.servers.NewestByAddress(nil)
	assert.Equal(t, len(all), 1)
	assert.Equal(t, all[0].Sequence, uint64(7))
	// The server counts as silent unless a heartbeat arrives in time.
	later := time.Now().Add(restoredServerTimeout + time.Second)
	assert.Equal(t, len(next.servers.MarkSilent(later, maxMissedHeartbeats*next.cfg.HeartbeatInterval)), 1)
	assert.NilError(t, next.Heartbeat(testInstance(8)))
	assert.Assert(t, !next.servers.NewestByAddress(nil)[0].Silent)
	stopHost(t, next)
}

func TestDamagedServersFileIsIgnored(t *testing.T) {
	dir := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(dir, serversFile), []byte("\xff\xffdamaged"), 0o600))
	h := newTestHost(t, dir, "127.0.0.1:1")
	defer stopHost(t, h)
	assert.Equal(t, len(h.servers.NewestByAddress(nil)), 0)
}

// TestPendingCommandsAreLimited guards against a leader without a quorum that queues
// commands without limit and cannot work off the backlog afterwards: commands beyond the
// limit must be refused at once, and finished ones must not count.
func TestPendingCommandsAreLimited(t *testing.T) {
	h := newTestHost(t, t.TempDir(), "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
	defer stopHost(t, h)
	h.pendingCommands.Store(maxPendingCommands)
	_, err := h.proposeToLedger(t.Context(), "begin 1", []byte("x"))
	assert.Equal(t, transport.CodeOf(err), rpcpb.Code_CODE_UNAVAILABLE)
	assert.Equal(t, h.pendingCommands.Load(), int64(maxPendingCommands))
	h.pendingCommands.Store(0)
	_, err = h.proposeToLedger(t.Context(), "begin 1", []byte("x"))
	assert.Assert(t, err != nil, "a host that leads no group accepted a command")
	assert.Equal(t, h.pendingCommands.Load(), int64(0))
}

// TestCommandsOfAccountsShareNoProposal has accounts that use the same call ID.
func TestCommandsOfAccountsShareNoProposal(t *testing.T) {
	keys := make(map[string]bool)
	for _, account := range []string{"", "a", "b", "a 1", `a" "1`} {
		keys[commandKey(&ledgerpb.Command{Kind: &ledgerpb.Command_Begin{Begin: &ledgerpb.Begin{Account: account, CallId: "1"}}})] = true
		keys[commandKey(&ledgerpb.Command{Kind: &ledgerpb.Command_Finish{Finish: &ledgerpb.Finish{Account: account, CallId: "1"}}})] = true
		keys[commandKey(&ledgerpb.Command{Kind: &ledgerpb.Command_OpenStream{OpenStream: &ledgerpb.OpenStream{Account: account, CallId: "1"}}})] = true
	}
	assert.Equal(t, len(keys), 15)
}
