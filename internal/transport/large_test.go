package transport

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/rpcpb"
)

// TestLargeRequestsAreHandledWithinTheLimit guards against a server that holds all large requests that
// its clients send at the same time.
func TestLargeRequestsAreHandledWithinTheLimit(t *testing.T) {
	const limit, requestBytes, clients, calls = 1 << 20, 400 << 10, 3, 6
	var running, most atomic.Int64
	server := NewServer(hclog.NewNullLogger())
	server.LimitLargeRequests(limit)
	server.Handle("large", SharedUnary(func(_ context.Context, _ *rpcpb.SnapshotChunk) (*rpcpb.Empty, error) {
		n := running.Add(1)
		for seen := most.Load(); n > seen && !most.CompareAndSwap(seen, n); seen = most.Load() {
		}
		time.Sleep(5 * time.Millisecond)
		running.Add(-1)
		return new(rpcpb.Empty), nil
	}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	done := make(chan error, clients*calls)
	for range clients {
		pool := NewPool(DialTCP)
		defer pool.Close()
		for call := range calls {
			size := requestBytes
			if call == 0 {
				size = 3 * limit // handled alone
			}
			go func() {
				done <- pool.CallShared(t.Context(), listener.Addr().String(), "large", &rpcpb.SnapshotChunk{Data: make([]byte, size)}, new(rpcpb.Empty))
			}()
		}
	}
	for range clients * calls {
		assert.NilError(t, <-done)
	}
	// A message on the way carries at most two of these requests.
	assert.Assert(t, most.Load() <= limit/requestBytes, "%d requests at the same time", most.Load())
}
