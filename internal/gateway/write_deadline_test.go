package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRefusalAfterTheTimeLimitOfTheRequestBefore guards against a time limit of a request that
// stays on its connection, so that a later request which is refused before its body is read gets
// no response. net/http removes the limit between two requests.
func TestRefusalAfterTheTimeLimitOfTheRequestBefore(t *testing.T) {
	f := newFixture(t, newBackend(t, "a", respondOK))
	f.limitMemory(1<<20, time.Second)
	conn := f.open(t, "")
	responses := bufio.NewReader(conn)
	send := func(path, id string) int {
		_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nTimeout-Ms: 100\r\nContent-Length: 2\r\n\r\nin", path, id)
		assert.NilError(t, err)
		resp, err := http.ReadResponse(responses, nil)
		assert.NilError(t, err)
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		return resp.StatusCode
	}
	assert.Equal(t, send("/safe/x", "1"), http.StatusOK)
	time.Sleep(100*time.Millisecond + responseEndMargin)
	assert.Equal(t, send("/unknown/x", "2"), http.StatusNotFound)
}
