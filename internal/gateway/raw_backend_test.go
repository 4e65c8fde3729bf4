package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// newRawBackend starts a backend server whose responses are bytes. respond gets the number of
// the connection and of the request on it, both from 0, and the request ID.
func newRawBackend(t *testing.T, id string, respond func(connection, request int, requestID string) string) *backend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	b := &backend{id: id, Server: &httptest.Server{URL: "http://" + listener.Addr().String()}}
	var connections sync.WaitGroup
	t.Cleanup(func() {
		listener.Close()
		connections.Wait()
	})
	serve := func(number int, conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for n := 0; ; n++ {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			body, err := io.ReadAll(req.Body)
			if err != nil {
				return
			}
			b.mu.Lock()
			b.executions = append(b.executions, req.Header.Get("Id")+":"+string(body))
			b.mu.Unlock()
			if _, err := io.WriteString(conn, respond(number, n, req.Header.Get("Id"))); err != nil {
				return
			}
		}
	}
	connections.Go(func() {
		for number := 0; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			connections.Go(func() { serve(number, conn) })
		}
	})
	return b
}

// rawOK returns a complete response.
func rawOK(requestID string) string {
	return "HTTP/1.1 200 OK\r\nId: " + requestID + "\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok"
}
