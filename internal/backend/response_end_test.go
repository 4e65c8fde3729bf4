package backend

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestServiceResponseNeedsMarkedEnd checks that a response is an answer only if its end
// is marked and was received. Each connection is closed normally after the response.
func TestServiceResponseNeedsMarkedEnd(t *testing.T) {
	tests := map[string]struct {
		response string
		status   int    // of the response; 0: connection lost
		body     string // of the response
	}{
		"length":            {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n[1,2]", 200, "[1,2]"},
		"empty":             {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 200, ""},
		"chunks":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n[1,2]\r\n0\r\n\r\n", 200, "[1,2]"},
		"no body":           {"HTTP/1.1 204 No Content\r\n\r\n", 204, ""},
		"client error":      {"HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n{}", 404, "{}"},
		"unmarked":          {"HTTP/1.1 200 OK\r\n\r\n[1,2]", 0, ""},
		"unmarked, 1.0":     {"HTTP/1.0 200 OK\r\n\r\n[1,2]", 0, ""},
		"unmarked error":    {"HTTP/1.1 404 Not Found\r\n\r\n{}", 0, ""},
		"invalid length":    {"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n[1,2]", 0, ""},
		"short":             {"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n[1,2]", 0, ""},
		"within a chunk":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n[1", 0, ""},
		"without the end":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n[1,2]\r\n", 0, ""},
		"without last line": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n[1,2]\r\n0\r\n", 0, ""},
		"within a trailer":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n5\r\n[1,2]\r\n0\r\nA: 1", 0, ""},
		"interim only":      {"HTTP/1.1 103 Early Hints\r\n\r\n", 0, ""},
		"interim, length":   {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n[1,2]", 0, ""},
		"continue, length":  {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n[1,2]", 200, "[1,2]"},
		"continue only":     {"HTTP/1.1 100 Continue\r\n\r\n", 0, ""},
		"reason 100":        {"HTTP/1.1 200 100\r\nContent-Length: 5\r\n\r\n[1,\n]", 200, "[1,\n]"},
		"status 000":        {"HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\n[1,2]", 0, ""},
		"status 000 alone":  {"HTTP/1.1 000\r\nContent-Length: 5\r\n\r\n[1,2]", 0, ""},
		"000 after an end":  {"\r\nHTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\n[1,2]", 0, ""},
		"status 099":        {"HTTP/1.1 099 OK\r\nContent-Length: 5\r\n\r\n[1,2]", 0, ""},
		"status 0200":       {"HTTP/1.1 0200 OK\r\nContent-Length: 5\r\n\r\n[1,2]", 0, ""},
		"status 600":        {"HTTP/1.1 600 x\r\nContent-Length: 5\r\n\r\n[1,2]", 0, ""},
		"switch":            {"HTTP/1.1 101 Switching Protocols\r\n\r\n[1,2]", 0, ""},
		"version 7.3":       {"HTTP/7.3 200 OK\r\nContent-Length: 5\r\n\r\n[1,2]", 0, ""},
		"continue, 000":     {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\n[1,2]", 0, ""},
		"unmarked refusal":  {"HTTP/1.1 429 Too Many Requests\r\n\r\n{}", 429, ""},
		"unmarked overload": {"HTTP/1.1 503 Service Unavailable\r\n\r\n{}", 503, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := callServiceWith(t, test.response)
			var refused *StatusError
			switch {
			case test.status == 0:
				assert.ErrorIs(t, err, ErrConnectionLost)
			case errors.As(err, &refused):
				assert.Equal(t, refused.Status, test.status)
				assert.Assert(t, refused.NotRun())
			default:
				assert.NilError(t, err)
				assert.Equal(t, got.Status, test.status)
				assert.Equal(t, string(got.Body), test.body)
			}
		})
	}
}

// callServiceWith calls a service that sends the given text and closes the connection.
func callServiceWith(t *testing.T, response string) (ServiceResponse, error) {
	t.Helper()
	return callServiceEnding(t, response, func(*net.TCPConn) error { return nil })
}

// callServiceEnding calls a service that sends the given text, calls end and closes the
// connection.
func callServiceEnding(t *testing.T, response string, end func(conn *net.TCPConn) error) (ServiceResponse, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- respondAndClose(listener, response, end) }()
	client, err := New("http://" + listener.Addr().String())
	assert.NilError(t, err)
	got, err := client.CallService(t.Context(), "service", "operation", "id", []byte("{}"))
	assert.NilError(t, <-served)
	return got, err
}

// respondAndClose accepts one connection, reads a request, sends the text, calls end and
// closes the connection.
func respondAndClose(listener net.Listener, response string, end func(conn *net.TCPConn) error) error {
	defer listener.Close()
	conn, err := listener.Accept()
	if err != nil {
		return err
	}
	defer conn.Close()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return err
	}
	if _, err := io.WriteString(conn, response); err != nil {
		return err
	}
	return end(conn.(*net.TCPConn))
}
