package gateway

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// trickle sends part every interval until the client has gone.
func trickle(t *testing.T, part string, interval time.Duration) func(http.ResponseWriter, *http.Request, string) {
	return func(w http.ResponseWriter, r *http.Request, _ string) {
		w.Header().Set("Content-Type", "text/event-stream")
		for r.Context().Err() == nil {
			if _, err := io.WriteString(w, part); err != nil {
				return
			}
			if err := http.NewResponseController(w).Flush(); err != nil {
				t.Log(err)
				return
			}
			time.Sleep(interval)
		}
	}
}

// TestStalledStreamThatSendsBytesIsMovedOn has a server whose stream makes no progress but
// sends comments or bytes of an event that never ends. The request must move on to the other
// server as it does when the first one is silent.
func TestStalledStreamThatSendsBytesIsMovedOn(t *testing.T) {
	for name, part := range map[string]string{"comments": ": alive\n\n", "blank lines": "\n", "an event without an end": "data: x\n"} {
		t.Run(name, func(t *testing.T) {
			stalled := newBackend(t, "a", trickle(t, part, 10*time.Millisecond))
			sound := newBackend(t, "b", streamEvents(1, 3, true))
			f := newFixture(t, stalled, sound)
			for range 4 { // half of the requests select the stalled server first
				got := f.send(t, http.MethodPost, "/feed/x", "in", "Id", "1", "Timeout-Ms", "3000")
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK)
				assert.Equal(t, got.body, eventText(1, 3))
			}
		})
	}
}
