package passthrough

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// largeRequest has a body that does not fit into the socket buffers.
var largeRequest = &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: []byte(strings.Repeat("x", 32<<20))}

// observedConn reports the error that ends a write. It hides the writev of the TCP
// connection, so that each write passes through Write.
type observedConn struct {
	net.Conn
	writeFailed chan error
}

func (c *observedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeFailed <- err
	}
	return n, err
}

func (c *observedConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// addObservedConn adds an idle connection to the pool, which the next exchange uses. The
// channel receives the error of a write on it.
func addObservedConn(t *testing.T, p *Pool, server Server) <-chan error {
	t.Helper()
	c, err := p.dial(testContext(t), server.Address)
	assert.NilError(t, err)
	writeFailed := make(chan error, 1)
	c.net = &observedConn{Conn: c.net, writeFailed: writeFailed}
	c.idleTimeout = time.Hour
	p.putIdle(server, c)
	return writeFailed
}

func resetConn(c *net.TCPConn) error {
	if err := c.SetLinger(0); err != nil {
		return err
	}
	return c.Close()
}

func closeWriteAndReset(c *net.TCPConn) error {
	if err := c.CloseWrite(); err != nil {
		return err
	}
	return resetConn(c)
}

// startEarlyServer returns a server that responds without a length before it has read the
// request body. It calls endConn when the returned function is called.
func startEarlyServer(t *testing.T, endConn func(c *net.TCPConn) error) (Server, func()) {
	t.Helper()
	end := make(chan struct{})
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	server := startRawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\nto the end")
		<-end
		if err := endConn(c.(*net.TCPConn)); err != nil {
			t.Error(err)
		}
		<-release
	})
	return server, func() { close(end) }
}

// TestResponseWithoutLengthBeforeBodyIsRead checks the end of a response that has no
// length and comes while a long request body is still being written. The kernel reports a
// reset once: if the write receives it, the next read returns a plain end of file.
func TestResponseWithoutLengthBeforeBodyIsRead(t *testing.T) {
	cases := []struct {
		name       string
		endConn    func(c *net.TCPConn) error
		writeError error // awaited before the body is read, nil if the write stays blocked
		want       error // from reading the body
	}{
		{"closed", (*net.TCPConn).CloseWrite, nil, nil},
		{"closed and then reset", closeWriteAndReset, syscall.EPIPE, nil},
		{"reset", resetConn, syscall.ECONNRESET, ErrConnectionLost},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p, dials := newCountingPool(t)
			server, end := startEarlyServer(t, tc.endConn)
			writeFailed := addObservedConn(t, p, server)
			e, err := p.Do(testContext(t), server, largeRequest)
			assert.NilError(t, err)
			assert.Equal(t, dials.Load(), int64(0))
			end()
			if tc.writeError != nil {
				assert.ErrorIs(t, <-writeFailed, tc.writeError)
			}
			data, err := io.ReadAll(e.Body)
			assert.Equal(t, string(data), "to the end")
			assert.ErrorIs(t, err, tc.want)
			_, err = io.ReadAll(e.Body)
			assert.ErrorIs(t, err, tc.want, "read again")
			e.Close(err == nil)
			assert.Assert(t, p.popIdle(server, "") == nil)
		})
	}
}
