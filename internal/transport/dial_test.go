package transport

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// countedConn counts the connections that are not closed.
type countedConn struct {
	net.Conn
	open *atomic.Int32
}

func (c countedConn) Close() error {
	c.open.Add(-1)
	return nil
}

// hostThatStarts returns a dial function for a host that drops all connection requests
// until it starts, and the number of its open connections.
func hostThatStarts(at time.Time) (func(context.Context) (net.Conn, error), *atomic.Int32) {
	open := new(atomic.Int32)
	return func(ctx context.Context) (net.Conn, error) {
		if time.Now().Before(at) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		time.Sleep(time.Millisecond)
		open.Add(1)
		return countedConn{open: open}, nil
	}, open
}

// TestHostIsReachedSoonAfterItStarts guards against waiting for the timeout of an attempt
// whose SYN was lost while the host was down.
func TestHostIsReachedSoonAfterItStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		up := time.Now().Add(200 * time.Millisecond)
		dial, open := hostThatStarts(up)
		conn, err := firstAnswer(ctx, dial)
		assert.NilError(t, err)
		assert.Assert(t, time.Since(up) <= dialInterval+time.Millisecond, "reached %s after it started", time.Since(up))
		assert.NilError(t, conn.Close())
		synctest.Wait()
		assert.Equal(t, open.Load(), int32(0))
	})
}

// TestLateConnectionsAreClosed lets two attempts succeed.
func TestLateConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		open := new(atomic.Int32)
		slow := func(context.Context) (net.Conn, error) {
			time.Sleep(100 * time.Millisecond)
			open.Add(1)
			return countedConn{open: open}, nil
		}
		_, err := firstAnswer(t.Context(), slow)
		assert.NilError(t, err)
		time.Sleep(time.Second)
		assert.Equal(t, open.Load(), int32(1))
	})
}

func TestRefusalEndsTheAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused := errors.New("connection refused")
		start := time.Now()
		_, err := firstAnswer(t.Context(), func(context.Context) (net.Conn, error) { return nil, refused })
		assert.ErrorIs(t, err, refused)
		assert.Equal(t, time.Since(start), time.Duration(0))
	})
}

func TestAttemptsEndWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		dial, _ := hostThatStarts(time.Now().Add(time.Hour))
		_, err := firstAnswer(ctx, dial)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
	})
}
