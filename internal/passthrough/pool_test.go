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
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// rawServer accepts connections and hands each to a script.
func rawServer(t *testing.T, script func(n int, c net.Conn, r *bufio.Reader)) Server {
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
			go script(n, c, bufio.NewReader(c))
		}
	}()
	return Server{ID: "s", Address: listener.Addr().String()}
}

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

func newTestPool(t *testing.T) (*Pool, *atomic.Int64) {
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

var get = &Request{Method: http.MethodGet, Target: "/a?b=%2F", Host: "h.example", Header: http.Header{"Request-Id": {"1"}}}

// exchange sends a request and reads its answer whole.
func exchange(t *testing.T, p *Pool, server Server, req *Request) (string, error) {
	t.Helper()
	e, err := p.Do(testContext(t), server, req)
	if err != nil {
		return "", err
	}
	data, err := io.ReadAll(e.Body)
	e.Close(err == nil)
	return string(data), err
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=30\r\n\r\nok"

func TestRequestArrivesUnchangedAndTheConnectionIsUsedAgain(t *testing.T) {
	p, dials := newTestPool(t)
	server := rawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			req, body := readRequest(r)
			if req == nil {
				return
			}
			if req.RequestURI != "/a?b=%2F" || req.Host != "h.example" || body != "" || req.Header.Get("Request-Id") != "1" {
				fmt.Fprint(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
				continue
			}
			fmt.Fprint(c, okAnswer)
		}
	})
	for range 3 {
		body, err := exchange(t, p, server, get)
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
	assert.Equal(t, dials.Load(), int64(1))
}

func TestUnaskedBytesEndTheConnection(t *testing.T) {
	p, dials := newTestPool(t)
	server := rawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			if req, _ := readRequest(r); req == nil {
				return
			}
			fmt.Fprint(c, okAnswer+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
		}
	})
	for range 2 {
		body, err := exchange(t, p, server, get)
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
	assert.Equal(t, dials.Load(), int64(2))
}

func TestConnectionThatTheServerClosedIsNotUsed(t *testing.T) {
	p, dials := newTestPool(t)
	closed := make(chan struct{}, 2)
	server := rawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if req, _ := readRequest(r); req != nil {
			fmt.Fprint(c, okAnswer)
		}
		c.Close()
		closed <- struct{}{}
	})
	for range 2 {
		body, err := exchange(t, p, server, get)
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
		<-closed
	}
	assert.Equal(t, dials.Load(), int64(2))
}

func TestRefusedConnectionSendsNothing(t *testing.T) {
	p, _ := newTestPool(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := Server{ID: "s", Address: listener.Addr().String()}
	listener.Close()
	_, err = exchange(t, p, server, get)
	assert.ErrorIs(t, err, ErrNotSent)
	assert.Assert(t, !MayHaveBeenSent(err))
}

func TestBrokenAnswersAreNoWholeAnswers(t *testing.T) {
	cases := map[string]string{
		"nothing":       "",
		"half a head":   "HTTP/1.1 200 OK\r\nConte",
		"no HTTP":       "garbage\r\n\r\n",
		"short body":    "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
		"cut chunk":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
		"no last chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
	}
	for name, answer := range cases {
		t.Run(name, func(t *testing.T) {
			p, _ := newTestPool(t)
			server := rawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				readRequest(r)
				fmt.Fprint(c, answer)
				c.Close()
			})
			_, err := exchange(t, p, server, get)
			assert.ErrorIs(t, err, ErrConnectionLost)
			assert.Assert(t, MayHaveBeenSent(err))
		})
	}
}

func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	p, dials := newTestPool(t)
	server := rawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\nto the end")
		c.Close()
	})
	for range 2 {
		body, err := exchange(t, p, server, get)
		assert.NilError(t, err)
		assert.Equal(t, body, "to the end")
	}
	assert.Equal(t, dials.Load(), int64(2))
}

func TestResetAnswerWithoutLengthIsBroken(t *testing.T) {
	p, _ := newTestPool(t)
	server := rawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\nto the")
		if err := c.(*net.TCPConn).SetLinger(0); err != nil {
			t.Error(err)
		}
		c.Close()
	})
	_, err := exchange(t, p, server, get)
	assert.ErrorIs(t, err, ErrConnectionLost)
}

func TestInterimAnswersAreSkipped(t *testing.T) {
	p, _ := newTestPool(t)
	server := rawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		fmt.Fprint(c, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"+okAnswer)
	})
	body, err := exchange(t, p, server, get)
	assert.NilError(t, err)
	assert.Equal(t, body, "ok")
}

// TestEarlyAnswerEndsTheConnection has a server that answers before it has read a
// long body: the rest of the body must not be followed by another request.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	p, dials := newTestPool(t)
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	server := rawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		fmt.Fprint(c, okAnswer)
		<-release
	})
	long := &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: []byte(strings.Repeat("x", 32<<20))}
	for range 2 {
		body, err := exchange(t, p, server, long)
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
	assert.Equal(t, dials.Load(), int64(2))
}

func TestCallerThatLeavesEndsTheConnection(t *testing.T) {
	p, _ := newTestPool(t)
	ended := make(chan error, 1)
	arrived := make(chan struct{})
	server := rawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
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
	_, err := p.Do(ctx, server, get)
	assert.ErrorIs(t, err, ErrConnectionLost)
	assert.ErrorIs(t, err, context.Canceled)
	assert.Assert(t, <-ended != nil)
}

func TestKeepAliveOf(t *testing.T) {
	cases := map[string]time.Duration{
		"timeout=5":          5 * time.Second,
		"max=10, timeout=7":  7 * time.Second,
		"timeout=soon":       defaultKeepAlive,
		"":                   defaultKeepAlive,
		"timeout=0":          0,
		"timeout=-1, max=10": defaultKeepAlive,
	}
	for value, want := range cases {
		assert.Equal(t, keepAliveOf(http.Header{"Keep-Alive": {value}}), want, value)
	}
}

func TestErrorsAreDistinct(t *testing.T) {
	assert.Assert(t, !errors.Is(ErrNotSent, ErrConnectionLost))
}
