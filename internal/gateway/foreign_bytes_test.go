package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// errorsInPlaceOfEvents are successful responses to the resumption of a stream that bring an
// error instead of its events.
var errorsInPlaceOfEvents = map[string]struct{ contentType, body string }{
	"text":                 {"text/plain", "upstream failed\n\n"},
	"text without a type":  {"", "upstream failed\n\n"},
	"document":             {"application/json", "{\"error\":\"overloaded\"}\n\n"},
	"event without an ID":  {"text/event-stream", "event: error\ndata: overloaded\n\n"},
	"text between events":  {"text/event-stream", "id: 3\ndata: token 3\n\nupstream failed\n\n"},
	"data with other type": {"text/plain", "id: 3\ndata: overloaded\n\n"},
	"head of a response":   {"text/event-stream", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nerror\n\n"},
	"comment, then text":   {"text/event-stream", ": ping\n\nupstream failed\n\n"},
}

// TestErrorInPlaceOfResumedEventsReachesNobody guards against a server that answers the
// resumption of a stream with an error under a successful status: its text stood in the middle
// of the client's stream, which then ended as if it were complete.
func TestErrorInPlaceOfResumedEventsReachesNobody(t *testing.T) {
	for name, wrong := range errorsInPlaceOfEvents {
		for _, path := range []string{"/stream/x", "/feed/x"} {
			t.Run(name+path, func(t *testing.T) {
				respond := func(w http.ResponseWriter, r *http.Request, _ string) {
					if r.Header.Get("After") == "" {
						streamEvents(1, 2, false)(w, r, "")
						return
					}
					w.Header()["Content-Type"] = nil
					if wrong.contentType != "" {
						w.Header().Set("Content-Type", wrong.contentType)
					}
					fmt.Fprint(w, wrong.body)
				}
				f := newFixture(t, newBackend(t, "a", respond), newBackend(t, "b", respond))
				got := f.send(t, http.MethodPost, path, "in", "Id", "1")
				events := strings.ReplaceAll(got.body, ": ping\n\n", "")
				assert.Assert(t, strings.HasPrefix(eventText(1, 3), events), "the client got %q", got.body)
				assert.Assert(t, got.err != nil, "the stream ended as if it were complete")
			})
		}
	}
}

// TestBytesAfterAStreamWithoutLengthReachNobody guards against a server that writes another
// response, or an error, after the events of a response whose end only the connection marks.
func TestBytesAfterAStreamWithoutLengthReachNobody(t *testing.T) {
	for name, extra := range map[string]string{
		"error text": "upstream failed\r\n\r\n",
		"response":   "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 2\r\n\r\nno\n\n",
		"half line":  "HTTP/1.1 503 Serv",
	} {
		t.Run(name, func(t *testing.T) {
			server := newBackend(t, "a", func(w http.ResponseWriter, r *http.Request, _ string) {
				hijack(t, w, rawHeader(r)+"\r\n"+eventText(1, 3)+extra, false)
			})
			f := newFixture(t, server)
			got := f.send(t, http.MethodPost, "/chat/x", "in", "Id", "1")
			assert.Equal(t, got.body, eventText(1, 3))
			assert.Assert(t, got.err != nil, "the stream ended as if it were complete")
		})
	}
}
