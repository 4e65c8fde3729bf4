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
