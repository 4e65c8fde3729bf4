package tcp

import (
	"context"
	"net"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// listenOnLocalPort opens a connection and returns the error of a listener on its local address.
func listenOnLocalPort(t *testing.T, dialer *net.Dialer) error {
	t.Helper()
	ctx := context.Background()
	server, err := ListenConfig().Listen(ctx, "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer server.Close()
	conn, err := dialer.DialContext(ctx, "tcp", server.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	listener, err := ListenConfig().Listen(ctx, "tcp", conn.LocalAddr().String())
	if err != nil {
		return err
	}
	return listener.Close()
}

// Guards against processes that do not start while another one has a connection from their port.
func TestConnectionDoesNotTakeThePortOfAListener(t *testing.T) {
	assert.NilError(t, listenOnLocalPort(t, Dialer()))
}

// Shows that the option of the connection is needed.
func TestOrdinaryConnectionTakesThePortOfAListener(t *testing.T) {
	assert.ErrorIs(t, listenOnLocalPort(t, new(net.Dialer)), syscall.EADDRINUSE)
}
