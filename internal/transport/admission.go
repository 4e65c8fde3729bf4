package transport

import (
	"container/list"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"ibistray.example/ibistray/internal/panics"
	"ibistray.example/ibistray/internal/telemetry"
)

const (
	// defaultUnproven limits the accepted connections whose peer has not sent a first frame yet.
	// Beyond it the oldest is closed. Peers send theirs as soon as they are connected.
	defaultUnproven = 1024
	// Layout and values of a first frame, see frameconn.go.
	muxFlagsOffset      = 2
	muxStreamOffset     = 4
	muxTypeWindowUpdate = 1
	muxTypePing         = 2
	muxFlagSYN          = 1
)

// Reasons for which connections are closed before they carry a session.
const (
	reasonUnproven    = "connections"
	reasonNotAProcess = "malformed_request"
)

// admission holds accepted connections until their peer has shown that it speaks the protocol: a
// session has goroutines and buffers, which clients of another protocol must not get. It is safe for
// concurrent use.
type admission struct {
	limit int

	mu     sync.Mutex
	closed bool
	conns  list.List // of net.Conn, oldest first
}

// add adds a connection and closes the oldest one if there are too many. It returns nil if the
// admission is closed.
func (a *admission) add(conn net.Conn) *list.Element {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return nil
	}
	if oldest := a.conns.Front(); a.conns.Len() >= a.limit {
		a.conns.Remove(oldest)
		telemetry.LimitedRequests.WithLabelValues(reasonUnproven).Inc()
		oldest.Value.(net.Conn).Close()
	}
	return a.conns.PushBack(conn)
}

func (a *admission) remove(e *list.Element) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conns.Remove(e)
}

// close closes all connections and those that are added later.
func (a *admission) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	for e := a.conns.Front(); e != nil; e = e.Next() {
		e.Value.(net.Conn).Close()
	}
}

// LimitUnproven limits the accepted connections whose peer has not sent a first frame yet. It must be
// called before Serve.
func (s *Server) LimitUnproven(connections int) { s.admission.limit = connections }

// admit serves a session on conn in the background once its first frame has arrived, within
// openTimeout.
func (s *Server) admit(conn net.Conn) {
	waiting := s.admission.add(conn)
	if waiting == nil {
		conn.Close()
		return
	}
	s.admitting.Go(func() {
		_ = panics.Contain(s.log, "session", func() {
			first, err := readFirstHeader(conn)
			s.admission.remove(waiting)
			if err != nil {
				conn.Close()
				return
			}
			s.ServeConn(&replayConn{Conn: conn, unread: first})
		})
	})
}

// readFirstHeader reads the header of the first frame. It returns ErrMalformed if no client of a
// session sends it.
func readFirstHeader(conn net.Conn) ([]byte, error) {
	if err := conn.SetReadDeadline(time.Now().Add(openTimeout)); err != nil {
		return nil, err
	}
	header := make([]byte, muxHeaderBytes)
	if _, err := io.ReadFull(conn, header); err != nil {
		return nil, err
	}
	if !opensSession(header) {
		telemetry.LimitedRequests.WithLabelValues(reasonNotAProcess).Inc()
		return nil, ErrMalformed
	}
	return header, conn.SetReadDeadline(time.Time{})
}

// opensSession reports whether a client of a session may begin with a header: it opens a stream,
// whose ID is odd, or sends a ping.
func opensSession(header []byte) bool {
	flags, stream := binary.BigEndian.Uint16(header[muxFlagsOffset:]), binary.BigEndian.Uint32(header[muxStreamOffset:])
	if header[0] != 0 || flags&muxFlagSYN == 0 {
		return false
	}
	switch header[muxTypeOffset] {
	case muxTypeData, muxTypeWindowUpdate:
		return stream%2 == 1
	case muxTypePing:
		return stream == 0
	}
	return false
}

// replayConn is a connection of which some bytes were read before.
type replayConn struct {
	net.Conn
	unread []byte
}

// Read implements net.Conn.
func (c *replayConn) Read(p []byte) (int, error) {
	if len(c.unread) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}
