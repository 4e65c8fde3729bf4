package gateway

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestFaultyFramingNeverLooksComplete has servers that break off after a head which states the end
// of the body in a way that not every client reads: the client got a success with a short body.
func TestFaultyFramingNeverLooksComplete(t *testing.T) {
	for name, head := range map[string]string{
		"space before colon":         "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\nContent-Length : 30\r\n\r\n",
		"space before colon, chunks": "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\nTransfer-Encoding : chunked\r\n\r\n",
		"chunks in HTTP/1.0":         "HTTP/1.0 200 OK\r\nId: 1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		for _, body := range []string{"", "f\r\n", cutBody[:15]} {
			t.Run(fmt.Sprintf("%s, %q", name, body), func(t *testing.T) {
				f := newFixture(t, newBackend(t, "a", func(w http.ResponseWriter, _ *http.Request, _ string) { hijack(t, w, head+body, false) }))
				got := f.send(t, http.MethodPost, "/unsafe/x", "in", "Id", "1")
				assert.Assert(t, got.err != nil || got.status == http.StatusBadGateway, "status %d, %q looks complete", got.status, got.body)
			})
		}
	}
}
