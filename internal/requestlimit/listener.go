package requestlimit

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ibistray.example/ibistray/internal/policy/memory"
	"ibistray.example/ibistray/internal/tcp"
)

// Listener limits the requests on the connections that it accepts.
type Listener struct {
	net.Listener
	limits    Limits
	started   time.Time
	lingering atomic.Int32
	open      sync.Map // *Conn to struct{}; empty unless connections are limited
	count     atomic.Int64
}

// NewListener returns a listener of TCP connections with limits.
func NewListener(inner net.Listener, limits Limits) *Listener {
	tcp.LimitReceived(inner, ReceiveBytes)
	return &Listener{Listener: inner, limits: limits, started: time.Now()}
}

// now returns the time on the clock of the listener, which is never 0.
func (l *Listener) now() int64 { return int64(time.Since(l.started)) + 1 }

// Accept returns the next connection, which is a *Conn. One beyond the limit is closed unless others
// can be closed in its place.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		socket, ok := inner.(*net.TCPConn)
		if !ok {
			inner.Close()
			return nil, fmt.Errorf("requestlimit: connection of type %T", inner)
		}
		c := &Conn{Conn: inner, socket: socket, limits: l.limits, owner: l}
		c.state.Store(l.now())
		if l.add(c) {
			return c, nil
		}
		count(reasonConnections)
		inner.Close()
	}
}

// add reports whether there is room for a connection. It closes others if that makes room.
func (l *Listener) add(c *Conn) bool {
	limit := int64(l.limits.Connections)
	if limit <= 0 {
		return true
	}
	if l.count.Load() >= limit {
		l.closeWaiting()
	}
	if l.count.Load() >= limit {
		return false
	}
	l.count.Add(1)
	l.open.Store(c, struct{}{})
	return true
}

// closedAtOnce is the share of a limit that is closed when it is reached, so that the connections
// are not looked through for each new one.
const closedAtOnce = 16

// closeWaiting closes the connections that have waited longest for a request, if they may be closed.
func (l *Listener) closeWaiting() {
	type waiting struct {
		conn  *Conn
		since int64
	}
	now := l.now()
	var list []waiting
	l.open.Range(func(key, _ any) bool {
		c := key.(*Conn)
		if since := c.state.Load(); since > 0 && memory.MayClose(time.Duration(now-since)) {
			list = append(list, waiting{c, since})
		}
		return true
	})
	slices.SortFunc(list, func(a, b waiting) int { return cmp.Compare(a.since, b.since) })
	for _, w := range list[:min(len(list), 1+l.limits.Connections/closedAtOnce)] {
		if w.conn.state.CompareAndSwap(w.since, stateClosed) {
			count(reasonConnections)
			l.remove(w.conn)
			w.conn.Conn.Close()
		}
	}
}

func (l *Listener) remove(c *Conn) {
	if _, found := l.open.LoadAndDelete(c); found {
		l.count.Add(-1)
	}
}

// States of a connection other than the time since which it waits for a request.
const (
	stateClosed  = 0  // closed by the listener
	stateRunning = -1 // a request has arrived and has no response yet
)

// waitForRequest records that the connection waits for a request.
func (c *Conn) waitForRequest() {
	c.state.CompareAndSwap(stateRunning, c.owner.now())
}

// beginRequest records that a request has arrived. It returns false if the listener has closed the
// connection: the request could not be answered and must not run.
func (c *Conn) beginRequest() bool {
	for {
		state := c.state.Load()
		if state == stateClosed {
			return false
		}
		if c.state.CompareAndSwap(state, stateRunning) {
			return true
		}
	}
}
