package gateway

import (
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// lateRefuser is a faulty server. It refuses the first request, and on a connection on which it
// has refused one, it writes that refusal once more before the response to the next one.
type lateRefuser struct {
	mu       sync.Mutex
	refusals map[int]string // latest refusal by connection
	runs     map[string]int // by request ID
	full     bool           // refuse all requests after the first run
}

// newLateRefuser starts a lateRefuser. makeRefusal returns a refusal of a request.
func newLateRefuser(t *testing.T, full bool, makeRefusal func(id string) string) (*lateRefuser, *backend) {
	r := &lateRefuser{refusals: make(map[int]string), runs: make(map[string]int), full: full}
	b := newRawBackend(t, "a", func(connection, request int, id string) string {
		r.mu.Lock()
		defer r.mu.Unlock()
		earlier := r.refusals[connection]
		if connection == 0 && request == 0 || r.full && len(r.runs) > 0 {
			r.refusals[connection] = makeRefusal(id)
			return earlier + r.refusals[connection]
		}
		r.runs[id]++
		return earlier + rawOK(id)
	})
	return r, b
}

func (r *lateRefuser) runsOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

func refusalWithID(id string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nId: " + id + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
}

func refusalWithoutID(string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
}

// TestLateCopyOfARefusalDoesNotRepeatItsRequest guards against a copy of a refusal that is taken
// for the refusal of a second sending of the same request, which the server runs: the request
// then ran twice.
func TestLateCopyOfARefusalDoesNotRepeatItsRequest(t *testing.T) {
	server, b := newLateRefuser(t, false, refusalWithID)
	f := newFixture(t, b)
	got := f.send(t, http.MethodPost, "/unsafe/x", "in", "Id", "1")
	assert.Equal(t, server.runsOf("1"), 1)
	assert.Equal(t, got.status, http.StatusOK)
}

// TestLateCopyOfARefusalIsNotForwarded guards against a client that is told that its request
// has not run, because of a copy of an earlier refusal, while the server runs it.
func TestLateCopyOfARefusalIsNotForwarded(t *testing.T) {
	server, b := newLateRefuser(t, true, refusalWithID)
	f := newFixture(t, b)
	got := f.send(t, http.MethodPost, "/unsafe/x", "in", "Id", "1", "Timeout-Ms", "400")
	assert.Equal(t, server.runsOf("1"), 1)
	assert.Assert(t, got.status != http.StatusServiceUnavailable, "a request that ran was refused")
}

// TestLateCopyOfARefusalWithoutIDProvesNothing guards against a refusal that names no request and
// is a copy of the refusal of an earlier one on the connection.
func TestLateCopyOfARefusalWithoutIDProvesNothing(t *testing.T) {
	for name, full := range map[string]bool{"then free": false, "then full": true} {
		t.Run(name, func(t *testing.T) {
			server, b := newLateRefuser(t, full, refusalWithoutID)
			f := newFixture(t, b)
			for _, id := range []string{"1", "2"} {
				got := f.send(t, http.MethodPost, "/unsafe/x", "in", "Id", id, "Timeout-Ms", "400")
				runs := server.runsOf(id)
				assert.Assert(t, runs <= 1, "request %s ran %d times", id, runs)
				assert.Assert(t, runs == 0 || got.status != http.StatusServiceUnavailable, "request %s ran and was refused", id)
			}
		})
	}
}
