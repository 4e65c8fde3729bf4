package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"net"

	"ibistray.example/ibistray/internal/leaderclient"
	"ibistray.example/ibistray/internal/policy/gate"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/ledgerpb"
	"ibistray.example/ibistray/proto/rpcpb"
)

// TestLedgerWithoutALeaderIsNotFlooded replays the load of a burst while the ledger has
// no quorum: hundreds of turns wait, a few are at the state host.
func TestLedgerWithoutALeaderIsNotFlooded(t *testing.T) {
	var running, most atomic.Int64
	server := transport.NewServer(hclog.NewNullLogger())
	release := make(chan struct{})
	server.Handle(transport.MethodLedger, transport.Shared(func(ctx context.Context, _ *ledgerpb.Request) (*ledgerpb.Response, error) {
		n := running.Add(1)
		defer running.Add(-1)
		for seen := most.Load(); n > seen && !most.CompareAndSwap(seen, n); seen = most.Load() {
		}
		select {
		case <-release:
		case <-ctx.Done():
			return nil, transport.Errorf(rpcpb.Code_CODE_TIMEOUT, "no quorum")
		}
		return &ledgerpb.Response{}, nil
	}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	pool := transport.NewPool(transport.DialTCP)
	defer pool.Close()
	addresses := func() []string { return []string{listener.Addr().String()} }
	turns := newTurns(pool, pool, addresses, telemetry.NewMetrics())

	ctx, cancel := context.WithTimeout(t.Context(), 3*ledgerTimeout)
	defer cancel()
	results := make(chan error, 400)
	for i := range cap(results) {
		go func() {
			_, err := turns.begin(ctx, &RequestMeta{ID: fmt.Sprint(i), Program: "p"}, turnRank{sendBy: time.Now().Add(time.Minute)})
			results <- err
		}()
	}
	for range cap(results) {
		assert.ErrorIs(t, <-results, leaderclient.ErrUnavailable)
	}
	// Beside the requests there are hedged copies, and some whose callers gave up.
	assert.Assert(t, most.Load() <= int64(2*(gate.DefaultPolicy().Window.Max+maxHedges)), "%d at the state host", most.Load())
	close(release)
	_, err = turns.begin(t.Context(), &RequestMeta{ID: "later", Program: "p"}, turnRank{sendBy: time.Now().Add(time.Minute)})
	assert.NilError(t, err)
}

// TestTurnIsNotSentAfterItsTime replays a ledger with too much to do: a turn that still
// waits to be sent when its client should come back is refused, and holds nothing.
func TestTurnIsNotSentAfterItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := transport.NewPool(transport.DialTCP)
		defer pool.Close()
		turns := newTurns(pool, pool, func() []string { return nil }, telemetry.NewMetrics())
		fill(t, turns.gate)
		begun := time.Now()
		_, err := turns.begin(t.Context(), &RequestMeta{ID: "1", Program: "p"}, turnRank{sendBy: begun.Add(time.Second)})
		assert.ErrorIs(t, err, leaderclient.ErrUnavailable)
		assert.Assert(t, !errors.Is(err, errMayBeReserved))
		assert.Equal(t, time.Since(begun), time.Second)
	})
}
