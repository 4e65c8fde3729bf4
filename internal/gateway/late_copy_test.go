package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLateCopyOfAResponseReachesNobody has a server that sends a second copy of a response on
// a connection that is kept: with the first one, or when the next request has arrived. No caller may get a response that is not its own.
func TestLateCopyOfAResponseReachesNobody(t *testing.T) {
	const requests = 6
	plain := func(id string) string {
		body := "answer to " + id
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	}
	stream := func(id string) string {
		event := "id: 1\ndata: answer to " + id + "\n\n"
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, len(event), event)
	}
	interim := func(string) string { return "HTTP/1.1 103 Early Hints\r\nId: other\r\n\r\n" }
	refusal := func(id string) string {
		return "HTTP/1.1 503 Service Unavailable\r\nId: " + id + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	}
	anonymous := func(string) string { return "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 5\r\n\r\nother" }
	copies := map[string]func(id string) string{"plain": plain, "stream": stream, "interim": interim, "refusal": refusal, "without ID": anonymous}
	paths := map[string]func(id string) string{"/safe/x": plain, "/unsafe/x": plain, "/feed/x": stream}
	for name, makeCopy := range copies {
		for path, makeOwn := range paths {
			previous := "" // ID of the connection's previous request
			withResponse := func(_, _ int, id string) string { return makeOwn(id) + makeCopy(id) }
			inPlaceOfNext := func(_, request int, id string) string {
				defer func() { previous = id }()
				if request == 0 {
					return makeOwn(id)
				}
				return makeCopy(previous) + makeOwn(id)
			}
			for when, respond := range map[string]func(int, int, string) string{"with the response": withResponse, "in place of the next": inPlaceOfNext} {
				t.Run(name+path+" "+when, func(t *testing.T) {
					f := newFixture(t, newRawBackend(t, "a", respond))
					for n := range requests {
						id := fmt.Sprint("request-", n)
						got := f.send(t, http.MethodPost, path, "in", "Id", id)
						if got.err == nil && got.status == http.StatusOK {
							assert.Assert(t, strings.HasSuffix(strings.TrimSpace(got.body), "answer to "+id), "%s got %q", id, got.body)
						}
						time.Sleep(10 * time.Millisecond)
					}
				})
			}
		}
	}
}
