package requestlimit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// server is a net/http server behind limits.
type server struct {
	*http.Server
	listener *Listener
}

// startServer starts a server that answers with the method, the path, the body and the trailers of a
// request. Requests to /wait get their response when proceed is closed or receives.
func startServer(t *testing.T, limits Limits, proceed <-chan struct{}) *server {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &server{listener: NewListener(inner, limits)}
	s.Server = &http.Server{
		ReadHeaderTimeout: time.Minute,
		MaxHeaderBytes:    2 * MaxHeadBytes,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			if r.URL.Path == "/wait" {
				<-proceed
			}
			if r.Context().Err() != nil {
				w.WriteHeader(http.StatusGone)
			}
			fmt.Fprintf(w, "%s %s %s %s", r.Method, r.URL.Path, body, r.Trailer.Get("T"))
		}),
		ConnState: func(conn net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				conn.(*Conn).EndRequest()
			}
		},
	}
	go func() { _ = s.Serve(s.listener) }()
	t.Cleanup(func() { s.Close() })
	return s
}

// dial returns a connection to the server and a reader of its responses.
func (s *server) dial(t assert.TestingT) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	assert.NilError(t, err)
	return conn, bufio.NewReader(conn)
}

// response returns the status and the body of the next response.
func response(t assert.TestingT, r *bufio.Reader) (int, string) {
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(body)
}

// exchange sends raw bytes on a new connection and returns the response.
func (s *server) exchange(t *testing.T, raw string) (int, string) {
	t.Helper()
	conn, reader := s.dial(t)
	defer conn.Close()
	_, err := io.WriteString(conn, raw)
	assert.NilError(t, err)
	return response(t, reader)
}

const getHead = "GET /a HTTP/1.1\r\nHost: h\r\n"

// TestRequestsInsideTheLimitsAreServed sends what clients may send: heads up to the limit in many
// fields, empty lines before a request, trailers, extensions of chunks, and lines that end with a
// line feed alone.
func TestRequestsInsideTheLimitsAreServed(t *testing.T) {
	s := startServer(t, Limits{HeadBytes: func() int { return 16 << 10 }, Memory: NewMemory(1)}, nil)
	const chunkedHead = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\n"
	for raw, want := range map[string]string{
		getHead + "\r\n": "GET /a  ",
		getHead + strings.Repeat("a:\r\n", 4<<10-4) + "\r\n":            "GET /a  ",
		getHead + strings.Repeat("a:\n", 5<<10) + "\r\n":                "GET /a  ",
		getHead + "X: " + strings.Repeat("x", 16<<10-16) + "\r\n\r\n":   "GET /a  ",
		"\r\n" + getHead + "\r\n":                                       "GET /a  ",
		"\n\r\n" + getHead + "\r\n":                                     "GET /a  ",
		"GET /a HTTP/1.1\nHost: h\n\n":                                  "GET /a  ",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length:  3 \r\n\r\nabc": "POST /a abc ",
		chunkedHead + "3;x=y\r\nabc\r\n0\r\n\r\n":                       "POST /a abc ",
		chunkedHead + "3\r\nabc\r\n00\r\nT: last\r\n\r\n":               "POST /a abc last",
		chunkedHead + "0A\r\n0123456789\r\n1\r\nx\r\n0\r\n\r\n":         "POST /a 0123456789x ",
	} {
		status, body := s.exchange(t, raw)
		assert.Equal(t, status, http.StatusOK, "%.60q", raw)
		assert.Equal(t, body, want)
		// The server releases a request after its client has the response.
		for s.listener.limits.Memory.Held() != 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

// TestRequestsBeyondTheLimitsAreRefused guards against heads that are held or passed on although they
// exceed the limits, or although servers could differ on where the request ends.
func TestRequestsBeyondTheLimitsAreRefused(t *testing.T) {
	s := startServer(t, Limits{HeadBytes: func() int { return 16 << 10 }}, nil)
	const post = "POST /a HTTP/1.1\r\nHost: h\r\n"
	for raw, want := range map[string]int{
		getHead + strings.Repeat("a:\r\n", 6<<10):                                            http.StatusRequestHeaderFieldsTooLarge,
		getHead + "X: " + strings.Repeat("x", 21<<10):                                        http.StatusRequestHeaderFieldsTooLarge,
		strings.Repeat("G", 21<<10):                                                          http.StatusRequestHeaderFieldsTooLarge,
		strings.Repeat("\r\n", 100):                                                          http.StatusBadRequest,
		post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n":            http.StatusBadRequest,
		post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc":                           http.StatusBadRequest,
		post + "Content-Length: +3\r\n\r\nabc":                                               http.StatusBadRequest,
		post + "Content-Length: 1\r\n 2\r\n\r\nabc":                                          http.StatusBadRequest,
		post + "Content-Length : 3\r\n\r\nabc":                                               http.StatusBadRequest,
		post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n":                           http.StatusNotImplemented,
		"POST /a HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n":         http.StatusBadRequest,
		post + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n":                                   http.StatusBadRequest,
		post + "Transfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("x", 5<<10):           http.StatusBadRequest,
		post + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("T: x\r\n", 4<<10): http.StatusBadRequest,
	} {
		status, _ := s.exchange(t, raw)
		assert.Equal(t, status, want, "%.80q", raw)
	}
}

// TestHeadsTakeNoMemoryFromOrdinaryRequests guards against large heads that are held while others
// hold all the memory for them, and against ordinary requests that are refused then.
func TestHeadsTakeNoMemoryFromOrdinaryRequests(t *testing.T) {
	s := startServer(t, Limits{Memory: NewMemory(100 << 10)}, nil)
	large := getHead + "X: " + strings.Repeat("x", 30<<10)
	var conns []net.Conn
	for range 2 {
		conn, _ := s.dial(t)
		defer conn.Close()
		_, err := io.WriteString(conn, large)
		assert.NilError(t, err)
		conns = append(conns, conn)
	}
	for s.listener.limits.Memory.Held() < 50<<10 {
		time.Sleep(time.Millisecond)
	}
	status, body := s.exchange(t, large+"\r\n\r\n")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, body, "memory\n")
	status, _ = s.exchange(t, getHead+"\r\n")
	assert.Equal(t, status, http.StatusOK)
	for _, conn := range conns {
		assert.NilError(t, conn.Close())
	}
	for s.listener.limits.Memory.Held() > 0 {
		time.Sleep(time.Millisecond)
	}
	status, _ = s.exchange(t, large+"\r\n\r\n")
	assert.Equal(t, status, http.StatusOK)
}

// TestRefusedHeadBehindARunningRequestDoesNotEndIt guards against a sound request that is cancelled,
// or gets the refusal of the next request on its connection.
func TestRefusedHeadBehindARunningRequestDoesNotEndIt(t *testing.T) {
	for _, next := range []string{getHead + strings.Repeat("a:\r\n", 30<<10), strings.Repeat("\r\n", 100), "G"} {
		proceed := make(chan struct{}, 1)
		s := startServer(t, Limits{}, proceed)
		conn, reader := s.dial(t)
		defer conn.Close()
		go func() { _, _ = io.WriteString(conn, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"+next) }()
		time.Sleep(20 * time.Millisecond)
		proceed <- struct{}{}
		status, body := response(t, reader)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, "GET /wait  ")
	}
}

// TestHeadsThatArriveTooSlowlyEnd guards against connections on which a head never ends, also behind
// an earlier request.
func TestHeadsThatArriveTooSlowlyEnd(t *testing.T) {
	s := startServer(t, Limits{HeadTimeout: func() time.Duration { return time.Millisecond }}, nil)
	conn, reader := s.dial(t)
	defer conn.Close()
	_, err := io.WriteString(conn, getHead+"\r\n")
	assert.NilError(t, err)
	status, _ := response(t, reader)
	assert.Equal(t, status, http.StatusOK)
	_, err = io.WriteString(conn, getHead)
	assert.NilError(t, err)
	_, err = reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// TestConnectionsBeyondTheLimitReplaceWaitingOnes guards against clients that are shut out by
// connections without a request, and against running requests that are cut off for new ones.
func TestConnectionsBeyondTheLimitReplaceWaitingOnes(t *testing.T) {
	proceed := make(chan struct{})
	s := startServer(t, Limits{Connections: 4}, proceed)
	running, reader := s.dial(t)
	defer running.Close()
	_, err := io.WriteString(running, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	for range 3 {
		conn, _ := s.dial(t)
		defer conn.Close()
	}
	time.Sleep(300 * time.Millisecond)
	status, _ := s.exchange(t, getHead+"\r\n")
	assert.Equal(t, status, http.StatusOK)
	close(proceed)
	status, _ = response(t, reader)
	assert.Equal(t, status, http.StatusOK)
}

// TestClosedConnectionsHoldNothing guards against memory that is taken for ever by connections which
// are closed while a request arrives.
func TestClosedConnectionsHoldNothing(t *testing.T) {
	for range 20 {
		s := startServer(t, Limits{Memory: NewMemory(64 << 20), BufferedBodies: true, MaxBodyBytes: 1 << 20}, nil)
		var clients sync.WaitGroup
		for i := range 50 {
			conn, _ := s.dial(t)
			raw := "POST /a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 20<<10) + "\r\nContent-Length: 500000\r\n"
			if i%2 == 0 {
				raw += "Expect: 100-continue\r\n"
			}
			clients.Go(func() {
				defer conn.Close()
				_, _ = io.WriteString(conn, raw+"\r\n"+strings.Repeat("b", 490_000))
			})
		}
		time.Sleep(2 * time.Millisecond)
		assert.NilError(t, s.Close())
		clients.Wait()
		for s.listener.limits.Memory.Held() != 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

// TestSplitRequests sends requests one behind the other in parts of any size.
func TestSplitRequests(t *testing.T) {
	s := startServer(t, Limits{Memory: NewMemory(1 << 20)}, nil)
	rapid.Check(t, func(t *rapid.T) {
		var raw strings.Builder
		var want []string
		for i := range rapid.IntRange(1, 6).Draw(t, "requests") {
			body := strings.Repeat("b", rapid.SampledFrom([]int{0, 1, 3, 5000, 40_000}).Draw(t, "body"))
			trailer := ""
			raw.WriteString(strings.Repeat("\r\n", rapid.IntRange(0, 2).Draw(t, "empty lines")*min(i, 1)))
			fmt.Fprintf(&raw, "POST /%d HTTP/1.1\r\nHost: h\r\nX-Fill: %s\r\n", i, strings.Repeat("f", rapid.SampledFrom([]int{0, 4000, 9000}).Draw(t, "head")))
			if rapid.Bool().Draw(t, "chunked") {
				fmt.Fprintf(&raw, "Transfer-Encoding: chunked\r\n\r\n")
				for part := range strings.SplitSeq(body, "bbbb") {
					fmt.Fprintf(&raw, "%x\r\n%sx\r\n", len(part)+1, part)
				}
				raw.WriteString("0\r\nT: t\r\n\r\n")
				body = strings.ReplaceAll(body, "bbbb", "x") + "x"
				trailer = "t"
			} else {
				fmt.Fprintf(&raw, "Content-Length: %d\r\n\r\n%s", len(body), body)
			}
			want = append(want, fmt.Sprintf("POST /%d %s %s", i, body, trailer))
		}
		conn, reader := s.dial(t)
		defer conn.Close()
		sizes := rapid.SliceOfN(rapid.SampledFrom([]int{1, 2, 7, 500, 4096, 10_000}), 1, 5).Draw(t, "parts")
		go func() {
			rest := raw.String()
			for i := 0; rest != ""; i++ {
				n := min(len(rest), sizes[i%len(sizes)]*(1+i/100))
				if _, err := io.WriteString(conn, rest[:n]); err != nil {
					return
				}
				rest = rest[n:]
			}
		}()
		for _, text := range want {
			status, body := response(t, reader)
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, body, text)
		}
	})
}
