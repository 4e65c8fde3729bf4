package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// hijack takes over the connection of a response and writes text to it. If reset is set, it
// then resets the connection instead of closing it.
func hijack(t *testing.T, w http.ResponseWriter, text string, reset bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		t.Error(err)
		return
	}
	defer conn.Close()
	if _, err := conn.Write([]byte(text)); err != nil {
		t.Error(err)
	}
	if tcp, ok := conn.(*net.TCPConn); ok && reset {
		if err := tcp.SetLinger(0); err != nil {
			t.Error(err)
		}
	}
}

// rawHeader returns the status line and header of a successful stream to a request, without
// the end of the header.
func rawHeader(r *http.Request) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\n", r.Header.Get("Id"))
}

// resumptionFailures are the ways in which a server may fail to resume a stream.
func resumptionFailures(t *testing.T) map[string]func(w http.ResponseWriter, r *http.Request) {
	failures := map[string]func(w http.ResponseWriter, r *http.Request){
		"reset": func(w http.ResponseWriter, _ *http.Request) { hijack(t, w, "", true) },
		"header only, then reset": func(w http.ResponseWriter, r *http.Request) {
			hijack(t, w, rawHeader(r)+"Transfer-Encoding: chunked\r\n\r\n", true)
		},
		"header only, then closed": func(w http.ResponseWriter, r *http.Request) {
			hijack(t, w, rawHeader(r)+"Transfer-Encoding: chunked\r\n\r\n", false)
		},
		"half of the header": func(w http.ResponseWriter, r *http.Request) { hijack(t, w, rawHeader(r), false) },
		"end without a length and events": func(w http.ResponseWriter, r *http.Request) {
			hijack(t, w, rawHeader(r)+"\r\n", false)
		},
		"end without a length in an event": func(w http.ResponseWriter, r *http.Request) {
			hijack(t, w, rawHeader(r)+"\r\nid: 4\ndata: tok", false)
		},
		"empty body without events": func(w http.ResponseWriter, r *http.Request) {
			hijack(t, w, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id")), false)
		},
		"error with a body": func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
			fmt.Fprint(w, "id: 4\ndata: error\n\n")
		},
		"error that breaks off": func(w http.ResponseWriter, r *http.Request) {
			hijack(t, w, fmt.Sprintf("HTTP/1.1 503 Busy\r\nId: %s\r\nSeal: s\r\nContent-Length: 9\r\n\r\nhalf", r.Header.Get("Id")), false)
		},
		"response to another request": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Id", "another")
			streamEvents(4, 6, true)(w, r, "")
		},
		"starts anew": func(w http.ResponseWriter, r *http.Request) { streamEvents(1, 6, true)(w, r, "") },
		"silence": func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
		},
	}
	for _, status := range []int{204, 206, 302, 400, 404, 408, 421, 429, 500, 502, 503, 504} {
		failures[fmt.Sprint("status ", status)] = func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }
	}
	return failures
}

// TestFailedResumptionsNeverLookComplete has a stream that breaks off and whose next tries fail
// in each way: the second, the second and third, or all.
func TestFailedResumptionsNeverLookComplete(t *testing.T) {
	const attempts = 4
	for name, fail := range resumptionFailures(t) {
		for failing := 1; failing < attempts; failing++ {
			t.Run(fmt.Sprintf("%s, %d tries", name, failing), func(t *testing.T) {
				t.Parallel()
				var tries atomic.Int64
				respond := func(w http.ResponseWriter, r *http.Request, body string) {
					switch n := tries.Add(1); {
					case n == 1:
						streamEvents(1, 3, false)(w, r, body)
					case n <= int64(1+failing):
						fail(w, r)
					default:
						streamEvents(4, 6, true)(w, r, body)
					}
				}
				var servers []*backend
				for i := range attempts {
					servers = append(servers, newBackend(t, fmt.Sprint("s", i), respond))
				}
				f := newFixture(t, servers...)
				for _, route := range f.view.routes.Load().Routes {
					route.MaxAttempts = attempts
				}
				got := f.send(t, http.MethodPost, "/stream/x", "in", "Id", "1", "Program", "p", "Budget", "1", "Timeout-Ms", "1500")
				whole := got.body == eventText(1, 6)
				assert.Assert(t, whole || got.err != nil, "after %d tries the stream looks complete: %q", tries.Load(), got.body)
				assert.Assert(t, strings.HasPrefix(eventText(1, 6), got.body), "%q", got.body)
				<-f.ledger.settled
			})
		}
	}
}

// TestStreamIsNotCompletedByAnotherVersion has a stream that breaks off while all other servers
// run another version. Their events belong to another run, so that none may follow.
func TestStreamIsNotCompletedByAnotherVersion(t *testing.T) {
	for name, fail := range resumptionFailures(t) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var tries atomic.Int64
			var f *fixture
			other := newBackend(t, "b", streamEvents(4, 6, true))
			first := newBackend(t, "a", func(w http.ResponseWriter, r *http.Request, body string) {
				if tries.Add(1) > 1 {
					fail(w, r)
					return
				}
				f.setVersions(map[string]string{"b": "v2"}, other)
				streamEvents(1, 3, false)(w, r, body)
			})
			f = newFixture(t, first)
			f.setVersions(map[string]string{"a": "v1"}, first)
			for _, route := range f.view.routes.Load().Routes {
				route.MaxAttempts = 6
			}
			got := f.send(t, http.MethodPost, "/stream/x", "in", "Id", "1", "Program", "p", "Budget", "1", "Timeout-Ms", "1000")
			assert.Assert(t, got.err != nil, "the stream looks complete: %q", got.body)
			assert.Equal(t, got.body, eventText(1, 3))
			assert.Equal(t, len(other.executed()), 0)
			<-f.ledger.settled
		})
	}
}
