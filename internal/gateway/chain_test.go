package gateway

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/leaderclient"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/ledgerpb"
)

// TestLongChainPrecedesTheBody has a turn whose earlier turns are fetched in parts.
func TestLongChainPrecedesTheBody(t *testing.T) {
	server := newBackend(t, "a", streamEvents(1, 2, true))
	f := newFixture(t, server)
	f.ledger.previous.long.size, f.ledger.chain = 9, "in 1out 1"
	got := f.send(t, http.MethodPost, "/chat/x", "in 2", "Id", "2", "Program", "p", "Previous", "1")
	assert.Equal(t, got.status, http.StatusOK)
	assert.DeepEqual(t, server.executed(), []string{"2:in 1out 1in 2"})
	assert.Equal(t, string((<-f.ledger.settled).Input), "in 2")
}

// TestTurnWithoutItsLongChainIsNotRun guards against a turn that runs with a part of its history.
func TestTurnWithoutItsLongChainIsNotRun(t *testing.T) {
	for _, err := range []error{errChainBroken, leaderclient.ErrUnavailable, leaderclient.ErrRefused} {
		server := newBackend(t, "a", streamEvents(1, 2, true))
		f := newFixture(t, server)
		f.ledger.previous.long.size, f.ledger.chain, f.ledger.chainErr = 9, "in 1", err
		got := f.send(t, http.MethodPost, "/chat/x", "in 2", "Id", "2", "Program", "p", "Previous", "1")
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Equal(t, len(server.executed()), 0)
		assert.Assert(t, !(<-f.ledger.settled).Keep)
	}
}

// TestFetchedChainIsVerified has a leader that returns the chain as it is, with another byte, too
// short and too long, in parts of two bytes.
func TestFetchedChainIsVerified(t *testing.T) {
	const content = "in 1out 1"
	for served, want := range map[string]error{content: nil, "in 1out 2": errChainBroken, "in 1": errChainBroken, content + "in 2": errChainBroken} {
		server := transport.NewServer(hclog.NewNullLogger())
		server.Handle(transport.MethodLedgerChain, transport.SharedUnary(func(_ context.Context, req *ledgerpb.ChainRequest) (*ledgerpb.ChainPart, error) {
			assert.Check(t, req.Account == "customer" && req.CallId == "1")
			rest := served[min(int(req.Offset), len(served)):]
			return &ledgerpb.ChainPart{Content: []byte(rest[:min(2, len(rest))])}, nil
		}))
		pool := transport.NewPool(func(string) (net.Conn, error) {
			near, far := net.Pipe()
			server.ServeConn(far)
			return near, nil
		})
		l := newRemoteLedger(pool, pool, func() []string { return []string{"leader"} }, telemetry.NewMetrics())
		chain := longChain{size: int64(len(content)), checksum: xxhash.Sum64String(content)}
		got, err := l.fetchChain(t.Context(), "customer", "1", chain, []byte("before "))
		assert.ErrorIs(t, err, want)
		if want == nil {
			assert.Equal(t, string(got), "before "+content)
		}
		pool.Close()
		server.Close()
	}
}
