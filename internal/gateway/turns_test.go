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

// TestGateLimitsRequestsToLedgerWithoutQuorum sends a burst of turns while the ledger has
// no quorum. Without the limit, all of them would be pending at the state host.
func TestGateLimitsRequestsToLedgerWithoutQuorum(t *testing.T) {
	var running, maxRunning atomic.Int64
	server := transport.NewServer(hclog.NewNullLogger())
	release := make(chan struct{})
	server.Handle(transport.MethodLedger, transport.SharedUnary(func(ctx context.Context, _ *ledgerpb.Request) (*ledgerpb.Response, error) {
		n := running.Add(1)
		defer running.Add(-1)
		for seen := maxRunning.Load(); n > seen && !maxRunning.CompareAndSwap(seen, n); seen = maxRunning.Load() {
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
	ledger := newRemoteLedger(pool, pool, addresses, telemetry.NewMetrics())

	ctx, cancel := context.WithTimeout(t.Context(), 3*ledgerTimeout)
	defer cancel()
	results := make(chan error, 400)
	for i := range cap(results) {
		go func() {
			_, err := ledger.begin(ctx, "", &RequestMeta{ID: fmt.Sprint(i), Program: "p"}, nil, queueOptions{sendBy: time.Now().Add(time.Minute)})
			results <- err
		}()
	}
	for range cap(results) {
		assert.ErrorIs(t, <-results, leaderclient.ErrUnavailable)
	}
	// The bound covers hedged requests, and requests that are still running although their
	// caller has given up.
	assert.Assert(t, maxRunning.Load() <= int64(2*(gate.DefaultPolicy().Window.Max+maxHedges)), "%d concurrent requests at the state host", maxRunning.Load())
	close(release)
	_, err = ledger.begin(t.Context(), "", &RequestMeta{ID: "later", Program: "p"}, nil, queueOptions{sendBy: time.Now().Add(time.Minute)})
	assert.NilError(t, err)
}

// TestTurnIsNotSentAfterDeadline has an overloaded ledger. A turn that is still queued at
// its send deadline is refused and holds no reservation.
func TestTurnIsNotSentAfterDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := transport.NewPool(transport.DialTCP)
		defer pool.Close()
		ledger := newRemoteLedger(pool, pool, func() []string { return nil }, telemetry.NewMetrics())
		fillGate(t, ledger.gate)
		start := time.Now()
		_, err := ledger.begin(t.Context(), "", &RequestMeta{ID: "1", Program: "p"}, nil, queueOptions{sendBy: start.Add(time.Second)})
		assert.ErrorIs(t, err, leaderclient.ErrUnavailable)
		assert.Assert(t, !errors.Is(err, errMayBeReserved))
		assert.Equal(t, time.Since(start), time.Second)
	})
}
