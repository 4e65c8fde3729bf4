package backend

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestResetServiceResponseWithoutLengthIsNotComplete has a connection that is reset in the middle of a response that only its end would complete.
func TestResetServiceResponseWithoutLengthIsNotComplete(t *testing.T) {
	reset := func(conn *net.TCPConn) error {
		time.Sleep(50 * time.Millisecond) // the client reads the start before the reset
		return conn.SetLinger(0)
	}
	got, err := callServiceEnding(t, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n[1,2", reset)
	assert.Assert(t, err != nil, "the response looks complete: status %d, %q", got.Status, got.Body)
	assert.ErrorIs(t, err, ErrConnectionLost)
}
