package gateway

import (
	"bufio"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestHTTP10RequestIsNotRunWithoutItsBody has requests whose bodies net/http does not read: the server ran them with an empty one.
func TestHTTP10RequestIsNotRunWithoutItsBody(t *testing.T) {
	for name, c := range map[string]struct {
		request string
		status  int
		ran     []string
	}{
		"chunks":      {"POST /unsafe/x HTTP/1.0\r\nHost: h\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nin\r\n0\r\n\r\n", 400, nil},
		"no length":   {"PUT /unsafe/x HTTP/1.0\r\nHost: h\r\nId: 1\r\n\r\nin", 400, nil},
		"length":      {"POST /unsafe/x HTTP/1.0\r\nHost: h\r\nId: 1\r\nContent-Length: 2\r\n\r\nin", 200, []string{"1:in"}},
		"length 0":    {"POST /unsafe/x HTTP/1.0\r\nHost: h\r\nId: 1\r\nContent-Length: 0\r\n\r\n", 200, []string{"1:"}},
		"no body":     {"GET /unsafe/x HTTP/1.0\r\nHost: h\r\nId: 1\r\n\r\n", 200, []string{"1:"}},
		"HTTP/1.1":    {"POST /unsafe/x HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n", 200, []string{"1:"}},
		"1.1, chunks": {"POST /unsafe/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nin\r\n0\r\n\r\n", 200, []string{"1:in"}},
	} {
		t.Run(name, func(t *testing.T) {
			server := newBackend(t, "a", respondOK)
			f := newFixture(t, server)
			conn := f.openRequest(t, c.request)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			defer resp.Body.Close()
			_, err = io.Copy(io.Discard, resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, c.status)
			assert.DeepEqual(t, server.executed(), c.ran)
		})
	}
}
