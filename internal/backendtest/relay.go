package backendtest

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// relayBufferBytes is the largest number of bytes that a relay reads at once.
const relayBufferBytes = 32 << 10

// Direction is a bit set of the directions of a connection in which a relay drops bytes.
type Direction uint32

// Directions of a relayed connection: to the target of the relay, and to the client
// that connected to it.
const (
	ToTarget Direction = 1 << iota
	ToClient
	BothDirections = ToTarget | ToClient
)

// Relay is a TCP proxy that injects network faults: it can drop or hold back bytes and
// close connections. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   string
	dropMask atomic.Uint32 // directions dropped on every connection

	mu      sync.Mutex
	conns   map[*relayConn]struct{}
	resumed chan struct{} // closed while the relay is not paused
	closed  chan struct{}
	once    sync.Once
}

// relayConn is one proxied connection.
type relayConn struct {
	client, target   *net.TCPConn
	dropMask         atomic.Uint32 // directions dropped until this connection ends
	activeDirections atomic.Int32  // directions that are still forwarded
}

// NewRelay starts a relay on a loopback port. The caller closes it.
func NewRelay(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", defaultListen)
	if err != nil {
		return nil, fmt.Errorf("start relay to %s: %w", target, err)
	}
	r := &Relay{
		listener: listener,
		target:   target,
		conns:    make(map[*relayConn]struct{}),
		resumed:  make(chan struct{}),
		closed:   make(chan struct{}),
	}
	close(r.resumed)
	go r.accept()
	return r, nil
}

// StartRelay starts a relay that ends with the test.
func StartRelay(t testing.TB, target string) *Relay {
	t.Helper()
	r, err := NewRelay(target)
	if err != nil {
		t.Fatalf("start relay: %v", err)
	}
	t.Cleanup(r.Close)
	return r
}

// Addr returns the address on which the relay listens.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Connections returns the number of open connections.
func (r *Relay) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}

// DropOnOpenConnections drops all further bytes of a direction on the connections that
// are open now, without closing them. New connections are not affected.
func (r *Relay) DropOnOpenConnections(d Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		conn.dropMask.Or(uint32(d))
	}
}

// Partition drops all bytes of a direction on open and new connections until the next
// call. Direction 0 ends the partition.
func (r *Relay) Partition(d Direction) { r.dropMask.Store(uint32(d)) }

// Pause holds back all bytes, on open and new connections, until Resume.
func (r *Relay) Pause() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.resumed:
		r.resumed = make(chan struct{})
	default:
	}
}

// Resume ends a pause and forwards the bytes that were held back.
func (r *Relay) Resume() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.resumed:
	default:
		close(r.resumed)
	}
}

// CloseConnections closes every open connection at both ends. The relay still accepts
// new ones.
func (r *Relay) CloseConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		conn.close()
	}
	clear(r.conns)
}

// Close refuses new connections and closes the open ones.
func (r *Relay) Close() {
	r.once.Do(func() { close(r.closed) })
	_ = r.listener.Close()
	r.CloseConnections()
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn.(*net.TCPConn))
	}
}

// serve connects a client to the target and forwards in both directions.
func (r *Relay) serve(client *net.TCPConn) {
	upstream, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = client.Close()
		return
	}
	conn := &relayConn{client: client, target: upstream.(*net.TCPConn)}
	conn.activeDirections.Store(2)
	if !r.register(conn) {
		return
	}
	go r.forward(conn, ToTarget, conn.client, conn.target)
	go r.forward(conn, ToClient, conn.target, conn.client)
}

// register adds a connection. If the relay is closed, it closes the connection and
// returns false.
func (r *Relay) register(conn *relayConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.closed:
		conn.close()
		return false
	default:
	}
	r.conns[conn] = struct{}{}
	return true
}

// forward copies the bytes of one direction until its source ends or a write fails.
func (r *Relay) forward(conn *relayConn, d Direction, from, to *net.TCPConn) {
	defer r.endDirection(conn)
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := from.Read(buf)
		if !r.waitResumed() {
			return
		}
		drop := r.drops(conn, d)
		if n > 0 && !drop {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			if !drop {
				_ = to.CloseWrite()
			}
			return
		}
	}
}

// waitResumed blocks while the relay is paused; it returns false if the relay is closed.
func (r *Relay) waitResumed() bool {
	r.mu.Lock()
	resumed := r.resumed
	r.mu.Unlock()
	select {
	case <-resumed:
		return true
	case <-r.closed:
		return false
	}
}

// drops reports whether the relay currently drops the bytes of a direction.
func (r *Relay) drops(conn *relayConn, d Direction) bool {
	return (r.dropMask.Load()|conn.dropMask.Load())&uint32(d) != 0
}

// endDirection counts one direction as ended and closes the connection after both.
func (r *Relay) endDirection(conn *relayConn) {
	if conn.activeDirections.Add(-1) > 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
	conn.close()
}

func (c *relayConn) close() {
	_ = c.client.Close()
	_ = c.target.Close()
}
