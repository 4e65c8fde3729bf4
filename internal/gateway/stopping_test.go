package gateway

import (
	"bufio"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// respondLate responds when the request was cancelled or after a time that is longer than all
// stops of these tests.
func respondLate(w http.ResponseWriter, r *http.Request, body string) {
	select {
	case <-r.Context().Done():
	case <-time.After(3 * time.Second):
		respondOK(w, r, body)
	}
}

// recordRuns has the entry know the runs of a route.
func (f *fixture) recordRuns(route string, run time.Duration) {
	for range 10 {
		f.runs.record(route, run, time.Now())
	}
}

// TestStoppingEntryRefusesUnsafeRequestsThatMayOutlastIt guards against unsafe requests that a
// stopping entry passes on and cuts off.
func TestStoppingEntryRefusesUnsafeRequestsThatMayOutlastIt(t *testing.T) {
	a := newBackend(t, "a", respondOK)
	f := newFixture(t, a)
	f.Drain(time.Now().Add(3 * time.Second))
	got := f.send(t, http.MethodPost, "/unsafe/x", "", "Id", "1")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.body, reasonStopping+"\n")
	after, err := time.ParseDuration(got.header.Get("Retry-After"))
	assert.NilError(t, err)
	assert.Assert(t, got.close && after < maxStoppingRetryAfter)
	assert.Equal(t, len(a.executed()), 0)

	assert.Equal(t, f.send(t, http.MethodPost, "/unsafe/x", "", "Id", "2", "Timeout-Ms", "1000").status, http.StatusOK, "its time limit ends before")
	f.recordRuns("unsafe", 500*time.Millisecond)
	assert.Equal(t, f.send(t, http.MethodPost, "/unsafe/x", "", "Id", "3").status, http.StatusOK, "such requests end before")
	f.recordRuns("unsafe", 3*time.Second)
	assert.Equal(t, f.send(t, http.MethodPost, "/unsafe/x", "", "Id", "4").status, http.StatusServiceUnavailable)
	assert.Equal(t, f.send(t, http.MethodGet, "/safe/x", "", "Id", "5").status, http.StatusOK, "it may be repeated")
}

// TestRequestsAtTheEndOfAStopGetAResponse guards against requests that are cut off when a stop
// ends: at a server, waiting for one, and with a body that has not arrived.
func TestRequestsAtTheEndOfAStopGetAResponse(t *testing.T) {
	const grace = 300 * time.Millisecond
	stop := func(f *fixture) {
		for _, route := range testRoutes {
			f.recordRuns(route.Name, time.Millisecond)
		}
		f.Drain(time.Now().Add(grace))
	}
	for _, path := range []string{"/unsafe/x", "/safe/x"} {
		f := newFixture(t, newBackend(t, "a", respondLate))
		stop(f)
		got := f.send(t, http.MethodPost, path, "", "Id", "1")
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusBadGateway, path)
		assert.Assert(t, got.close)
		assert.Equal(t, f.loads.load("a").failures, 0, "the server did not fail")
		assert.Assert(t, !f.crashDetector.hasCrashes.Load())
	}

	f := newFixture(t, newFullBackend(t, "a"))
	stop(f)
	got := f.send(t, http.MethodPost, "/unsafe/x", "", "Id", "1")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)

	for _, limited := range []bool{false, true} {
		a := newBackend(t, "a", respondOK)
		f := newFixture(t, a)
		if limited {
			f.limitMemory(1<<20, time.Second)
		}
		stop(f)
		conn := f.open(t, "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: 2\r\n\r\ni")
		start := time.Now()
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		defer resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		assert.Assert(t, resp.Close && time.Since(start) < 2*time.Second)
		assert.Equal(t, len(a.executed()), 0)
	}
}

// TestNoRequestIsTakenOnceTheEntryHasWaited guards against a request that is taken after a
// stopping entry has waited for the others, and is cut off when the process ends.
func TestNoRequestIsTakenOnceTheEntryHasWaited(t *testing.T) {
	a := newBackend(t, "a", respondOK)
	f := newFixture(t, a)
	f.Drain(time.Now().Add(time.Hour))
	assert.Equal(t, f.send(t, http.MethodPost, "/unsafe/x", "", "Id", "1").status, http.StatusOK)
	assert.NilError(t, f.Stop(t.Context()))
	assert.Equal(t, f.send(t, http.MethodPost, "/unsafe/x", "", "Id", "2").status, http.StatusServiceUnavailable)
	assert.Equal(t, len(a.executed()), 1)
}

// TestStreamThatHasBegunIsResumedDuringAStop has a server break off a stream that another one can
// continue.
func TestStreamThatHasBegunIsResumedDuringAStop(t *testing.T) {
	broken := 0
	f := newFixture(t, newBackend(t, "a", func(w http.ResponseWriter, r *http.Request, body string) {
		from := 1
		if after := r.Header.Get("After"); after != "" {
			_, err := fmt.Sscan(after, &from)
			assert.Check(t, err)
			from++
		}
		broken++
		streamEvents(from, from+1, broken > 1)(w, r, body)
	}))
	f.recordRuns("feed", 100*time.Millisecond)
	f.Drain(time.Now().Add(time.Second))
	got := f.send(t, http.MethodPost, "/feed/x", "", "Id", "1", "Timeout-Ms", "4000")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(1, 4))
}

// TestStreamThatHasBegunGoesOnAtTheEndOfAStop guards against streams that end sooner than the
// process does.
func TestStreamThatHasBegunGoesOnAtTheEndOfAStop(t *testing.T) {
	f := newFixture(t, newBackend(t, "a", func(w http.ResponseWriter, r *http.Request, body string) {
		streamEvents(1, 2, true)(w, r, body)
		assert.Check(t, http.NewResponseController(w).Flush())
		time.Sleep(600 * time.Millisecond)
		writeEvents(w, 3, 4)
	}))
	f.recordRuns("feed", 100*time.Millisecond)
	f.Drain(time.Now().Add(500 * time.Millisecond))
	got := f.send(t, http.MethodPost, "/feed/x", "", "Id", "1")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(1, 4))
}

func TestRunsOfEarlierPeriodsAreForgotten(t *testing.T) {
	runs := newRouteRuns()
	now := time.Now()
	runs.record("r", time.Second, now)
	runs.record("r", time.Millisecond, now.Add(runsPeriod))
	assert.Equal(t, runs.latest("r", now.Add(runsPeriod)).Longest, time.Second)
	assert.Equal(t, runs.latest("r", now.Add(runsPeriod)).Count, 2)
	assert.Equal(t, runs.latest("r", now.Add(2*runsPeriod)).Longest, time.Millisecond)
	assert.Equal(t, runs.latest("r", now.Add(4*runsPeriod)).Count, 0)
	runs.prune(now.Add(10 * runsPeriod))
	assert.Equal(t, len(runs.byRoute), 0)
}

// TestRetryLateInAStopIsNotSent guards against attempts that begin late in a stop: after a refusal,
// after a failure and after a wait.
func TestRetryLateInAStopIsNotSent(t *testing.T) {
	cases := map[string]struct {
		path   string
		first  func(w http.ResponseWriter)
		status int
	}{
		"refused": {"/unsafe/x", func(w http.ResponseWriter) {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, http.StatusServiceUnavailable},
		"broken off": {"/safe/x", func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, http.StatusBadGateway},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var f *fixture
			var attempts atomic.Int32
			respond := func(w http.ResponseWriter, _ *http.Request, _ string) {
				attempts.Add(1)
				f.Drain(time.Now().Add(time.Second))
				tc.first(w)
			}
			f = newFixture(t, newBackend(t, "a", respond), newBackend(t, "b", respond))
			got := f.send(t, http.MethodPost, tc.path, "", "Id", "1")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, tc.status)
			assert.Equal(t, attempts.Load(), int32(1))
			assert.Assert(t, got.close)
		})
	}
}
