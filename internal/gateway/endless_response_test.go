package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// maxEndlessBytes ends an endless response that nobody cuts off.
const maxEndlessBytes = 128 << 20

// newEndlessBackend starts a backend server that writes start and then part again and again
// until the caller closes the connection. written is the most that it could write on one.
func newEndlessBackend(t *testing.T, id, start, part string) (*backend, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	b := &backend{id: id, Server: &httptest.Server{URL: "http://" + listener.Addr().String()}}
	var written atomic.Int64
	block := []byte(strings.Repeat(part, 1+4096/len(part)))
	var connections sync.WaitGroup
	t.Cleanup(func() {
		listener.Close()
		connections.Wait()
	})
	serve := func(conn net.Conn) {
		defer conn.Close()
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		if _, err := io.WriteString(conn, strings.ReplaceAll(start, "$ID", req.Header.Get("Id"))); err != nil {
			return
		}
		for total := int64(0); total < maxEndlessBytes; {
			n, err := conn.Write(block)
			total += int64(n)
			for most := written.Load(); most < total && !written.CompareAndSwap(most, total); {
				most = written.Load()
			}
			if err != nil {
				return
			}
		}
	}
	connections.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Go(func() { serve(conn) })
		}
	})
	return b, &written
}

// TestEndlessResponseIsCutOff has servers whose responses go on until the caller closes the
// connection. The client must get one response that does not look complete, or a truthful
// refusal, and the server must not be read without end.
func TestEndlessResponseIsCutOff(t *testing.T) {
	const (
		head    = "HTTP/1.1 200 OK\r\nId: $ID\r\nSeal: s\r\n"
		events  = head + "Content-Type: text/event-stream\r\n\r\n"
		refusal = "HTTP/1.1 503 Service Unavailable\r\nId: $ID\r\nNot-Run: 1\r\n\r\n"
	)
	tests := []struct {
		name, method, path, start, part string
		refused                         bool
	}{
		{"body of a refusal", http.MethodPost, "/unsafe/x", refusal, "x", true},
		{"body without a length", http.MethodPost, "/unsafe/x", head + "\r\n", "x", false},
		{"chunks without end", http.MethodPost, "/unsafe/x", head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n", false},
		{"event without a line end", http.MethodPost, "/stream/x", events + "id: 1\ndata: ", "x", false},
		{"event of many lines", http.MethodPost, "/stream/x", events + "id: 1\n", "data: x\n", false},
		{"comments without an event", http.MethodPost, "/stream/x", events + "id: 1\ndata: a\n\n", ": x\n\n", false},
		{"blank lines without an event", http.MethodPost, "/stream/x", events + "id: 1\ndata: a\n\n", "\n", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server, written := newEndlessBackend(t, "a", test.start, test.part)
			f := newFixture(t, server)
			got := f.send(t, test.method, test.path, "in", "Id", "1", "Timeout-Ms", "60000")
			if test.refused {
				assert.Equal(t, got.status, http.StatusServiceUnavailable)
				assert.NilError(t, got.err)
			} else {
				assert.Assert(t, got.err != nil || got.status == http.StatusBadGateway, "status %d, the response looks complete", got.status)
			}
			if strings.HasPrefix(test.path, "/stream/") {
				assert.Assert(t, len(got.body) <= 2*maxEventBytes, "the client got %d bytes without an event", len(got.body))
			}
			assert.Assert(t, written.Load() < maxEndlessBytes, "the server was read without end")
		})
	}
}
