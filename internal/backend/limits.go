package backend

import (
	"bytes"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
)

const (
	// maxHeaderBytes limits the header of a response, and each line that frames its chunks.
	maxHeaderBytes = 64 << 10
	// maxBodyBytes limits a response body that is read as a whole and the part of a stream that
	// one connection carries, and maxExportBytes the prefix of one program in an engine's own
	// format.
	maxBodyBytes   = 4 << 20
	maxExportBytes = 256 << 20
	// framingBytes is the room for the framing of a body that has the size of its limit.
	framingBytes = 1 << 20
)

var (
	errHeaderTooLarge = fmt.Errorf("%w: header of more than %d bytes", ErrTooLarge, maxHeaderBytes)
	errEventTooLarge  = fmt.Errorf("%w: line of an event of more than %d bytes", ErrTooLarge, maxEventBytes)
	errBodyTooLarge   = fmt.Errorf("%w: body", ErrTooLarge)
)

// limitedDialer opens connections on which neither a header, nor a line between chunks, nor
// the whole response can grow without end: the HTTP library reads a header into memory until
// it is complete, and so it does with a body that states neither a length nor chunks.
type limitedDialer struct {
	network.Dialer
	limit int // bytes of a connection
}

func newLimitedDialer(limit int) network.Dialer { return limitedDialer{standard.NewDialer(), limit} }

// DialConnection implements network.Dialer.
func (d limitedDialer) DialConnection(n, address string, timeout time.Duration, config *tls.Config) (network.Conn, error) {
	c, err := d.Dialer.DialConnection(n, address, timeout, config)
	if err != nil {
		return nil, err
	}
	return &limitedConn{Conn: c, remaining: d.limit}, nil
}

// limitedConn is a connection that buffers at most maxHeaderBytes beyond what the reader
// has asked for at once, and ends after a number of bytes.
type limitedConn struct {
	network.Conn
	remaining int // bytes
}

// Peek implements network.Reader. A reader that asks for more while maxHeaderBytes are
// buffered has not found the end of a header or line in them.
func (c *limitedConn) Peek(n int) ([]byte, error) {
	if c.remaining < 0 {
		return nil, errBodyTooLarge
	}
	if buffered := c.Len(); buffered > maxHeaderBytes && n > buffered {
		return nil, errHeaderTooLarge
	}
	return c.Conn.Peek(n)
}

// Skip implements network.Reader.
func (c *limitedConn) Skip(n int) error {
	c.remaining -= n
	return c.Conn.Skip(n)
}

// readBody reads the body of a response, at most limit bytes. The connection of a larger
// one is closed. Errors: ErrConnectionLost.
func readBody(resp *protocol.Response, limit int64) ([]byte, error) {
	if !resp.IsBodyStream() {
		data, err := resp.BodyE()
		if err != nil {
			return nil, wrapTransportError(err)
		}
		return bytes.Clone(data), nil
	}
	data, err := io.ReadAll(io.LimitReader(resp.BodyStream(), limit+1))
	if err == nil && int64(len(data)) > limit {
		err = fmt.Errorf("%w: more than %d bytes", errBodyTooLarge, limit)
	}
	if err == nil {
		err = checkBodyEnd(resp.BodyStream())
	}
	if err != nil {
		forceClose(resp)
		return nil, wrapTransportError(err)
	}
	return data, nil
}

// checkBodyEnd returns an error if a body that was read to io.EOF is not complete: the HTTP
// library returns io.EOF when a connection ends before or inside the trailers of a chunked
// body, but only once.
func checkBodyEnd(body io.Reader) error {
	_, err := body.Read(make([]byte, 1))
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err == nil:
		return io.ErrUnexpectedEOF
	}
	return err
}
