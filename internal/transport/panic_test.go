package transport

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/rpcpb"
)

// TestPanicOfAHandlerEndsItsCall guards against a process that ends since one message of a peer makes a
// handler panic.
func TestPanicOfAHandlerEndsItsCall(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := NewServer(hclog.NewNullLogger())
	defer s.Close()
	handle := func(_ context.Context, req *rpcpb.Status) (*rpcpb.Empty, error) {
		if req.Detail == "boom" {
			panic("boom")
		}
		return new(rpcpb.Empty), nil
	}
	s.Handle("one", Unary(handle))
	s.Handle("shared", SharedUnary(handle))
	go func() { assert.Check(t, s.Serve(ln) == nil) }()
	pool := NewPool(DialTCP)
	defer pool.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for _, detail := range []string{"", "boom", ""} {
		want := rpcpb.Code_CODE_OK
		if detail == "boom" {
			want = rpcpb.Code_CODE_INTERNAL
		}
		req := &rpcpb.Status{Detail: detail}
		err := pool.Call(ctx, ln.Addr().String(), "one", req, new(rpcpb.Empty))
		assert.Equal(t, err != nil, detail == "boom", "%v", err)
		assert.Equal(t, CodeOf(err), want)
		err = pool.CallShared(ctx, ln.Addr().String(), "shared", req, new(rpcpb.Empty))
		assert.Equal(t, err != nil, detail == "boom", "%v", err)
		assert.Equal(t, CodeOf(err), want)
	}
}

// TestPanicOfADialFailsItsCalls guards against a process that ends since a connection cannot be opened:
// callers share the attempt, which runs in a goroutine of its own.
func TestPanicOfADialFailsItsCalls(t *testing.T) {
	pool := NewPool(func(string) (net.Conn, error) { panic("boom") })
	defer pool.Close()
	assert.ErrorIs(t, pool.Call(t.Context(), "a", "one", new(rpcpb.Empty), new(rpcpb.Empty)), ErrUnreachable)
	assert.ErrorIs(t, pool.CallShared(t.Context(), "a", "shared", new(rpcpb.Empty), new(rpcpb.Empty)), ErrUnreachable)
	_, err := firstAnswer(t.Context(), func(context.Context) (net.Conn, error) { panic("boom") })
	assert.ErrorContains(t, err, "boom")
}
