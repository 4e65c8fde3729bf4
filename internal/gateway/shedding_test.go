package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/passthrough"
)

// TestNewProgramIsRefusedWhileRunningOnesLackServers has calls of running programs that are
// refused, and turns that begin programs meanwhile.
func TestNewProgramIsRefusedWhileRunningOnesLackServers(t *testing.T) {
	respond := streamEvents(1, 2, true)
	f := newLimitedFixture(t, &fakePermits{left: 3}, newBackend(t, "limited", respond), newBackend(t, "b", respond))
	turn := func(id, previous string) clientResponse {
		return f.send(t, http.MethodPost, "/chat/x", "in", "Id", id, "Program", "p "+id, "Previous", previous, "Budget", "1")
	}
	assert.Equal(t, turn("1", "").status, http.StatusOK)
	<-f.ledger.settled

	f.shedder.level("s").RecordShortage(0)
	f.shedder.level("s").RecordShortage(100 * time.Millisecond)
	f.shedder.draw = func() float64 { return 0.99 }
	got := turn("2", "")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.body, reasonShed+"\n")
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, len(f.ledger.beginIDs), 1, "a refused turn reserves nothing")
	assert.Equal(t, turn("3", "1").status, http.StatusOK, "a running program")
	<-f.ledger.settled
}

// TestResumedStreamIsNotANewProgram guards against first turns that were refused when their client
// resumed them at another entry, as if they began programs: the service that the weights choose for
// new ones need not be the one that runs the stream.
func TestResumedStreamIsNotANewProgram(t *testing.T) {
	f := newLimitedFixture(t, &fakePermits{left: 3}, newBackend(t, "limited", streamFrom), newBackend(t, "b", streamFrom))
	f.ledger.streams["first"] = software("")
	f.shedder.level("s").RecordShortage(0)
	f.shedder.level("s").RecordShortage(100 * time.Millisecond)
	f.shedder.draw = func() float64 { return 0.9999 }
	got := f.send(t, http.MethodPost, "/stream/x", "in", "Id", "new", "Program", "q")
	assert.Equal(t, got.body, reasonShed+"\n")
	got = f.send(t, http.MethodPost, "/stream/x", "in", "Id", "again", "After", "3", "Resumes", "first", "Program", "p")
	assert.Equal(t, got.body, eventText(4, 6))
}

func TestRefusedCallOfRunningProgramIsAShortage(t *testing.T) {
	f := newFixture(t)
	f.send(t, http.MethodPost, "/unsafe/x", "", "Id", "1", "Timeout-Ms", "200")
	assert.Assert(t, f.shedder.admitWith("s", true, 0, 0.999) == nil, "a request without a program")
	for _, id := range []string{"2", "3"} {
		f.send(t, http.MethodPost, "/unsafe/x", "", "Id", id, "Program", "p", "Timeout-Ms", "200")
	}
	assert.ErrorIs(t, f.shedder.admitWith("s", true, 1, 0.999), errShed)
}

// TestOverloadedServerGetsFewerConcurrentRequests has a server that refuses requests while more
// come than it has slots.
func TestOverloadedServerGetsFewerConcurrentRequests(t *testing.T) {
	f := newFixture(t, newBackend(t, "a", respondOK))
	servers := f.view.usableServers("s")
	sel := selection{servers: servers, now: testTime, mayAsk: true}
	fill := func() int {
		n := 0
		for f.loads.acquire(sel) != nil {
			n++
		}
		return n
	}
	full := fill()
	assert.Equal(t, full, servers[0].Slots)
	for range full {
		f.loads.release("a", outcomeRefused, testTime)
	}
	reduced := fill()
	assert.Assert(t, reduced <= full/2, "%d of %d", reduced, full)
	for range reduced {
		f.loads.release("a", outcomeOK, testTime)
	}
	waiting := sel
	waiting.mayAsk = false
	assert.Assert(t, f.loads.acquire(waiting) == nil, "places of a reduced window go to those that wait")
	for range 200 {
		f.loads.acquireServer("a")
		f.loads.release("a", outcomeOK, testTime)
	}
	assert.Equal(t, fill(), full)
}

// TestFaultsAndLeavingClientsAreNoShortage has turns of running programs whose responses break
// off, fail or are given up by their clients, and turns that servers refuse, with and without
// a server that names a limit.
func TestFaultsAndLeavingClientsAreNoShortage(t *testing.T) {
	cases := []struct {
		name     string
		err      error
		strained bool
	}{
		{"broken off", passthrough.ErrConnectionLost, false},
		{"invalid", errInvalidResponse, false},
		{"not resumed", errNotResumed, false},
		{"given up by the client", errClientGone, false},
		{"refused", errNotRun, true},
		{"silent", errSilent, true},
		{"deadline", context.DeadlineExceeded, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			free := newFixture(t, newBackend(t, "a", respondOK))
			assert.Assert(t, admittedAfter(free, tc.err), "without a limit")
			limited := newLimitedFixture(t, &fakePermits{}, newBackend(t, "a", respondLimited))
			assert.Equal(t, admittedAfter(limited, tc.err), !tc.strained)
		})
	}
}

// admittedAfter reports whether a program is admitted after a hundred turns of running programs
// that ended with err within a second.
func admittedAfter(f *fixture, err error) bool {
	routes := f.view.routes.Load()
	c := &call{g: f.Gateway, route: routes.Match("h", "/chat/x"), service: routes.Services["s"], attemptStarted: time.Now()}
	for range 100 {
		c.recordTurn(err)
		f.shedder.started = f.shedder.started.Add(-10 * time.Millisecond)
	}
	return f.shedder.admitWith("s", c.isLimited(), 1, 0.999) == nil
}
