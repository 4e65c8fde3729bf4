package gateway

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestConnectionWithUnreadRefusalIsNotReused has a refusal whose body cannot be read to its end: the rest of it would precede the next response.
func TestConnectionWithUnreadRefusalIsNotReused(t *testing.T) {
	reused := make(chan int, 16)
	b := newRawBackend(t, "a", func(connection, request int, id string) string {
		if request > 0 {
			reused <- connection
		}
		if connection == 0 && request == 0 {
			return "HTTP/1.1 503 Service Unavailable\r\nId: " + id + "\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\nbroken\r\n"
		}
		return rawOK(id)
	})
	f := newFixture(t, b)
	assert.Equal(t, f.send(t, http.MethodPost, "/unsafe/x", "in", "Id", "1").status, http.StatusOK)
	assert.Equal(t, len(reused), 0, "the connection was reused")
}
