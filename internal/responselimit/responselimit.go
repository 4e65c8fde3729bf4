// Package responselimit bounds what clients of the Hertz library hold of a response, and checks its
// status. The library reads a header into memory until it is complete, and so it does with a body
// that states neither a length nor chunks. It takes the status 000 for 200.
package responselimit

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

	"ibistray.example/ibistray/internal/statusline"
)

const (
	// maxHeaderBytes limits the header of a response, and each line that frames its chunks.
	maxHeaderBytes = 64 << 10
	// framingBytes is the room for the framing of a body that has the size of its limit.
	framingBytes = 1 << 20
)

var (
	// ErrTooLarge means that a response exceeds its limit and was read no further.
	ErrTooLarge       = errors.New("response is too large")
	errHeaderTooLarge = fmt.Errorf("%w: header of more than %d bytes", ErrTooLarge, maxHeaderBytes)
	errBodyTooLarge   = fmt.Errorf("%w: body", ErrTooLarge)
)

// dialer opens connections on which neither a header, nor a line between chunks, nor the whole
// response can grow without end.
type dialer struct {
	network.Dialer
	limit int // bytes of a connection
}

// NewDialer returns a dialer for connections that carry one response each, with a body of at most
// maxBodyBytes. The client must use response body streams: the library allocates the length that
// a response states otherwise.
func NewDialer(maxBodyBytes int) network.Dialer {
	return dialer{standard.NewDialer(), maxBodyBytes + framingBytes}
}

// DialConnection implements network.Dialer.
func (d dialer) DialConnection(n, address string, timeout time.Duration, config *tls.Config) (network.Conn, error) {
	c, err := d.Dialer.DialConnection(n, address, timeout, config)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, remaining: d.limit, inHeader: true}, nil
}

// conn is a connection that buffers at most maxHeaderBytes beyond what the reader has asked for at
// once, and ends after a number of bytes. Its responses begin with a valid status line.
type conn struct {
	network.Conn
	remaining int  // bytes
	inHeader  bool // the next bytes are the header of a response
}

// Peek implements network.Reader. A reader that asks for more while maxHeaderBytes are
// buffered has not found the end of a header or line in them.
func (c *conn) Peek(n int) ([]byte, error) {
	if c.remaining < 0 {
		return nil, errBodyTooLarge
	}
	if buffered := c.Len(); buffered > maxHeaderBytes && n > buffered {
		return nil, errHeaderTooLarge
	}
	data, err := c.Conn.Peek(n)
	if err != nil || !c.inHeader {
		return data, err
	}
	if line, complete := c.statusLine(); complete {
		if err := statusline.CheckLine(line); err != nil {
			return nil, err
		}
	}
	return data, nil
}

// statusLine returns the first line that is buffered and not empty, and whether it is complete. The
// library skips empty lines before a response.
func (c *conn) statusLine() (line []byte, complete bool) {
	buffered, err := c.Conn.Peek(c.Len())
	if err != nil {
		return nil, false
	}
	for len(bytes.TrimSuffix(line, []byte("\r"))) == 0 {
		if line, buffered, complete = bytes.Cut(buffered, []byte("\n")); !complete {
			return nil, false
		}
	}
	return line, true
}

// Skip implements network.Reader. The library reads a header as a whole, and then the next one if
// the response was an interim one.
func (c *conn) Skip(n int) error {
	c.remaining -= n
	if c.inHeader {
		line, _ := c.statusLine()
		_, status, _ := bytes.Cut(line, []byte(" "))
		c.inHeader = bytes.HasPrefix(status, []byte("100"))
	}
	return c.Conn.Skip(n)
}

// ReadBody reads the body of a response, at most limit bytes. The connection of a larger one is
// closed and the error wraps ErrTooLarge. Other errors are those of the connection.
func ReadBody(resp *protocol.Response, limit int64) ([]byte, error) {
	if !resp.IsBodyStream() {
		data, err := resp.BodyE()
		if err != nil {
			return nil, err
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
		CloseConnection(resp)
		return nil, err
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

// forceCloser is implemented by the body streams of Hertz.
type forceCloser interface {
	ForceClose() error
}

// CloseConnection closes the connection of a response without reading the rest of its body, which
// may have no end. A concurrent read of the body returns an error.
func CloseConnection(resp *protocol.Response) {
	if f, ok := resp.BodyStream().(forceCloser); ok {
		_ = f.ForceClose()
	}
}
