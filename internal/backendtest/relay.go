package backendtest

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// relayBufferSize is the number of bytes that a relay reads at once.
const relayBufferSize = 32 << 10

// Direction selects the bytes that a relay drops.
type Direction uint32

// Directions of a relayed connection.
const (
	ToTarget Direction = 1 << iota
	ToClient
	BothDirections = ToTarget | ToClient
)

// Relay forwards TCP connections to a target and breaks them on demand.
type Relay struct {
	listener net.Listener
	target   string
	drop     atomic.Uint32 // directions dropped on every connection

	mu     sync.Mutex
	links  map[*relayLink]struct{}
	thawed chan struct{} // closed while bytes may move
	closed chan struct{}
	once   sync.Once
}

// relayLink is one relayed connection.
type relayLink struct {
	caller, target *net.TCPConn
	drop           atomic.Uint32 // directions dropped on this connection for good
	running        atomic.Int32  // copying goroutines
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
		links:    make(map[*relayLink]struct{}),
		thawed:   make(chan struct{}),
		closed:   make(chan struct{}),
	}
	close(r.thawed)
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

// Addr returns the address to which callers connect.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Connections returns the number of open connections.
func (r *Relay) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.links)
}

// DropOnOpenConnections drops all further bytes of a direction on the connections that are
// open now, without closing them. New connections work.
func (r *Relay) DropOnOpenConnections(d Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for link := range r.links {
		link.drop.Or(uint32(d))
	}
}

// Partition drops all bytes of a direction on every connection, new ones too,
// until it is called with another direction. Direction 0 heals the partition.
func (r *Relay) Partition(d Direction) { r.drop.Store(uint32(d)) }

// Pause holds all bytes back, on new connections too, until Thaw.
func (r *Relay) Pause() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.thawed:
		r.thawed = make(chan struct{})
	default:
	}
}

// Resume lets the bytes that were held back move on.
func (r *Relay) Resume() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.thawed:
	default:
		close(r.thawed)
	}
}

// CloseConnections closes every open connection at both ends. New connections work.
func (r *Relay) CloseConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for link := range r.links {
		link.close()
	}
	clear(r.links)
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

// serve connects a caller to the target and copies both ways.
func (r *Relay) serve(caller *net.TCPConn) {
	conn, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = caller.Close()
		return
	}
	link := &relayLink{caller: caller, target: conn.(*net.TCPConn)}
	link.running.Store(2)
	if !r.add(link) {
		return
	}
	go r.copy(link, ToTarget, link.caller, link.target)
	go r.copy(link, ToClient, link.target, link.caller)
}

// add registers a link; it closes the link when the relay is closed.
func (r *Relay) add(link *relayLink) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.closed:
		link.close()
		return false
	default:
	}
	r.links[link] = struct{}{}
	return true
}

// copy moves the bytes of one direction until its source ends.
func (r *Relay) copy(link *relayLink, d Direction, from, to *net.TCPConn) {
	defer r.release(link)
	buf := make([]byte, relayBufferSize)
	for {
		n, err := from.Read(buf)
		if !r.waitThawed() {
			return
		}
		dropped := r.dropped(link, d)
		if n > 0 && !dropped {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			if !dropped {
				_ = to.CloseWrite()
			}
			return
		}
	}
}

// waitThawed blocks while the relay is frozen; false means that it is closed.
func (r *Relay) waitThawed() bool {
	r.mu.Lock()
	thawed := r.thawed
	r.mu.Unlock()
	select {
	case <-thawed:
		return true
	case <-r.closed:
		return false
	}
}

func (r *Relay) dropped(link *relayLink, d Direction) bool {
	return (r.drop.Load()|link.drop.Load())&uint32(d) != 0
}

// release closes a link once both directions have ended.
func (r *Relay) release(link *relayLink) {
	if link.running.Add(-1) > 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, link)
	link.close()
}

func (l *relayLink) close() {
	_ = l.caller.Close()
	_ = l.target.Close()
}
