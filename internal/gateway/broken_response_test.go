package gateway

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// TestBrokenErrorResponseIsNotCompletedByNextServer has two servers with the same error, the first of which breaks off a long body.
func TestBrokenErrorResponseIsNotCompletedByNextServer(t *testing.T) {
	var first atomic.Bool
	respond := func(w http.ResponseWriter, _ *http.Request, _ string) {
		w.WriteHeader(http.StatusNotFound)
		if first.CompareAndSwap(false, true) {
			if _, err := io.WriteString(w, strings.Repeat("x", 2*maxBufferedResponseBytes)); err != nil {
				t.Error(err)
			}
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, "failure"); err != nil {
			t.Error(err)
		}
	}
	f := newFixture(t, newBackend(t, "a", respond), newBackend(t, "b", respond))
	got := f.send(t, http.MethodPost, "/stream/x", "in", "Id", "1", "Program", "p", "Budget", "1")
	assert.Equal(t, got.status, http.StatusNotFound)
	assert.Assert(t, got.err != nil, "the response looks complete: %d bytes, end %q", len(got.body), got.body[max(0, len(got.body)-8):])
}
