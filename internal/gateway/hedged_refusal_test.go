package gateway

import (
	"context"
	"errors"
	"net"
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

// TestHedgedRefusalDoesNotHideAReservation has a full ledger refuse both copies of a turn, the hedged
// one last. Only the other one knows of an attempt that may have reserved.
func TestHedgedRefusalDoesNotHideAReservation(t *testing.T) {
	var attempts atomic.Int64
	hedged, refused := make(chan struct{}), make(chan struct{})
	server := transport.NewServer(hclog.NewNullLogger())
	server.Handle(transport.MethodLedger, transport.SharedUnary(func(context.Context, *ledgerpb.Request) (*ledgerpb.Response, error) {
		switch attempts.Add(1) {
		case 1:
			<-hedged
			return nil, transport.Errorf(rpcpb.Code_CODE_TIMEOUT, "no quorum")
		case 2:
			close(hedged)
			<-refused
			time.Sleep(50 * time.Millisecond) // the other refusal arrives first
		default:
			close(refused)
		}
		return nil, &transport.Error{Code: rpcpb.Code_CODE_EXHAUSTED, RetryAfter: time.Second}
	}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	pool, hedgePool := transport.NewPool(transport.DialTCP), transport.NewPool(transport.DialTCP)
	defer pool.Close()
	defer hedgePool.Close()
	ledger := newRemoteLedger(pool, hedgePool, func() []string { return []string{listener.Addr().String()} }, telemetry.NewMetrics())
	_, err = ledger.begin(t.Context(), "", &RequestMeta{ID: "a", Program: "p"}, nil, queueOptions{sendBy: time.Now().Add(time.Minute)})
	assert.Equal(t, refusalOf(err).Reason, reasonLedgerFull)
	assert.Assert(t, errors.Is(err, errMayBeReserved), "%v", err)
}
