package transport

import (
	"encoding/binary"
	"net"
)

// Layout of a yamux header: version, type, two bytes of flags, four bytes of stream
// ID, four bytes of length.
const (
	muxHeaderBytes  = 12
	muxTypeOffset   = 1
	muxLengthOffset = 8
	muxTypeData     = 0
)

// maxJoinedBytes bounds the buffer that is kept for the next frame.
const maxJoinedBytes = 64 << 10

// frameConn joins the header and the body of a yamux data frame, which the session
// writes one after the other, into one write: half the system calls and packets.
// Only one goroutine may write, as yamux sessions do.
type frameConn struct {
	net.Conn
	header []byte // of a frame whose body comes next; empty: none
	joined []byte // of the latest frame; reused
}

func newFrameConn(conn net.Conn) net.Conn {
	return &frameConn{Conn: conn, header: make([]byte, 0, muxHeaderBytes)}
}

// Write implements net.Conn. A header that is held back counts as written; if its
// write fails later, the write of the body returns the error.
func (c *frameConn) Write(p []byte) (int, error) {
	if len(c.header) > 0 {
		return c.writeJoined(p)
	}
	if headsBody(p) {
		c.header = append(c.header, p...)
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// writeJoined writes the header that was held back and its body.
func (c *frameConn) writeJoined(body []byte) (int, error) {
	c.joined = append(append(c.joined[:0], c.header...), body...)
	c.header = c.header[:0]
	n, err := c.Conn.Write(c.joined)
	if cap(c.joined) > maxJoinedBytes {
		c.joined = nil
	}
	return max(0, n-muxHeaderBytes), err
}

// headsBody reports whether p is the header of a frame with a body.
func headsBody(p []byte) bool {
	return len(p) == muxHeaderBytes && p[muxTypeOffset] == muxTypeData && binary.BigEndian.Uint32(p[muxLengthOffset:]) > 0
}
