// Package listener opens TCP listeners and accepts connections on them. What may pass by itself,
// such as an address in use or a lack of descriptors, does not end a process: it is tried again.
package listener

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/tcp"
	"ibistray.example/ibistray/internal/telemetry"
)

const (
	// retryInterval is the pause between two attempts to listen.
	retryInterval = 100 * time.Millisecond
	// The pause after a failed Accept doubles with each failure in a row.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
	// acceptLogInterval is the minimum time between two log lines about failed Accepts.
	acceptLogInterval = 5 * time.Second
)

// Config says how connections are accepted.
type Config struct {
	Log       hclog.Logger
	KeepAlive net.KeepAliveConfig // the zero value: the defaults of package net
}

// Listen listens on all addresses or on none: while one of them is in use, or while the host lacks
// resources, it holds none of them and tries again. If ctx ends before, it returns its error and
// the last one. It returns other errors, such as an address of another host, at once. The
// listeners' Accept returns an error only once the listener is closed or broken.
func (c Config) Listen(ctx context.Context, addresses ...string) ([]net.Listener, error) {
	for waiting := false; ; waiting = true {
		listeners, err := c.listenOnce(ctx, addresses)
		if err == nil && waiting {
			c.Log.Info("listening", "addresses", addresses)
		}
		if !passes(err) {
			return listeners, err
		}
		telemetry.ListenFailures.Inc()
		if !waiting {
			c.Log.Error("cannot listen yet: waiting for the address", "error", err)
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %w", ctx.Err(), err)
		case <-time.After(retryInterval):
		}
	}
}

func (c Config) listenOnce(ctx context.Context, addresses []string) ([]net.Listener, error) {
	config := tcp.ListenConfig()
	config.KeepAliveConfig = c.KeepAlive
	var listeners []net.Listener
	for _, address := range addresses {
		inner, err := config.Listen(ctx, "tcp", address)
		if err != nil {
			CloseAll(listeners)
			return nil, fmt.Errorf("listener: %w", err)
		}
		listeners = append(listeners, c.newListener(inner))
	}
	return listeners, nil
}

// passes reports whether listening may succeed later without a change of the settings.
func passes(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) &&
		slices.Contains([]syscall.Errno{syscall.EADDRINUSE, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}, errno)
}

// CloseAll closes listeners.
func CloseAll(listeners []net.Listener) {
	for _, l := range listeners {
		l.Close()
	}
}

// listener retries failed Accepts. Only one goroutine may accept.
type listener struct {
	net.Listener
	log       hclog.Logger
	closed    chan struct{}
	closeOnce sync.Once
	logged    time.Time // last log line about a failed Accept
}

func (c Config) newListener(inner net.Listener) *listener {
	return &listener{Listener: inner, log: c.Log, closed: make(chan struct{})}
}

// Accept returns the next connection. After an error it tries again, unless the listener is closed
// or no socket that listens.
func (l *listener) Accept() (net.Conn, error) {
	for pause := minAcceptPause; ; pause = min(2*pause, maxAcceptPause) {
		conn, err := l.Listener.Accept()
		if err == nil || broken(err) {
			return conn, err
		}
		telemetry.AcceptFailures.Inc()
		if now := time.Now(); now.Sub(l.logged) >= acceptLogInterval {
			l.logged = now
			l.log.Error("connection not accepted", "address", l.Addr().String(), "error", err)
		}
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(pause):
		}
	}
}

// SyscallConn implements syscall.Conn.
func (l *listener) SyscallConn() (syscall.RawConn, error) {
	inner, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return inner.SyscallConn()
}

// broken reports whether every later Accept fails, too.
func broken(err error) bool {
	return errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.EBADF) || errors.Is(err, syscall.EINVAL) || errors.Is(err, syscall.ENOTSOCK)
}

// Close ends Accept with net.ErrClosed.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
