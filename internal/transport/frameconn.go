package transport

import (
	"encoding/binary"
	"errors"
	"net"
)

// Layout of a yamux header: one byte for the version, one for the type, two for the
// flags, four for the stream ID and four for the length.
const (
	muxHeaderBytes  = 12
	muxTypeOffset   = 1
	muxLengthOffset = 8
	muxTypeData     = 0
)

// maxFrameBufBytes limits the capacity of a buffer that is kept for the next frame.
const maxFrameBufBytes = 64 << 10

// frameConn coalesces the header and the body of a yamux data frame, which the
// session writes separately, into one write. This halves the system calls and
// packets. Writes must not be concurrent; a yamux session writes from one goroutine.
type frameConn struct {
	net.Conn
	pendingHeader []byte // header whose body is not written yet, empty if none
	frameBuf      []byte // header and body of the latest frame, reused
	readers       readers
}

func newFrameConn(conn net.Conn) *frameConn {
	return &frameConn{Conn: conn, pendingHeader: make([]byte, 0, muxHeaderBytes)}
}

// Close implements net.Conn. It ends the reads of all streams of the session.
func (c *frameConn) Close() error { return errors.Join(c.readers.expire(), c.Conn.Close()) }

// Write implements net.Conn. The header of a data frame is buffered and reported as
// written. If writing it fails later, the write of the body returns the error.
func (c *frameConn) Write(p []byte) (int, error) {
	if len(c.pendingHeader) > 0 {
		return c.writeFrame(p)
	}
	if isDataFrameHeader(p) {
		c.pendingHeader = append(c.pendingHeader, p...)
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// writeFrame writes the buffered header and its body in one write.
func (c *frameConn) writeFrame(body []byte) (int, error) {
	c.frameBuf = append(append(c.frameBuf[:0], c.pendingHeader...), body...)
	c.pendingHeader = c.pendingHeader[:0]
	n, err := c.Conn.Write(c.frameBuf)
	if cap(c.frameBuf) > maxFrameBufBytes {
		c.frameBuf = nil
	}
	return max(0, n-muxHeaderBytes), err
}

// isDataFrameHeader reports whether p is the header of a data frame with a body.
func isDataFrameHeader(p []byte) bool {
	return len(p) == muxHeaderBytes && p[muxTypeOffset] == muxTypeData && binary.BigEndian.Uint32(p[muxLengthOffset:]) > 0
}
