package transport

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/yamux"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/rpcpb"
)

// TestSlowLargeRequestDoesNotStopOthers has a peer that begins a large request and stands still. The
// requests of others, large ones too, must be served meanwhile.
func TestSlowLargeRequestDoesNotStopOthers(t *testing.T) {
	server := NewServer(hclog.NewNullLogger())
	server.LimitLargeRequests(9 << 20)
	server.Handle(echoMethod, SharedUnary(echo))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	session, err := yamux.Client(conn, sessionConfig())
	assert.NilError(t, err)
	defer session.Close()
	sendHalf(session, echoMethod, 128<<10)
	time.Sleep(200 * time.Millisecond)
	pool := NewPool(DialTCP)
	defer pool.Close()
	for _, size := range []int{10, 100 << 10, 10} {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		req := &rpcpb.Announcement{Server: string(make([]byte, size))}
		assert.NilError(t, pool.CallShared(ctx, listener.Addr().String(), echoMethod, req, new(rpcpb.Announcement)), "%d bytes", size)
	}
}
