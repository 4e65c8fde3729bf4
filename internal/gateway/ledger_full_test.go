package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/ledgerpb"
	"ibistray.example/ibistray/proto/rpcpb"
)

// TestFirstTurnIsRefusedByAFullLedger covers what the leader learns of a turn, and the refusal that
// the client gets.
func TestFirstTurnIsRefusedByAFullLedger(t *testing.T) {
	var attempts atomic.Int64
	requests := make(chan *ledgerpb.Request, 1)
	server := transport.NewServer(hclog.NewNullLogger())
	server.Handle(transport.MethodLedger, transport.SharedUnary(func(_ context.Context, req *ledgerpb.Request) (*ledgerpb.Response, error) {
		if attempts.Add(1) == 1 {
			return nil, transport.Errorf(rpcpb.Code_CODE_TIMEOUT, "no quorum")
		}
		requests <- req
		return nil, &transport.Error{Code: rpcpb.Code_CODE_EXHAUSTED, RetryAfter: 40 * time.Second}
	}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	pool := transport.NewPool(transport.DialTCP)
	defer pool.Close()
	ledger := newRemoteLedger(pool, pool, func() []string { return []string{listener.Addr().String()} }, telemetry.NewMetrics())
	_, err = ledger.begin(t.Context(), "", &RequestMeta{ID: "a", Program: "p"}, nil, queueOptions{sendBy: time.Now().Add(time.Minute)})
	assert.Equal(t, refusalOf(err).Reason, reasonLedgerFull)
	assert.Assert(t, errors.Is(err, errMayBeReserved), "the first attempt may have reserved: %v", err)
	<-requests
	for _, kept := range []bool{true, false} {
		opts := queueOptions{priority: 2, kept: kept, sendBy: time.Now().Add(time.Minute)}
		_, err := ledger.begin(t.Context(), "", &RequestMeta{ID: "a", Program: "p"}, nil, opts)
		assert.Equal(t, refusalOf(err), refusal{reasonLedgerFull, http.StatusServiceUnavailable, true})
		assert.Assert(t, !errors.Is(err, errMayBeReserved))
		after := retryAfter(err)
		assert.Assert(t, after >= 40*time.Second && after < 41*time.Second, "retry after %s", after)
		req := <-requests
		assert.Equal(t, req.TurnNotKept, !kept)
		assert.Equal(t, req.RoutePriority, uint32(2))
	}
}
