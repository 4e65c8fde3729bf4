// Package listener opens TCP listeners. What may pass by itself, such as an address in use, does
// not end a process: it is tried again.
package listener

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/telemetry"
)

const (
	// retryInterval is the pause between two attempts to listen.
	retryInterval = 100 * time.Millisecond
)

// Config says how connections are accepted.
type Config struct {
	Log       hclog.Logger
	KeepAlive net.KeepAliveConfig // the zero value: the defaults of package net
}

// Listen listens on all addresses or on none: while one of them is in use, or while the host lacks
// resources, it holds none of them and tries again. It returns the error of ctx if that ends before,
// and other errors, such as an address of another host, at once.
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
			return nil, fmt.Errorf("listener: %w", ctx.Err())
		case <-time.After(retryInterval):
		}
	}
}

func (c Config) listenOnce(ctx context.Context, addresses []string) ([]net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: c.KeepAlive}
	var listeners []net.Listener
	for _, address := range addresses {
		inner, err := config.Listen(ctx, "tcp", address)
		if err != nil {
			CloseAll(listeners)
			return nil, fmt.Errorf("listener: %w", err)
		}
		listeners = append(listeners, inner)
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
