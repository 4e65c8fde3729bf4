package tcp

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

var errShared = errors.New("another connection has the same local port")

// listenOnLocalPort opens a connection and returns the error of a listener on its local address. The
// kernel may give the connection the port of an ordinary connection of another process, whose options
// do not matter here; then it opens another one.
func listenOnLocalPort(t *testing.T, dialer *net.Dialer) error {
	t.Helper()
	const attempts = 50
	var err error
	for range attempts {
		if err = listenOnce(t, dialer); !errors.Is(err, errShared) {
			return err
		}
	}
	return err
}

func listenOnce(t *testing.T, dialer *net.Dialer) error {
	t.Helper()
	ctx := context.Background()
	server, err := ListenConfig().Listen(ctx, "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer server.Close()
	conn, err := dialer.DialContext(ctx, "tcp", server.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	listener, err := ListenConfig().Listen(ctx, "tcp", conn.LocalAddr().String())
	if err == nil {
		return listener.Close()
	}
	if sockets := socketsOn(t, conn.LocalAddr()); sockets > 1 {
		return fmt.Errorf("%w: %d sockets on %s: %w", errShared, sockets, conn.LocalAddr(), err)
	}
	return err
}

// socketsOn returns the number of sockets of this machine that have a local address.
func socketsOn(t *testing.T, address net.Addr) int {
	t.Helper()
	table, err := os.ReadFile("/proc/net/tcp")
	assert.NilError(t, err)
	ip, port := address.(*net.TCPAddr).IP.To4(), address.(*net.TCPAddr).Port
	local := fmt.Sprintf(": %02X%02X%02X%02X:%04X ", ip[3], ip[2], ip[1], ip[0], port)
	return strings.Count(string(table), local)
}

// Guards against processes that do not start while another one has a connection from their port.
func TestConnectionDoesNotTakeThePortOfAListener(t *testing.T) {
	assert.NilError(t, listenOnLocalPort(t, Dialer()))
}

// Shows that the option of the connection is needed.
func TestOrdinaryConnectionTakesThePortOfAListener(t *testing.T) {
	assert.ErrorIs(t, listenOnLocalPort(t, new(net.Dialer)), syscall.EADDRINUSE)
}
