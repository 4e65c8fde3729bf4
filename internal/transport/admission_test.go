package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/rpcpb"
)

const testUnproven = 20

// startEcho serves a method that answers with an empty message and returns the server's address.
func startEcho(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := NewServer(hclog.NewNullLogger())
	server.LimitUnproven(testUnproven)
	server.Handle("echo", func(_ context.Context, s *Stream) error { return s.Send(&rpcpb.Status{}) })
	go func() { assert.Check(t, server.Serve(l)) }()
	t.Cleanup(server.Close)
	return l.Addr().String()
}

// callEcho calls the method over a new session.
func callEcho(t *testing.T, address string) error {
	t.Helper()
	pool := NewPool(DialTCP)
	defer pool.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	stream, err := pool.Open(ctx, address, "echo")
	if err != nil {
		return err
	}
	defer stream.Close()
	return stream.Recv(&rpcpb.Status{})
}

// TestClientsOfOtherProtocolsGetNoSession guards against sessions, whose goroutines and buffers are
// kept, for clients that do not speak the protocol, zero bytes among them.
func TestClientsOfOtherProtocolsGetNoSession(t *testing.T) {
	address := startEcho(t)
	for _, sent := range []string{"GET / HTTP/1.1\r\n\r\n", strings.Repeat("\x00", 64), strings.Repeat("\r\n", 20), "\x00\x01\x00\x01\x00\x00\x00\x02\x00\x00\x00\x00"} {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		defer conn.Close()
		_, err = io.WriteString(conn, sent)
		assert.NilError(t, err)
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(openTimeout/2)))
		_, err = conn.Read(make([]byte, 1))
		assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "%q: the connection is open", sent)
	}
	assert.NilError(t, callEcho(t, address))
}

// TestSilentConnectionsMakeRoom guards against connections without a session that take all
// descriptors, and against processes that are shut out by them.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	address := startEcho(t)
	var conns []net.Conn
	for range testUnproven + 10 {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		defer conn.Close()
		conns = append(conns, conn)
	}
	assert.NilError(t, callEcho(t, address))
	for _, conn := range conns[:10] {
		_, err := conn.Read(make([]byte, 1))
		assert.Assert(t, err != nil)
	}
}
