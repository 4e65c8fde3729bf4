package gateway

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// TestStreamIsNotResumedAfterEventWithoutID has events that the next server cannot skip, because Last-Event-Id does not cover them.
func TestStreamIsNotResumedAfterEventWithoutID(t *testing.T) {
	const events = "data: token 1\n\ndata: token 2\n\n"
	var first atomic.Bool
	respond := func(w http.ResponseWriter, _ *http.Request, _ string) {
		if _, err := io.WriteString(w, events); err != nil {
			t.Error(err)
		}
		if first.CompareAndSwap(false, true) {
			if err := http.NewResponseController(w).Flush(); err != nil {
				t.Error(err)
			}
			panic(http.ErrAbortHandler)
		}
	}
	f := newFixture(t, newBackend(t, "a", respond), newBackend(t, "b", respond))
	got := f.send(t, http.MethodPost, "/stream/x", "in", "Id", "1", "Program", "p", "Budget", "1")
	assert.Equal(t, got.body, events)
	assert.Assert(t, got.err != nil, "the response looks complete")
}

// TestServerThatStartsStreamAnewIsNotForwarded has a server that ignores where the stream is to go on.
func TestServerThatStartsStreamAnewIsNotForwarded(t *testing.T) {
	cases := map[string]struct {
		after  string // Last-Event-Id of the client
		second func(http.ResponseWriter, *http.Request, string)
		body   string
		whole  bool
	}{
		"within a response, starts anew":      {"", streamEvents(1, 6, true), eventText(1, 3), false},
		"within a response, repeats the last": {"", streamEvents(3, 6, true), eventText(1, 3), false},
		"within a response, goes on":          {"", streamEvents(4, 6, true), eventText(1, 6), true},
		"by the client, starts anew":          {"3", streamEvents(1, 6, true), "unclear\n", true},
		"by the client, repeats the last":     {"3", streamEvents(3, 6, true), "unclear\n", true},
		"by the client, goes on":              {"3", streamEvents(4, 6, true), eventText(4, 6), true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var first atomic.Bool
			respond := func(w http.ResponseWriter, r *http.Request, body string) {
				if first.CompareAndSwap(false, true) {
					streamEvents(1, 3, false)(w, r, body)
					return
				}
				c.second(w, r, body)
			}
			a, b := newBackend(t, "a", respond), newBackend(t, "b", respond)
			f := newFixture(t, a, b)
			f.ledger.streams["0"] = software("")
			got := f.send(t, http.MethodPost, "/feed/x", "in", "Id", "1", "After", c.after, "Resumes", "0")
			assert.Equal(t, got.body, c.body)
			assert.Equal(t, got.err == nil, c.whole)
			assert.Equal(t, len(a.executed())+len(b.executed()), 2)
		})
	}
}

// TestClientResumesStreamWithOtherIDs has IDs that are no numbers, of which only the repetition of the last one can be noticed.
func TestClientResumesStreamWithOtherIDs(t *testing.T) {
	respond := func(w http.ResponseWriter, _ *http.Request, _ string) {
		w.Header().Set("Content-Type", "text/event-stream")
		if _, err := io.WriteString(w, "id: a\ndata: next\n\n"); err != nil {
			t.Error(err)
		}
	}
	f := newFixture(t, newBackend(t, "a", respond))
	f.ledger.streams["0"] = software("")
	assert.Equal(t, f.send(t, http.MethodPost, "/feed/x", "in", "Id", "1", "After", "b", "Resumes", "0").status, http.StatusOK)
	assert.Equal(t, f.send(t, http.MethodPost, "/feed/x", "in", "Id", "2", "After", "a", "Resumes", "0").status, http.StatusBadGateway)
}
