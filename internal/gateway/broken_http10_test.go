package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBrokenStreamIsNotCompletedForHTTP10Client has a client for which the regular end of the connection completes a response.
func TestBrokenStreamIsNotCompletedForHTTP10Client(t *testing.T) {
	f := newFixture(t, newBackend(t, "a", streamEvents(1, 3, false)))
	conn, err := net.Dial("tcp", f.front.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = io.WriteString(conn, "POST /chat/x HTTP/1.0\r\nHost: h\r\nId: 1\r\nProgram: p\r\nBudget: 1\r\nContent-Length: 2\r\n\r\nin")
	assert.NilError(t, err)
	data, err := io.ReadAll(conn)
	if err == nil && strings.HasPrefix(string(data), "HTTP/1.0 200") {
		t.Fatalf("the response looks complete: %q", data)
	}
}

// TestStreamOfHalfClosedHTTP10ClientIsNotCompleted has a client that closes its sending side in the middle of a stream and still reads.
func TestStreamOfHalfClosedHTTP10ClientIsNotCompleted(t *testing.T) {
	f := newFixture(t, newBackend(t, "a", func(w http.ResponseWriter, r *http.Request, _ string) {
		writeEvents(w, 1, 3)
		if err := http.NewResponseController(w).Flush(); err != nil {
			t.Error(err)
		}
		<-r.Context().Done()
	}))
	conn := f.openRequest(t, "POST /chat/x HTTP/1.0\r\nHost: h\r\nId: 1\r\nProgram: p\r\nBudget: 1\r\nContent-Length: 2\r\n\r\nin")
	reader := bufio.NewReader(conn)
	resp, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.NilError(t, conn.CloseWrite())
	data, err := io.ReadAll(resp.Body)
	assert.Assert(t, err != nil, "the response looks complete: %q", data)
}
