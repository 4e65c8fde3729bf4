// Package passthrough is an HTTP/1.1 client for requests that are forwarded to backend
// servers unchanged. Its errors tell whether the server may have received the request,
// which the client of net/http does not report.
package passthrough

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"ibistray.example/ibistray/internal/tcp"
)

// Errors of an exchange.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("passthrough: request not sent")
	// ErrConnectionLost means that the connection failed, timed out or carried an invalid
	// response after a part of the request may have been sent: the server may have run it.
	ErrConnectionLost = errors.New("passthrough: connection lost during the exchange")
)

const (
	readBufferBytes = 4 << 10
	// maxHeaderBytes limits what a server may send before the end of a response's header,
	// interim responses included. It is four times what clients may send as a header.
	maxHeaderBytes = 64 << 10
	// maxInterimResponses limits the interim (1xx) responses before a final one.
	maxInterimResponses = 8
	// maxInlineBodyBytes is the largest body that is written before the response is read.
	// It fits into the socket buffers, so a server that does not read cannot block the write.
	maxInlineBodyBytes = 32 << 10
	// idleTimeoutMargin is subtracted from the server's idle timeout, so that the server
	// does not close the connection while a request is on its way.
	idleTimeoutMargin = 300 * time.Millisecond
	// defaultIdleTimeout is assumed if the server does not state its idle timeout.
	defaultIdleTimeout = 2 * time.Second
	// TCP keep-alive probes detect a peer that no longer responds.
	tcpKeepAliveIdle     = 2 * time.Second
	tcpKeepAliveInterval = time.Second
	tcpKeepAliveCount    = 2
	// maxRefusals is the number of refused requests after which a connection is not reused.
	maxRefusals = 64
)

// Request is an HTTP request that is written unchanged. The Host and Content-Length
// fields are derived from Host and Body.
type Request struct {
	ID     string // see Exchange.MarkRefused
	Method string
	Target string // path and query, not normalized
	Host   string
	Header http.Header // end-to-end header fields
	Body   []byte
	// OnHeader, if not nil, is called with each status line and header of a response, interim
	// (1xx) ones included, before the exchange returns.
	OnHeader func(status int, header http.Header)
}

// conn is one connection to a backend server. It carries one exchange at a time.
type conn struct {
	net         net.Conn
	number      uint64       // of the pool's connections, in the order in which they were opened
	exchanges   int          // begun on the connection
	refused     []uint64     // hashes of the IDs of requests that the server refused on it
	header      *headerLimit // between net and reader
	reader      *bufio.Reader
	idleSince   time.Time
	idleTimeout time.Duration // after which the server closes the idle connection
	closed      atomic.Bool
	onClose     func()
}

// dial opens a connection. Errors wrap ErrNotSent.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	dialer := tcp.Dialer()
	dialer.Timeout = p.dialTimeout
	dialer.KeepAliveConfig = net.KeepAliveConfig{
		Enable:   true,
		Idle:     tcpKeepAliveIdle,
		Interval: tcpKeepAliveInterval,
		Count:    tcpKeepAliveCount,
	}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	p.open.Add(1)
	opened := newConn(c)
	opened.number = p.dialed.Add(1)
	opened.onClose = func() { p.open.Add(-1) }
	return opened, nil
}

func newConn(c net.Conn) *conn {
	header := &headerLimit{reader: c}
	return &conn{net: c, header: header, reader: bufio.NewReaderSize(header, readBufferBytes), idleTimeout: defaultIdleTimeout, onClose: func() {}}
}

// requestHashSeed is the seed of the hashes of request IDs.
var requestHashSeed = maphash.MakeSeed()

// recordRefusal records that the server refused a request on this connection.
func (c *conn) recordRefusal(id string) {
	c.refused = append(c.refused, maphash.String(requestHashSeed, id))
}

// hasRefused reports whether the server refused a request of this ID on this connection.
func (c *conn) hasRefused(id string) bool {
	return len(c.refused) > 0 && slices.Contains(c.refused, maphash.String(requestHashSeed, id))
}

func (c *conn) close() {
	if c.closed.CompareAndSwap(false, true) {
		c.net.Close()
		c.onClose()
	}
}

// reusable reports whether an idle connection can carry another request: its idle
// timeout is not near, the server has not closed it and sent no unsolicited bytes.
func (c *conn) reusable(now time.Time) bool {
	if now.Sub(c.idleSince) >= c.idleTimeout-idleTimeoutMargin || c.reader.Buffered() > 0 {
		return false
	}
	syscallConn, ok := c.net.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// requestWrite is the writing of a request, which may still be in progress.
type requestWrite struct {
	done chan struct{} // closed when the writing has ended
	err  error         // result, valid once done is closed
}

func newRequestWrite() *requestWrite {
	return &requestWrite{done: make(chan struct{})}
}

func (w *requestWrite) end(err error) {
	w.err = err
	close(w.done)
}

// send writes a request and reads the status line and header of the response. The
// writing may still be in progress when send returns. Errors: ErrNotSent,
// ErrConnectionLost; the caller closes the connection after an error.
func (c *conn) send(req *Request, deadline time.Time) (*http.Response, *requestWrite, error) {
	if err := c.net.SetDeadline(deadline); err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	header := req.encodeHeader()
	write := newRequestWrite()
	if len(req.Body) <= maxInlineBodyBytes {
		n, err := c.net.Write(append(header, req.Body...))
		if err != nil && n == 0 {
			return nil, nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		if err != nil {
			return nil, nil, fmt.Errorf("%w: write: %w", ErrConnectionLost, err)
		}
		write.end(nil)
	} else {
		go func() {
			buffers := net.Buffers{header, req.Body}
			_, err := buffers.WriteTo(c.net)
			write.end(err)
		}()
	}
	resp, err := c.readHeader(req)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: read: %w", ErrConnectionLost, err)
	}
	return resp, write, nil
}

// readHeader reads the status line and header of the final response and skips interim
// (1xx) responses.
func (c *conn) readHeader(req *Request) (*http.Response, error) {
	c.header.set, c.header.remaining = true, maxHeaderBytes
	defer func() { c.header.set = false }()
	for range maxInterimResponses + 1 {
		resp, err := c.readResponse(req.Method)
		if err != nil {
			return nil, err
		}
		if req.OnHeader != nil {
			req.OnHeader(resp.StatusCode, resp.Header)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, fmt.Errorf("%w: more than %d interim responses", errHeaderTooLarge, maxInterimResponses)
}

// encodeHeader returns the request line and the header fields.
func (r *Request) encodeHeader() []byte {
	var b strings.Builder
	b.Grow(1024)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			b.WriteString(name + ": " + value + "\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return []byte(b.String())
}

// prepareReuse reports whether the connection can carry another request after a
// complete response, and stores the idle timeout that the server stated.
func (c *conn) prepareReuse(resp *http.Response, write *requestWrite) bool {
	select {
	case <-write.done:
		if write.err != nil {
			return false
		}
	default:
		// The server responded before it had read the whole request body.
		return false
	}
	if len(c.refused) >= maxRefusals {
		return false
	}
	if resp.Close || !delimited(resp) || c.reader.Buffered() > 0 {
		return false
	}
	c.idleTimeout = parseIdleTimeout(resp.Header)
	return true
}

// delimited reports whether a response states where its body ends. Otherwise the body
// ends when the server closes the connection.
func delimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// parseIdleTimeout returns the timeout of the Keep-Alive header field, or
// defaultIdleTimeout if there is no valid one.
func parseIdleTimeout(header http.Header) time.Duration {
	for _, value := range header.Values("Keep-Alive") {
		for part := range strings.SplitSeq(value, ",") {
			seconds, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
			if !found {
				continue
			}
			if n, err := strconv.Atoi(seconds); err == nil && n >= 0 {
				return time.Duration(n) * time.Second
			}
		}
	}
	return defaultIdleTimeout
}

// responseBody reads the body of a response and reports a truncated one as
// ErrConnectionLost.
type responseBody struct {
	reader io.Reader
	conn   *conn
	write  *requestWrite // checked at the end of the connection, nil if the body is delimited
}

// newResponseBody returns the body of a response to the request that write sends.
func (c *conn) newResponseBody(resp *http.Response, write *requestWrite) responseBody {
	if delimited(resp) || resp.Body == http.NoBody {
		return responseBody{reader: resp.Body}
	}
	return responseBody{reader: resp.Body, conn: c, write: write}
}

// Read implements io.Reader. An error other than io.EOF wraps ErrConnectionLost.
func (b responseBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if errors.Is(err, io.EOF) && b.write != nil {
		err = b.conn.checkClosed(b.write)
	}
	if err != nil && !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return n, fmt.Errorf("%w: body: %w", ErrConnectionLost, err)
	}
	return n, err
}

// checkClosed returns io.EOF if the server has closed the connection on which a read
// reported the end of file, or the error by which the connection was lost. It ends the
// writing of the request.
//
// The kernel reports such an error once: if it ends the write, the read reports the end
// of file. A write that has not failed by then is blocked or still succeeds.
func (c *conn) checkClosed(write *requestWrite) error {
	if err := c.net.SetWriteDeadline(time.Now()); err != nil {
		return err
	}
	<-write.done
	switch {
	case write.err == nil, errors.Is(write.err, os.ErrDeadlineExceeded):
		return io.EOF
	case errors.Is(write.err, syscall.EPIPE):
		// Linux reports EPIPE instead of ECONNRESET if the server has closed its side
		// before the reset, so the response is complete.
		return io.EOF
	}
	return fmt.Errorf("write: %w", write.err)
}
