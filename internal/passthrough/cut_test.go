package passthrough

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// cutBody is the body of the responses that are cut.
const cutBody = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

const (
	cutLength  = "Content-Length: 30\r\n"
	cutChunked = "Transfer-Encoding: chunked\r\n"
	cutFields  = "Id: 1\r\nSeal: 3e1b\r\nContent-Type: text/event-stream\r\n"
	cutChunks  = "f\r\nid: 1\ndata: a\n\n\r\nF;x=\"y\"\r\nid: 2\ndata: b\n\n\r\n"
)

// cutResponses are whole responses in all framings.
var cutResponses = map[string]struct {
	method string // GET if empty
	head   string // with interim responses
	body   string // as sent
	marked bool   // the end is known before the connection ends
	empty  bool   // the response has no body
}{
	"length":               {head: "HTTP/1.1 200 OK\r\n" + cutFields + cutLength + "\r\n", body: cutBody, marked: true},
	"length first":         {head: "HTTP/1.1 200 OK\r\n" + cutLength + cutFields + "\r\n", body: cutBody, marked: true},
	"length twice":         {head: "HTTP/1.1 200 OK\r\n" + cutLength + cutLength + "\r\n", body: cutBody, marked: true},
	"length, keep-alive":   {head: "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nConnection: close\r\n" + cutLength + "\r\n", body: cutBody, marked: true},
	"length, folded line":  {head: "HTTP/1.1 200 OK\r\nX: a\r\n b\r\n\tc\r\n" + cutLength + " \r\n\r\n", body: cutBody, marked: true},
	"length, folded":       {head: "HTTP/1.1 200 OK\r\nContent-Length:\r\n 30\r\n\r\n", body: cutBody, marked: true},
	"length, line feeds":   {head: strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+cutFields+cutLength+"\r\n", "\r", ""), body: cutBody, marked: true},
	"length, long line":    {head: "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 9000) + "\r\n" + cutLength + "\r\n", body: cutBody, marked: true},
	"length, HTTP/1.0":     {head: "HTTP/1.0 200 OK\r\n" + cutLength + "\r\n", body: cutBody, marked: true},
	"length 0":             {head: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", marked: true},
	"length and chunks":    {head: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n" + cutChunked + "\r\n", body: cutChunks + "0\r\n\r\n", marked: true},
	"chunks":               {head: "HTTP/1.1 200 OK\r\n" + cutFields + cutChunked + "\r\n", body: cutChunks + "0\r\n\r\n", marked: true},
	"chunks, trailers":     {head: "HTTP/1.1 200 OK\r\nTrailer: A, B\r\n" + cutChunked + "\r\n", body: cutChunks + "0\r\nA: 1\r\nB: 2\r\n\r\n", marked: true},
	"chunks, line feeds":   {head: "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n", body: cutChunks + "0\r\n\r\n", marked: true},
	"no length":            {head: "HTTP/1.1 200 OK\r\n" + cutFields + "\r\n", body: cutBody},
	"no length, close":     {head: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", body: cutBody},
	"no length, HTTP/1.0":  {head: "HTTP/1.0 200 OK\r\n\r\n", body: cutBody},
	"no content":           {head: "HTTP/1.1 204 No Content\r\n" + cutFields + "\r\n", marked: true, empty: true},
	"no content, length":   {head: "HTTP/1.1 204 No Content\r\n" + cutLength + "\r\n", marked: true, empty: true},
	"not modified":         {head: "HTTP/1.1 304 Not Modified\r\n" + cutLength + "\r\n", marked: true, empty: true},
	"HEAD, length":         {method: http.MethodHead, head: "HTTP/1.1 200 OK\r\n" + cutLength + "\r\n", marked: true, empty: true},
	"HEAD, chunks":         {method: http.MethodHead, head: "HTTP/1.1 200 OK\r\n" + cutChunked + "\r\n", marked: true, empty: true},
	"interim, length":      {head: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + cutLength + "\r\n", body: cutBody, marked: true},
	"hints, no length":     {head: "HTTP/1.1 103 Early Hints\r\n" + cutLength + "\r\nHTTP/1.1 200 OK\r\n\r\n", body: cutBody},
	"two interims, chunks": {head: "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n" + cutChunked + "\r\n", body: cutChunks + "0\r\n\r\n", marked: true},
}

// cutEnds are the ways in which a server ends the connection.
var cutEnds = map[string]struct {
	end   func(*net.TCPConn) error
	clean bool
}{
	"closed": {(*net.TCPConn).Close, true},
	"half-closed": {func(c *net.TCPConn) error {
		if err := c.CloseWrite(); err != nil {
			return err
		}
		_, err := io.Copy(io.Discard, c) // until the client closes its side
		return err
	}, true},
	"silent, then closed": {func(c *net.TCPConn) error {
		time.Sleep(time.Millisecond)
		return c.Close()
	}, true},
	"reset": {func(c *net.TCPConn) error { return c.SetLinger(0) }, false},
}

// TestCutResponsesNeverLookComplete cuts responses of each framing at each byte, on new and on
// reused connections. A head without its blank line must not become a response, and a body ends
// only where its framing says so; without one, where the server closes the connection.
func TestCutResponsesNeverLookComplete(t *testing.T) {
	for name, response := range cutResponses {
		for endName, end := range cutEnds {
			t.Run(name+", "+endName, func(t *testing.T) {
				t.Parallel()
				text := response.head + response.body
				server := newCutServer(t, text, end.end)
				pool := NewPool(time.Second, func(error) {})
				for at := range len(text) + 1 {
					if at > 100 && at%1009 != 0 && at < len(text)-200 {
						continue // inside a long line
					}
					for _, reused := range []bool{false, true} {
						got := exchangeCut(t, pool, server, response.method, at, reused)
						whole := response.marked && at == len(text) || !response.marked && at >= len(response.head) && end.clean
						if end.clean {
							assert.Equal(t, got.err == nil, whole, "cut at %d of %d, reused %t: error %v, %q", at, len(text), reused, got.err, got.body)
						}
						assert.Assert(t, got.err != nil || whole, "cut at %d of %d, reused %t: the response looks complete: %q", at, len(text), reused, got.body)
						want := cutBody
						if response.empty || response.body == "" {
							want = ""
						}
						if got.err == nil && response.marked {
							assert.Equal(t, got.body, want)
						}
						assert.Assert(t, strings.HasPrefix(want, got.body), "%q", got.body)
					}
				}
			})
		}
	}
}

// cutResult is what the client got of a response.
type cutResult struct {
	body string
	err  error
}

// exchangeCut requests the response that the server cuts at a byte, on a new connection or on one
// that has carried another exchange.
func exchangeCut(t *testing.T, pool *Pool, server Server, method string, at int, reused bool) cutResult {
	t.Helper()
	server.ID = fmt.Sprint(at, reused)
	sequence := 1
	if reused {
		sequence = 2
		exchange, err := pool.Do(t.Context(), server, &Request{Method: http.MethodGet, Target: "/", Host: "h"})
		assert.NilError(t, err)
		_, err = io.ReadAll(exchange.Body)
		assert.NilError(t, err)
		exchange.Close(true)
	}
	if method == "" {
		method = http.MethodGet
	}
	exchange, err := pool.Do(t.Context(), server, &Request{Method: method, Target: "/", Host: "h", Header: http.Header{"Cut": {strconv.Itoa(at)}}})
	if err != nil {
		assert.ErrorIs(t, err, ErrConnectionLost)
		return cutResult{err: err}
	}
	defer exchange.Close(false)
	assert.Equal(t, exchange.Sequence, sequence)
	data, err := io.ReadAll(exchange.Body)
	if err != nil {
		assert.ErrorIs(t, err, ErrConnectionLost)
	}
	return cutResult{string(data), err}
}

// newCutServer starts a server that sends the text up to the byte which the Cut field of the
// request names, and then ends the connection. Without that field it sends a whole response.
func newCutServer(t *testing.T, text string, end func(*net.TCPConn) error) Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	serve := func(conn *net.TCPConn) error {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return nil // the client has closed the connection
			}
			at, err := strconv.Atoi(req.Header.Get("Cut"))
			if err == nil {
				if _, err := io.WriteString(conn, text[:at]); err != nil {
					return err
				}
				return end(conn)
			}
			if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
				return err
			}
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				if err := serve(conn.(*net.TCPConn)); err != nil {
					t.Log(err)
				}
			}()
		}
	}()
	return Server{Address: listener.Addr().String()}
}
