package backend

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLateStreamIsNotReadOn has a server whose stream begins once the caller has given up and brings
// a little for ever. Its connection must be closed.
func TestLateStreamIsNotReadOn(t *testing.T) {
	closed := make(chan struct{})
	stop := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(silenceTimeout + 500*time.Millisecond)
		w.Header().Set("Content-Type", "text/event-stream")
		for {
			_, err := fmt.Fprint(w, ": more\n\n")
			if err = errors.Join(err, http.NewResponseController(w).Flush()); err != nil {
				close(closed)
				return
			}
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}))
	defer server.Close()
	defer close(stop)
	client, err := New(server.URL)
	assert.NilError(t, err)
	_, err = client.Chat(t.Context(), &ChatRequest{RequestID: "id"})
	assert.ErrorIs(t, err, ErrConnectionLost)
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the connection is still read")
	}
}
