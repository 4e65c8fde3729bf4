package listener

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/localcluster"
)

// newConfig returns a configuration and a channel that gets each log line.
func newConfig() (Config, chan string) {
	lines := make(chan string, 100)
	return Config{Log: hclog.New(&hclog.LoggerOptions{Output: lineWriter(lines)})}, lines
}

type lineWriter chan string

func (w lineWriter) Write(line []byte) (int, error) {
	w <- string(line)
	return len(line), nil
}

// TestAddressInUseIsWaitedFor guards against processes that end since a predecessor, or an outgoing
// connection, has one of their addresses for a moment.
func TestAddressInUseIsWaitedFor(t *testing.T) {
	addresses, err := localcluster.FreeAddresses(2)
	assert.NilError(t, err)
	other, err := net.Listen("tcp", addresses[1])
	assert.NilError(t, err)
	config, lines := newConfig()
	result := make(chan []net.Listener)
	go func() {
		listeners, err := config.Listen(t.Context(), addresses...)
		assert.Check(t, err)
		result <- listeners
	}()
	<-lines
	// The free address is not held meanwhile: a client that connects is refused at once.
	for held := true; held; {
		conn, err := net.DialTimeout("tcp", addresses[0], time.Second)
		if held = err == nil; held {
			conn.Close()
		}
	}
	assert.NilError(t, other.Close())
	listeners := <-result
	defer CloseAll(listeners)
	assert.Equal(t, len(listeners), 2)
	for i, l := range listeners {
		assert.Equal(t, l.Addr().String(), addresses[i])
	}
	assert.Assert(t, len(lines) == 1, "one line when it begins to wait, one when it listens")
}

func TestStopEndsTheWaitForAnAddress(t *testing.T) {
	other, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer other.Close()
	config, lines := newConfig()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-lines
		cancel()
	}()
	_, err = config.Listen(ctx, other.Addr().String())
	assert.ErrorIs(t, err, context.Canceled)
}

func TestUnusableAddressIsAnError(t *testing.T) {
	config, _ := newConfig()
	for _, address := range []string{"192.0.2.1:1", "127.0.0.1", "127.0.0.1:no-port"} {
		_, err := config.Listen(t.Context(), address)
		assert.Assert(t, err != nil, address)
	}
}

// failingListener fails with each of errs in order and then returns connections.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Addr() net.Addr { return new(net.TCPAddr) }

func (l *failingListener) Close() error { return nil }

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return new(net.TCPConn), nil
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
}

// TestAcceptSurvivesALackOfResources guards against servers that a failed accept ends.
func TestAcceptSurvivesALackOfResources(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		errs := []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPROTO, syscall.EPERM, syscall.EHOSTUNREACH}
		config, lines := newConfig()
		l := config.newListener(&failingListener{errs: errs})
		conn, err := l.Accept()
		assert.NilError(t, err)
		assert.Assert(t, conn != nil)
		assert.Equal(t, len(lines), 1)
	})
}

func TestCloseEndsTheWaitForResources(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config, _ := newConfig()
		l := config.newListener(&failingListener{errs: []error{syscall.EMFILE, syscall.EBADF}})
		go l.Close()
		_, err := l.Accept()
		assert.ErrorIs(t, err, net.ErrClosed)
	})
}
