// Package passthrough speaks HTTP/1.1 to backend servers for requests that are
// passed on unchanged. It tells for each failure whether the server can have seen
// the request, which a general client hides.
package passthrough

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Errors of an exchange.
var (
	// ErrNotSent says that no byte of the request left this process.
	ErrNotSent = errors.New("passthrough: request not sent")
	// ErrConnectionLost says that the exchange broke off after a part of the request was
	// sent: the server may have run it.
	ErrConnectionLost = errors.New("passthrough: exchange broke off")
)

const (
	readBufferBytes = 4 << 10
	// inlineBodyBytes is the largest body that is written before the answer is read.
	// It fits the socket buffers, so a server that does not read cannot block it.
	inlineBodyBytes = 32 << 10
	// keepAliveMargin is taken off the idle time that a server allows, for the way of
	// a request to it.
	keepAliveMargin = 300 * time.Millisecond
	// defaultKeepAlive is assumed where a server does not state its idle time.
	defaultKeepAlive = 2 * time.Second
	// probeIdle, probeInterval and probeCount find silent connections.
	probeIdle     = 2 * time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// Request is one request as it is written.
type Request struct {
	Method string
	Target string // path and query as received
	Host   string
	Header http.Header // end-to-end headers
	Body   []byte
}

// conn is one connection to a backend server. It carries one exchange at a time.
type conn struct {
	net       net.Conn
	reader    *bufio.Reader
	idleSince time.Time
	keepAlive time.Duration
	closed    atomic.Bool
}

// dial opens a connection. Errors wrap ErrNotSent.
func dial(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	dialer := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeIdle,
			Interval: probeInterval,
			Count:    probeCount,
		},
	}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return &conn{net: c, reader: bufio.NewReaderSize(c, readBufferBytes), keepAlive: defaultKeepAlive}, nil
}

func (c *conn) close() {
	if c.closed.CompareAndSwap(false, true) {
		c.net.Close()
	}
}

// usable reports whether an idle connection may carry another request: the server
// still keeps it open and sent nothing that nobody asked for.
func (c *conn) usable(now time.Time) bool {
	if now.Sub(c.idleSince) >= c.keepAlive-keepAliveMargin || c.reader.Buffered() > 0 {
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

// send writes a request and reads the head of the answer. Errors: ErrNotSent,
// ErrConnectionLost. The caller closes the connection after an error.
func (c *conn) send(req *Request, deadline time.Time) (*http.Response, <-chan error, error) {
	if err := c.net.SetDeadline(deadline); err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	head := req.head()
	written := make(chan error, 1)
	if len(req.Body) <= inlineBodyBytes {
		n, err := c.net.Write(append(head, req.Body...))
		if err != nil && n == 0 {
			return nil, nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		if err != nil {
			return nil, nil, fmt.Errorf("%w: write: %w", ErrConnectionLost, err)
		}
		written <- nil
	} else {
		go func() {
			buffers := net.Buffers{head, req.Body}
			_, err := buffers.WriteTo(c.net)
			written <- err
		}()
	}
	resp, err := c.readHead(req.Method)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: read: %w", ErrConnectionLost, err)
	}
	return resp, written, nil
}

// readHead reads the head of the final answer; interim ones are skipped.
func (c *conn) readHead(method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

// head encodes the request line and the headers.
func (r *Request) head() []byte {
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

// finish decides after a whole answer whether the connection can be used again.
func (c *conn) finish(resp *http.Response, written <-chan error) bool {
	select {
	case err := <-written:
		if err != nil {
			return false
		}
	default:
		// The server answered before it had read the whole body.
		return false
	}
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if resp.Close || !framed || c.reader.Buffered() > 0 || resp.StatusCode == http.StatusSwitchingProtocols {
		return false
	}
	c.keepAlive = keepAliveOf(resp.Header)
	return true
}

// keepAliveOf returns the idle time that a server states.
func keepAliveOf(header http.Header) time.Duration {
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
	return defaultKeepAlive
}

// body reads the answer's body and notices one that was cut short.
type body struct {
	reader io.Reader
}

// Read implements io.Reader. An error other than io.EOF wraps ErrConnectionLost.
func (b body) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return n, fmt.Errorf("%w: body: %w", ErrConnectionLost, err)
	}
	return n, err
}
