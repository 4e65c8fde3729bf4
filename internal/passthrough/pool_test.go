package passthrough

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startRawServer listens on a local port and runs handle for each connection; n counts
// the connections from 1.
func startRawServer(t *testing.T, handle func(n int, c net.Conn, r *bufio.Reader)) Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for n := 1; ; n++ {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go handle(n, c, bufio.NewReader(c))
		}
	}()
	return Server{ID: "s", Address: listener.Addr().String()}
}

// readRequest returns the next request and its body, nil if the connection ends.
func readRequest(r *bufio.Reader) (*http.Request, string) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, ""
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, ""
	}
	return req, string(body)
}

// newCountingPool returns a pool and the count of its dials.
func newCountingPool(t *testing.T) (*Pool, *atomic.Int64) {
	t.Helper()
	var dials atomic.Int64
	return NewPool(time.Second, func(error) { dials.Add(1) }), &dials
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

var getRequest = &Request{Method: http.MethodGet, Target: "/a?b=%2F", Host: "h.example", Header: http.Header{"Request-Id": {"1"}}}

// doExchange sends a request and returns the whole body of the response.
func doExchange(t *testing.T, p *Pool, server Server, req *Request) (string, error) {
	t.Helper()
	e, err := p.Do(testContext(t), server, req)
	if err != nil {
		return "", err
	}
	data, err := io.ReadAll(e.Body)
	e.Close(err == nil)
	return string(data), err
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=30\r\n\r\nok"

func TestRequestIsUnchangedAndConnectionIsReused(t *testing.T) {
	p, dials := newCountingPool(t)
	server := startRawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			req, body := readRequest(r)
			if req == nil {
				return
			}
			if req.RequestURI != "/a?b=%2F" || req.Host != "h.example" || body != "" || req.Header.Get("Request-Id") != "1" {
				fmt.Fprint(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
				continue
			}
			fmt.Fprint(c, okResponse)
		}
	})
	for range 3 {
		body, err := doExchange(t, p, server, getRequest)
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
	assert.Equal(t, dials.Load(), int64(1))
}

func TestUnsolicitedBytesCloseConnection(t *testing.T) {
	p, dials := newCountingPool(t)
	server := startRawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			if req, _ := readRequest(r); req == nil {
				return
			}
			fmt.Fprint(c, okResponse+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
		}
	})
	for range 2 {
		body, err := doExchange(t, p, server, getRequest)
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
	assert.Equal(t, dials.Load(), int64(2))
}

func TestConnectionClosedByServerIsNotReused(t *testing.T) {
	p, dials := newCountingPool(t)
	closed := make(chan struct{}, 2)
	server := startRawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if req, _ := readRequest(r); req != nil {
			fmt.Fprint(c, okResponse)
		}
		c.Close()
		closed <- struct{}{}
	})
	for range 2 {
		body, err := doExchange(t, p, server, getRequest)
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
		<-closed
	}
	assert.Equal(t, dials.Load(), int64(2))
}

// TestRequestOnConnectionThatIsClosedMayHaveBeenSent guards against a second run of an unsafe
// request: the server closes a reused connection only after the request has arrived.
func TestRequestOnConnectionThatIsClosedMayHaveBeenSent(t *testing.T) {
	p, dials := newCountingPool(t)
	server := startRawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		defer c.Close()
		if req, _ := readRequest(r); req == nil {
			return
		}
		fmt.Fprint(c, okResponse)
		// The rest of the request stays unread, so that closing resets the connection.
		if _, err := c.Read(make([]byte, 1)); err != nil {
			t.Error(err)
		}
	})
	_, err := doExchange(t, p, server, getRequest)
	assert.NilError(t, err)
	_, err = doExchange(t, p, server, getRequest)
	assert.ErrorIs(t, err, ErrConnectionLost)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	assert.Assert(t, MayHaveBeenSent(err))
	assert.Equal(t, dials.Load(), int64(1))
}

func TestRefusedConnectionIsErrNotSent(t *testing.T) {
	p, _ := newCountingPool(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := Server{ID: "s", Address: listener.Addr().String()}
	listener.Close()
	_, err = doExchange(t, p, server, getRequest)
	assert.ErrorIs(t, err, ErrNotSent)
	assert.Assert(t, !MayHaveBeenSent(err))
}

func TestIncompleteResponseIsErrConnectionLost(t *testing.T) {
	cases := map[string]string{
		"empty":          "",
		"partial header": "HTTP/1.1 200 OK\r\nConte",
		"invalid HTTP":   "garbage\r\n\r\n",
		"short body":     "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
		"partial chunk":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
		"no last chunk":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
	}
	for name, response := range cases {
		t.Run(name, func(t *testing.T) {
			p, _ := newCountingPool(t)
			server := startRawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				readRequest(r)
				fmt.Fprint(c, response)
				c.Close()
			})
			_, err := doExchange(t, p, server, getRequest)
			assert.ErrorIs(t, err, ErrConnectionLost)
			assert.Assert(t, MayHaveBeenSent(err))
		})
	}
}

func TestResponseWithoutLengthEndsAtEOF(t *testing.T) {
	p, dials := newCountingPool(t)
	server := startRawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\nto the end")
		c.Close()
	})
	for range 2 {
		body, err := doExchange(t, p, server, getRequest)
		assert.NilError(t, err)
		assert.Equal(t, body, "to the end")
	}
	assert.Equal(t, dials.Load(), int64(2))
}

func TestResetOfResponseWithoutLengthIsErrConnectionLost(t *testing.T) {
	p, _ := newCountingPool(t)
	server := startRawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\nto the")
		if err := c.(*net.TCPConn).SetLinger(0); err != nil {
			t.Error(err)
		}
		c.Close()
	})
	_, err := doExchange(t, p, server, getRequest)
	assert.ErrorIs(t, err, ErrConnectionLost)
}

func TestInterimResponsesAreSkipped(t *testing.T) {
	p, _ := newCountingPool(t)
	server := startRawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		fmt.Fprint(c, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"+okResponse)
	})
	body, err := doExchange(t, p, server, getRequest)
	assert.NilError(t, err)
	assert.Equal(t, body, "ok")
}

// TestResponseBeforeBodyIsReadClosesConnection checks a server that responds before it has
// read a long request body. The connection must not be reused: the next request would
// follow an unfinished body and be read as a part of it.
func TestResponseBeforeBodyIsReadClosesConnection(t *testing.T) {
	p, dials := newCountingPool(t)
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	server := startRawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		fmt.Fprint(c, okResponse)
		<-release
	})
	large := &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: []byte(strings.Repeat("x", 32<<20))}
	for range 2 {
		body, err := doExchange(t, p, server, large)
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
	assert.Equal(t, dials.Load(), int64(2))
}

func TestCancelledContextClosesConnection(t *testing.T) {
	p, _ := newCountingPool(t)
	ended := make(chan error, 1)
	arrived := make(chan struct{})
	server := startRawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		close(arrived)
		_, err := r.ReadByte()
		ended <- err
	})
	ctx, cancel := context.WithCancel(testContext(t))
	go func() {
		<-arrived
		cancel()
	}()
	_, err := p.Do(ctx, server, getRequest)
	assert.ErrorIs(t, err, ErrConnectionLost)
	assert.ErrorIs(t, err, context.Canceled)
	assert.Assert(t, <-ended != nil)
}

func TestParseIdleTimeout(t *testing.T) {
	cases := map[string]time.Duration{
		"timeout=5":          5 * time.Second,
		"max=10, timeout=7":  7 * time.Second,
		"timeout=soon":       defaultIdleTimeout,
		"":                   defaultIdleTimeout,
		"timeout=0":          0,
		"timeout=-1, max=10": defaultIdleTimeout,
	}
	for value, want := range cases {
		assert.Equal(t, parseIdleTimeout(http.Header{"Keep-Alive": {value}}), want, value)
	}
}

func TestErrorsAreDistinct(t *testing.T) {
	assert.Assert(t, !errors.Is(ErrNotSent, ErrConnectionLost))
}
