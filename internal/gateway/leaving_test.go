package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/fleetpb"
)

// newLeavingBackend starts a server that says in its responses that it leaves.
func newLeavingBackend(t *testing.T, id string, respond func(w http.ResponseWriter, r *http.Request, body string)) *backend {
	t.Helper()
	return newBackend(t, id, func(w http.ResponseWriter, r *http.Request, body string) {
		w.Header().Set("Leaving", "1")
		respond(w, r, body)
	})
}

func usable(f *fixture, id string) bool {
	for _, server := range f.view.usableServers("s") {
		if server.ID == id {
			return true
		}
	}
	return false
}

// TestLeavingServerGetsNoFurtherRequest has each way in which a server may respond.
func TestLeavingServerGetsNoFurtherRequest(t *testing.T) {
	cases := map[string]func(w http.ResponseWriter, r *http.Request, body string){
		"success": respondOK,
		"failure": func(w http.ResponseWriter, _ *http.Request, _ string) { w.WriteHeader(http.StatusInternalServerError) },
		"refusal": func(w http.ResponseWriter, _ *http.Request, _ string) {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		"broken off after the header": func(w http.ResponseWriter, _ *http.Request, _ string) {
			if err := http.NewResponseController(w).Flush(); err != nil {
				t.Error(err)
			}
			panic(http.ErrAbortHandler)
		},
		"before the body is read": respondOK,
		"stream":                  streamEvents(1, 2, true),
		"broken stream":           streamEvents(1, 2, false),
	}
	for name, respond := range cases {
		t.Run(name, func(t *testing.T) {
			a := newLeavingBackend(t, "a", respond)
			f := newFixture(t, a)
			f.noticeReporter.targets = func() []string { return nil }
			f.send(t, http.MethodPost, "/unsafe/x", "body", "Id", "1", "Timeout-Ms", "300")
			before := len(a.executed())
			assert.Assert(t, !usable(f, "a"))
			f.send(t, http.MethodPost, "/unsafe/x", "body", "Id", "2", "Timeout-Ms", "300")
			assert.Equal(t, len(a.executed()), before)
		})
	}
}

// TestInterimResponseSaysThatServerLeaves has an interim response without a request ID. It
// counts once the final response shows whose it is.
func TestInterimResponseSaysThatServerLeaves(t *testing.T) {
	for _, own := range []bool{true, false} {
		a := newBackend(t, "a", func(w http.ResponseWriter, r *http.Request, body string) {
			id := w.Header().Get("Id")
			w.Header().Del("Id")
			w.Header().Set("Leaving", "1")
			w.WriteHeader(http.StatusEarlyHints)
			w.Header().Del("Leaving")
			w.Header().Set("Id", id)
			if !own {
				w.Header().Set("Id", "another")
			}
			respondOK(w, r, body)
		})
		f := newFixture(t, a)
		f.noticeReporter.targets = func() []string { return nil }
		f.send(t, http.MethodPost, "/unsafe/x", "body", "Id", "1", "Timeout-Ms", "300")
		assert.Equal(t, usable(f, "a"), !own)
	}
}

// TestForeignResponseDoesNotTakeServerOut has responses that belong to another request or come
// from another server at the address.
func TestForeignResponseDoesNotTakeServerOut(t *testing.T) {
	cases := map[string]func(w http.ResponseWriter, r *http.Request, body string){
		"other request": func(w http.ResponseWriter, r *http.Request, body string) {
			w.Header().Set("Id", "another")
			respondOK(w, r, body)
		},
		"no request ID": func(w http.ResponseWriter, _ *http.Request, _ string) {
			w.Header().Del("Id")
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		"other server": func(w http.ResponseWriter, _ *http.Request, _ string) {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
		},
	}
	for name, respond := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, newLeavingBackend(t, "a", respond))
			f.send(t, http.MethodPost, "/unsafe/x", "body", "Id", "1", "Timeout-Ms", "300")
			assert.Assert(t, usable(f, "a"))
		})
	}
}

// TestDirectoryDoesNotBringLeavingServerBack has heartbeats of the same start that say that the
// server is ready, a directory that starts anew, and a new start of the server.
func TestDirectoryDoesNotBringLeavingServerBack(t *testing.T) {
	a := newLeavingBackend(t, "a", respondOK)
	f := newFixture(t, a)
	f.noticeReporter.targets = func() []string { return nil }
	f.send(t, http.MethodPost, "/unsafe/x", "body", "Id", "1")
	assert.Assert(t, !usable(f, "a"))
	report := instanceOf(a)
	for _, sequence := range []uint64{1, 2, 900} {
		report.Sequence = sequence
		f.view.apply("another state host", &fleetpb.Update{Instances: []*fleetpb.Instance{report}})
		assert.Assert(t, !usable(f, "a"), "sequence %d", sequence)
	}
	report.BornMs, report.Sequence = 2, 1
	f.view.apply("another state host", &fleetpb.Update{Instances: []*fleetpb.Instance{report}})
	assert.Assert(t, usable(f, "a"), "a new start under the same ID")
}

// TestPlacedRequestDoesNotReachLeavingServer has a request that was placed at a server and
// waits for its permit when another response says that the server leaves.
func TestPlacedRequestDoesNotReachLeavingServer(t *testing.T) {
	a, b := newLeavingBackend(t, "a", respondLimited), newBackend(t, "b", respondOK)
	permits := &fakePermits{left: 1}
	f := newLimitedFixture(t, permits, a, b)
	var leaving sync.Once
	f.permits.call = func(ctx context.Context, req *fleetpb.PermitRequest) (*fleetpb.PermitResponse, error) {
		resp, err := permits.call(ctx, req)
		leaving.Do(func() { f.observe(f.view.usableServers("s")[0], ServerNotice{Leaving: true}) })
		return resp, err
	}
	for i := range 10 {
		assert.Equal(t, f.send(t, http.MethodPost, "/unsafe/x", "", "Id", fmt.Sprint(i)).status, http.StatusOK)
	}
	assert.Equal(t, len(a.executed()), 0)
	assert.Equal(t, len(b.executed()), 10)
}

// TestResumedStreamDoesNotReachLeavingServer has a stream that breaks off at a server that
// leaves and is resumed at the other one.
func TestResumedStreamDoesNotReachLeavingServer(t *testing.T) {
	var first atomic.Bool
	respond := func(w http.ResponseWriter, r *http.Request, body string) {
		if first.CompareAndSwap(false, true) {
			w.Header().Set("Leaving", "1")
			streamEvents(1, 3, false)(w, r, body)
			return
		}
		streamEvents(4, 6, true)(w, r, body)
	}
	a, b := newBackend(t, "a", respond), newBackend(t, "b", respond)
	f := newFixture(t, a, b)
	f.noticeReporter.targets = func() []string { return nil }
	got := f.send(t, http.MethodPost, "/stream/x", "in", "Id", "1", "Program", "p", "Budget", "1")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(1, 6))
	<-f.ledger.settled
	assert.Equal(t, len(a.executed()), 1)
	assert.Equal(t, len(b.executed()), 1)
}
