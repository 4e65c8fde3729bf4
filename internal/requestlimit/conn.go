package requestlimit

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// firstBufferBytes is the size of the buffer of a head; larger ones take memory.
	firstBufferBytes = 4 << 10
	// minDirectBytes is the smallest buffer of a server into which heads are read directly.
	minDirectBytes = 512
	// ReceiveBytes is the receive buffer of a connection, and wideReceiveBytes that of one on which
	// a large body has arrived. It does not become smaller again: a peer whose segments were larger
	// than the buffer sends them by its timers.
	ReceiveBytes     = 8 << 10
	wideReceiveBytes = 64 << 10
)

// Conn is a connection whose requests are limited. One goroutine at a time may read.
type Conn struct {
	net.Conn
	socket *net.TCPConn // the same connection
	limits Limits
	owner  *Listener

	// Of the reader:
	buf       []byte // received and not delivered, except for early bytes
	early     int    // bytes at the start of buf that were delivered before their head was complete
	ready     int    // bytes at the start of buf that belong to the current request
	blocks    blocks // further bytes of the current request
	empty     int    // bytes of empty lines before the head
	inBody    bool
	body      framing      // of the current request; length is what is left
	chunks    chunkScanner // of the current request
	delivered int64        // bytes of its body
	headHeld  int64        // bytes held for its head
	collects  bool         // the server gets the current request as a whole
	ended     bool         // a whole request was delivered and EndRequest was not called since
	failure   error        // of all further reads
	wide      bool         // the receive buffer is that of a large body

	held    atomic.Int64 // bytes taken of limits.Memory, for the current request
	widened atomic.Int64 // bytes taken of it for the receive buffer, until the connection is closed
	state   atomic.Int64 // see waitForRequest
	closed  atomic.Bool

	deadlines    sync.Mutex
	readDeadline time.Time // that the server has set
	arrivalEnd   time.Time // for what has begun to arrive; zero: none
}

// Read implements net.Conn. It returns the head of a request once it is complete, and bytes of one
// request only. A read of a single byte returns the first byte of a head at once: servers detect by
// it that a client leaves.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if n := c.deliver(p); n > 0 {
		return n, nil
	}
	if c.failure != nil {
		return 0, c.failure
	}
	if c.inBody {
		return c.readBody(p)
	}
	if c.ended && c.limits.BufferedBodies {
		c.EndRequest()
	}
	if n, err := c.readHead(p); n > 0 || err != nil {
		return n, err
	}
	return c.deliver(p), nil
}

// deliver returns bytes of the current request that have arrived.
func (c *Conn) deliver(p []byte) int {
	if c.ready == 0 {
		return c.blocks.read(p)
	}
	n := copy(p, c.buf[c.early:c.ready])
	consumed := c.early + n
	c.buf, c.ready, c.early = c.buf[consumed:], c.ready-consumed, 0
	return n
}

// readHead reads until buf begins with a complete head, or p has one or the first byte of one.
func (c *Conn) readHead(p []byte) (int, error) {
	if len(c.buf) == 0 && len(p) >= minDirectBytes {
		if n, err := c.readDirectly(p); n > 0 || err != nil || c.ready > 0 {
			return n, err
		}
	}
	scanned := 0
	for {
		if n, err := c.skipEmptyLines(len(p) == 1); n > 0 || err != nil {
			p[0] = '\r'
			return n, err
		}
		if len(p) == 1 && c.early == 0 && len(c.buf) > 0 {
			p[0], c.early = c.buf[0], 1
			return 1, nil
		}
		end := headEnd(c.buf, scanned)
		head := c.buf
		if end > 0 {
			head = c.buf[:end]
		}
		if exceeds(head, c.limits.headBytes()) {
			return 0, c.refuse(reasonHeadTooLarge)
		}
		if end > 0 {
			if err := c.acceptHead(head); err != nil {
				return 0, err
			}
			c.ready = end + c.follow(c.buf[end:])
			return 0, c.complete()
		}
		scanned = len(c.buf)
		if err := c.receive(len(p) == 1 && scanned == 0); err != nil {
			return 0, err
		}
	}
}

// readDirectly reads into p and returns what belongs to one request if p has a complete head then.
// Otherwise it moves what has arrived to buf and returns 0; a request that is collected is ready then.
func (c *Conn) readDirectly(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return 0, err
	}
	end := headEnd(p[:n], 0)
	if end == 0 || exceeds(p[:end], c.limits.headBytes()) || emptyLineBytes(p[:n]) > 0 {
		c.buf = append(make([]byte, 0, max(n, firstBufferBytes)), p[:n]...)
		return 0, nil
	}
	if err := c.acceptHead(p[:end]); err != nil {
		return 0, err
	}
	own := end + c.follow(p[end:n])
	if c.collects {
		c.buf, c.ready = keep(p[:n]), own
		return 0, c.complete()
	}
	c.buf = keep(p[own:n])
	return own, c.complete()
}

// keep returns a copy of bytes that were received too early, or nil.
func keep(p []byte) []byte {
	if len(p) == 0 {
		return nil
	}
	return append([]byte(nil), p...)
}

// skipEmptyLines removes empty lines before a head. If there are more than servers skip and the
// server only asks whether the client has left, it returns 1 for a byte that is one of them.
func (c *Conn) skipEmptyLines(single bool) (int, error) {
	if c.early > 0 {
		return 0, nil
	}
	n := emptyLineBytes(c.buf)
	c.buf, c.empty = c.buf[n:], c.empty+n
	switch {
	case c.empty <= maxEmptyLineBytes:
		return 0, nil
	case single:
		c.failure = c.wrap(ErrRefused)
		return 1, nil
	}
	return 0, c.refuse(reasonMalformed)
}

// receive appends to buf what arrives. single asks for one byte only, for which no buffer is kept.
func (c *Conn) receive(single bool) error {
	if single {
		var first [1]byte
		n, err := c.Conn.Read(first[:])
		c.buf = append(c.buf, first[:n]...)
		if n > 0 {
			return nil // the time for the head begins when the server reads it
		}
		return err
	}
	if len(c.buf) == cap(c.buf) {
		size := firstBufferBytes
		if len(c.buf) >= firstBufferBytes {
			size = max(len(c.buf)+1, min(2*len(c.buf), c.limits.headBytes()+maxRequestLineBytes))
			if !c.hold(int64(size - cap(c.buf))) {
				return c.refuse(reasonMemory)
			}
		}
		c.buf = append(make([]byte, 0, size), c.buf...)
	}
	if len(c.buf) > 0 {
		c.limitArrival(c.limits.headTimeout())
	}
	n, err := c.Conn.Read(c.buf[len(c.buf):cap(c.buf)])
	c.buf = c.buf[:len(c.buf)+n]
	if n > 0 {
		return nil
	}
	return err
}

// acceptHead begins the request with a complete head, unless it is refused.
func (c *Conn) acceptHead(head []byte) error {
	f, invalid := parseFraming(head)
	switch {
	case invalid != "":
		return c.refuse(invalid)
	case !c.hold(heldBytes(head) - c.held.Load()):
		return c.refuse(reasonMemory)
	}
	if !c.beginRequest() {
		return c.wrap(net.ErrClosed)
	}
	c.headHeld = c.held.Load()
	c.unlimitArrival()
	c.empty, c.delivered, c.ended = 0, 0, false
	c.body, c.inBody = f, f.chunked || f.length > 0
	c.chunks = chunkScanner{maxTrailer: c.limits.headBytes()}
	c.collects = c.limits.BufferedBodies && c.inBody && !f.expects
	return nil
}

// hold takes memory for the current request.
func (c *Conn) hold(bytes int64) bool {
	if bytes <= 0 {
		return true
	}
	if !c.limits.Memory.grow(c.held.Load(), bytes) {
		return false
	}
	c.held.Add(bytes)
	c.releaseIfClosed()
	return true
}

// EndRequest releases what the current request holds. Servers that read while a handler runs call
// it after the response.
func (c *Conn) EndRequest() {
	c.ended = false
	c.release()
	c.waitForRequest()
}

func (c *Conn) release() {
	if held := c.held.Swap(0); held > 0 {
		c.limits.Memory.release(held)
	}
}

// wrap returns an error that servers take as one of the network.
func (c *Conn) wrap(err error) error {
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// releaseIfClosed releases what the reader has taken while the connection was closed.
func (c *Conn) releaseIfClosed() {
	if c.closed.Load() {
		c.release()
		c.limits.Memory.release(c.widened.Swap(0))
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closed.Store(true)
	c.releaseIfClosed()
	c.owner.remove(c)
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.socket.SyscallConn() }

// CloseWrite ends the responses on the connection, see net.TCPConn.
func (c *Conn) CloseWrite() error { return c.socket.CloseWrite() }
