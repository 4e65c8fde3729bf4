package backend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestResetServiceResponseWithoutLengthIsNotComplete has a connection that is reset in the middle of a response that only its end would complete.
func TestResetServiceResponseWithoutLengthIsNotComplete(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- resetInResponse(listener) }()
	client, err := New("http://" + listener.Addr().String())
	assert.NilError(t, err)
	got, err := client.CallService(t.Context(), "service", "operation", "id", []byte("{}"))
	assert.NilError(t, <-served)
	assert.Assert(t, err != nil, "the response looks complete: status %d, %q", got.Status, got.Body)
	assert.ErrorIs(t, err, ErrConnectionLost)
}

// resetInResponse accepts one connection, sends the start of a response and resets the connection.
func resetInResponse(listener net.Listener) error {
	defer listener.Close()
	conn, err := listener.Accept()
	if err != nil {
		return err
	}
	defer conn.Close()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return err
	}
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n[1,2"); err != nil {
		return err
	}
	time.Sleep(50 * time.Millisecond) // the client reads the start before the reset
	return conn.(*net.TCPConn).SetLinger(0)
}
