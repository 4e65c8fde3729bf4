package gateway

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// invalidStatusLines are first lines of responses that are none in HTTP/1, or that no request asked for.
var invalidStatusLines = []string{
	"HTTP/1.1 000", "HTTP/1.1 000 OK", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 x", "HTTP/1.1 700 x", "HTTP/1.1 999 x", "HTTP/1.1 +20 OK",
	"HTTP/7.3 200 OK", "HTTP/2.0 200 OK", "HTTP/1.1 101 Switching Protocols",
}

// invalidStatusForms are what follows such a line and the headers of a response.
var invalidStatusForms = map[string]string{
	"length":         "Content-Length: 2\r\n\r\nno",
	"chunks":         "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
	"no body":        "\r\n",
	"event":          "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: no\n\n",
	"whole response": "Content-Length: 400\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\nContent-Length: 5\r\n\r\nfalse",
}

// TestInvalidStatusReachesNobody guards against responses of a server in trouble whose status is no
// status, such as 000: a client got 101 or 999 as its answer, or the text of the body as a success. On
// routes whose requests may be repeated another server answers, on others the outcome is unknown.
func TestInvalidStatusReachesNobody(t *testing.T) {
	for _, line := range invalidStatusLines {
		for form, rest := range invalidStatusForms {
			for path, repeatable := range map[string]bool{"/safe/x": true, "/unsafe/x": false, "/stream/x": true, "/chat/x": false} {
				t.Run(fmt.Sprintf("%s, %s, %s", line, form, path), func(t *testing.T) {
					faulty := newRawBackend(t, "a", func(_, _ int, requestID string) string {
						return line + "\r\nId: " + requestID + "\r\nSeal: s\r\n" + rest
					})
					f := newFixture(t, faulty)
					if repeatable {
						sound := newBackend(t, "b", streamEvents(1, 2, true))
						f = newFixture(t, faulty, sound)
						f.loads.acquireServer(sound.id) // the faulty server is tried first
					}
					got := f.send(t, http.MethodPost, path, "in", "Id", "1", "Program", "p", "Timeout-Ms", "2000")
					assert.NilError(t, got.err)
					if !repeatable {
						assert.Equal(t, got.status, http.StatusBadGateway, got.body)
						assert.Equal(t, got.header.Get("Seal"), "")
						return
					}
					assert.Equal(t, got.status, http.StatusOK, got.body)
					assert.Equal(t, got.body, eventText(1, 2))
					assert.Equal(t, got.header.Get("Seal"), "seal of b")
				})
			}
		}
	}
}
