package gateway

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRefusalOfAnotherRequestIsNoProofOfNotRun has a server whose late refusal of an earlier request arrives in place of a response.
func TestRefusalOfAnotherRequestIsNoProofOfNotRun(t *testing.T) {
	b := newRawBackend(t, "a", func(_, request int, id string) string {
		if request == 1 {
			return "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
		}
		return rawOK(id)
	})
	f := newFixture(t, b)
	assert.Equal(t, f.send(t, http.MethodPost, "/unsafe/x", "in", "Id", "1").status, http.StatusOK)
	got := f.send(t, http.MethodPost, "/unsafe/x", "in", "Id", "2")
	assert.DeepEqual(t, b.executed(), []string{"1:in", "2:in"})
	assert.Equal(t, got.status, http.StatusBadGateway)
}

// TestRefusalWithoutRequestIDIsProofOfNotRun has a server that could not tell the ID of the request.
func TestRefusalWithoutRequestIDIsProofOfNotRun(t *testing.T) {
	b := newRawBackend(t, "a", func(connection, request int, id string) string {
		if connection == 0 && request == 0 {
			return "HTTP/1.1 421 Misdirected Request\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
		}
		return rawOK(id)
	})
	f := newFixture(t, b)
	assert.Equal(t, f.send(t, http.MethodPost, "/unsafe/x", "in", "Id", "1").status, http.StatusOK)
}
