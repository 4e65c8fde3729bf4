package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/rpcpb"
)

// stuckConn is a connection whose reads do not notice that it was closed until released.
type stuckConn struct {
	net.Conn
	released chan struct{}
}

func (c *stuckConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		<-c.released
	}
	return n, err
}

// TestReaderEndsWhileItsSessionCloses has a session that waits for its receive loop while it
// closes. A reader that waits that long computes without a pause.
func TestReaderEndsWhileItsSessionCloses(t *testing.T) {
	server := transport.NewServer(hclog.NewNullLogger())
	defer server.Close()
	server.Handle("wait", func(ctx context.Context, _ *transport.Stream) error {
		<-ctx.Done()
		return ctx.Err()
	})
	released := make(chan struct{})
	pool := transport.NewPool(func(string) (net.Conn, error) {
		local, remote := net.Pipe()
		server.ServeConn(remote)
		return &stuckConn{Conn: local, released: released}, nil
	})
	defer pool.Close()
	stream, err := pool.Open(t.Context(), "peer", "wait")
	assert.NilError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- stream.Recv(new(rpcpb.Empty)) }()
	time.Sleep(50 * time.Millisecond) // until the reader waits
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		pool.CloseSession("peer")
	}()
	select {
	case err = <-ended:
	case <-time.After(time.Second):
		err = nil
	}
	assert.Check(t, err != nil, "the reader still runs")
	close(released)
	<-closed
	if err != nil {
		assert.ErrorIs(t, err, transport.ErrInterrupted)
	}
}
