package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLateCopyOfAResponseReachesNobody has a server that sends a second copy of a response on
// a connection that is kept: with the first one, before the next request, or in place of the
// next response. No caller may get a response that is not its own.
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
	for name, makeCopy := range copies {
		for path, makeOwn := range map[string]func(id string) string{"/safe/x": plain, "/unsafe/x": plain, "/feed/x": stream} {
			for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
				t.Run(fmt.Sprint(name, path, pause), func(t *testing.T) {
					last := ""
					server := newRawBackend(t, "a", func(_, request int, id string) string {
						own := makeOwn(id)
						switch previous := last; {
						case request%2 == 1 && previous != "":
							last = id
							return makeCopy(previous) + own // the copy is read in place of the response
						default:
							last = id
							return own + makeCopy(id)
						}
					})
					f := newFixture(t, server)
					for n := range requests {
						id := fmt.Sprint("request-", n)
						got := f.send(t, http.MethodPost, path, "in", "Id", id)
						if got.err == nil && got.status == http.StatusOK {
							want := "answer to " + id
							if path == "/feed/x" {
								want = "id: 1\ndata: " + want + "\n\n"
							}
							assert.Equal(t, got.body, want)
						}
						time.Sleep(pause)
					}
				})
			}
		}
	}
}
