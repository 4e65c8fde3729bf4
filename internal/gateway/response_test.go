package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// openRequest writes the start of a request, as it is on the wire, on a new connection.
func (f *fixture) openRequest(t *testing.T, request string) *net.TCPConn {
	t.Helper()
	conn, err := net.DialTCP("tcp", nil, f.front.Listener.Addr().(*net.TCPAddr))
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	_, err = io.WriteString(conn, request)
	assert.NilError(t, err)
	return conn
}

// TestMalformedBodyIsNotAnsweredAsSuccess has a connected client; bytes after the body look like a request.
func TestMalformedBodyIsNotAnsweredAsSuccess(t *testing.T) {
	const header = "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	const next = "\r\nGET /safe/x HTTP/1.1\r\nHost: h\r\nId: 2\r\n\r\n"
	cases := map[string]string{
		"invalid chunk size":         "2\r\nok\r\nzz\r\n",
		"chunk longer than its size": "2\r\nokay\r\n0\r\n",
		"invalid trailer":            "2\r\nok\r\n0\r\nno trailer\r\n",
	}
	for name, body := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBackend(t, "a", respondOK)
			f := newFixture(t, b)
			reader := bufio.NewReader(f.openRequest(t, header+body+next))
			resp, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			defer resp.Body.Close()
			_, err = io.Copy(io.Discard, resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
			assert.Assert(t, resp.Close)
			_, err = reader.ReadByte()
			assert.ErrorIs(t, err, io.EOF)
			assert.Equal(t, len(b.executed()), 0)
		})
	}
}

// TestRequestWithoutResponseIsNotAnsweredAsSuccess has a client that closes its sending side and still reads.
func TestRequestWithoutResponseIsNotAnsweredAsSuccess(t *testing.T) {
	const header = "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nId: 1\r\n"
	cases := map[string]string{
		"in a chunk":          header + "Transfer-Encoding: chunked\r\n\r\n8\r\nhalf",
		"between chunks":      header + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"in the trailer":      header + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
		"in a body of length": header + "Content-Length: 8\r\n\r\nhalf",
		"after the body":      header + "Content-Length: 4\r\n\r\nbody",
	}
	for name, request := range cases {
		t.Run(name, func(t *testing.T) {
			silent := func(_ http.ResponseWriter, r *http.Request, _ string) { <-r.Context().Done() }
			f := newFixture(t, newBackend(t, "a", silent))
			conn := f.openRequest(t, request)
			assert.NilError(t, conn.CloseWrite())
			response, err := io.ReadAll(conn)
			assert.NilError(t, err)
			assert.Equal(t, string(response), "")
		})
	}
}

// TestFailedTurnIsNotKept has a server that fails: a turn that continues from the failed one would lack its output.
func TestFailedTurnIsNotKept(t *testing.T) {
	for _, status := range []int{http.StatusInternalServerError, http.StatusNotFound, http.StatusFound} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			f := newFixture(t, newBackend(t, "a", func(w http.ResponseWriter, _ *http.Request, _ string) { w.WriteHeader(status) }))
			f.front.Client().CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
			got := f.send(t, http.MethodPost, "/chat/x", "input", "Id", "1", "Program", "p", "Budget", "1")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, status)
			settled := <-f.ledger.settled
			assert.Equal(t, settled.CallId, "1")
			assert.Equal(t, settled.Tokens, uint64(0))
			assert.Assert(t, !settled.Keep)
		})
	}
}
