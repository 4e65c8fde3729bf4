package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/fleet"
	"ibistray.example/ibistray/internal/leaderclient"
	"ibistray.example/ibistray/proto/fleetpb"
)

// respondLimited responds and names a limit of four requests a second.
func respondLimited(w http.ResponseWriter, r *http.Request, body string) {
	w.Header().Set("Limit", "4")
	respondOK(w, r, body)
}

// fakePermits gives out a number of permits.
type fakePermits struct {
	mu    sync.Mutex
	left  int
	asked int
	err   error
}

func (p *fakePermits) call(_ context.Context, req *fleetpb.PermitRequest) (*fleetpb.PermitResponse, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked++
	if p.err != nil {
		return nil, p.err
	}
	resp := new(fleetpb.PermitResponse)
	if p.left > 0 {
		p.left--
		resp.Permits = 1
		resp.States = []*fleetpb.CandidateState{{Limit: req.Candidates[0].Notice.Limit}}
		return resp, nil
	}
	for _, candidate := range req.Candidates {
		resp.States = append(resp.States, &fleetpb.CandidateState{Limit: candidate.Notice.Limit, RetryMs: 50, SharePerSecond: 1})
	}
	return resp, nil
}

// newLimitedFixture returns a gateway that has seen the limit of server a, and its permits.
func newLimitedFixture(t *testing.T, permits *fakePermits, servers ...*backend) *fixture {
	t.Helper()
	f := newFixture(t, servers...)
	f.permits.call = permits.call
	f.noticeReporter.targets = func() []string { return nil }
	server := fleet.FromProto(instanceOf(servers[0]), time.Now())
	f.observe(server, ServerNotice{Limit: LimitNamed, RequestsPerSecond: 4})
	return f
}

func TestServerWithoutPermitGetsNoRequest(t *testing.T) {
	a, b := newBackend(t, "a", respondLimited), newBackend(t, "b", respondOK)
	f := newLimitedFixture(t, &fakePermits{left: 3}, a, b)
	for i := range 40 {
		assert.Equal(t, f.send(t, http.MethodPost, "/unsafe/x", "", "Id", fmt.Sprint(i)).status, http.StatusOK)
	}
	assert.Equal(t, len(a.executed()), 3)
	assert.Equal(t, len(b.executed()), 37)
}

// TestLimitHoldsWithoutLeader has an entry that reaches no leader of the state hosts.
func TestLimitHoldsWithoutLeader(t *testing.T) {
	a, b := newBackend(t, "a", respondLimited), newBackend(t, "b", respondOK)
	f := newLimitedFixture(t, &fakePermits{err: leaderclient.ErrUnavailable}, a, b)
	for i := range 20 {
		assert.Equal(t, f.send(t, http.MethodPost, "/unsafe/x", "", "Id", fmt.Sprint(i)).status, http.StatusOK)
	}
	assert.Equal(t, len(a.executed()), 0)
}

func TestRequestBeyondLimitIsRefusedWithRetryAfter(t *testing.T) {
	a := newBackend(t, "a", respondLimited)
	f := newLimitedFixture(t, &fakePermits{}, a)
	start := time.Now()
	got := f.send(t, http.MethodPost, "/unsafe/x", "", "Id", "1", "Timeout-Ms", "1000")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.body, reasonServerLimit+"\n")
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Assert(t, time.Since(start) < 900*time.Millisecond, "held for %s", time.Since(start))
	assert.Equal(t, len(a.executed()), 0)
}

func TestRetriesAndResumedStreamsNeedPermits(t *testing.T) {
	var attempts atomic.Int64
	b := newBackend(t, "a", func(w http.ResponseWriter, r *http.Request, body string) {
		w.Header().Set("Limit", "4")
		if attempts.Add(1) == 1 {
			streamEvents(1, 3, false)(w, r, body)
			return
		}
		streamEvents(4, 6, true)(w, r, body)
	})
	permits := &fakePermits{left: 2}
	f := newLimitedFixture(t, permits, b)
	got := f.send(t, http.MethodPost, "/stream/x", "in", "Id", "1", "Program", "p", "Budget", "1")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(1, 6))
	<-f.ledger.settled
	assert.Equal(t, permits.left, 0)
}

// TestPermitDoesNotOutlastSuspension has an entry that is suspended between a permit and its
// use.
func TestPermitDoesNotOutlastSuspension(t *testing.T) {
	a := newBackend(t, "a", respondLimited)
	permits := &fakePermits{left: 1}
	f := newLimitedFixture(t, permits, a)
	var suspended atomic.Int64
	boot := f.permits.now
	f.permits.now = func() time.Duration { return boot() + time.Duration(suspended.Load()) }
	f.permits.call = func(ctx context.Context, req *fleetpb.PermitRequest) (*fleetpb.PermitResponse, error) {
		resp, err := permits.call(ctx, req)
		suspended.Add(int64(5 * time.Second))
		return resp, err
	}
	got := f.send(t, http.MethodPost, "/unsafe/x", "", "Id", "1", "Timeout-Ms", "1000")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, len(a.executed()), 0)
}

// TestForeignResponseNamesNoLimit has responses that belong to another request or come from
// another server at the address.
func TestForeignResponseNamesNoLimit(t *testing.T) {
	cases := map[string]func(w http.ResponseWriter, r *http.Request, body string){
		"other request": func(w http.ResponseWriter, r *http.Request, body string) {
			w.Header().Set("Id", "another")
			respondLimited(w, r, body)
		},
		"other server": func(w http.ResponseWriter, _ *http.Request, _ string) {
			w.Header().Set("Limit", "4")
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
		},
	}
	for name, respond := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, newBackend(t, "a", respond))
			f.send(t, http.MethodPost, "/unsafe/x", "", "Id", "1", "Timeout-Ms", "500")
			assert.Assert(t, !f.view.usableServers("s")[0].Limited())
		})
	}
}

func TestLimitIsNamedByRefusalsAndErrorsAndWithdrawn(t *testing.T) {
	limit := "4"
	b := newBackend(t, "a", func(w http.ResponseWriter, r *http.Request, body string) {
		if limit != "" {
			w.Header().Set("Limit", limit)
		}
		switch body {
		case "refuse":
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		case "fail":
			w.WriteHeader(http.StatusInternalServerError)
		case "break":
			if err := http.NewResponseController(w).Flush(); err != nil {
				t.Error(err)
			}
			panic(http.ErrAbortHandler)
		}
	})
	for _, body := range []string{"refuse", "fail", "break"} {
		t.Run(body, func(t *testing.T) {
			limit = "4"
			f := newFixture(t, b)
			f.permits.call = (&fakePermits{left: 10}).call
			f.send(t, http.MethodPost, "/unsafe/x", body, "Id", "1", "Timeout-Ms", "300")
			assert.Assert(t, f.view.usableServers("s")[0].Limited())
			limit = "malformed"
			f.send(t, http.MethodPost, "/unsafe/x", "ok", "Id", "2", "Timeout-Ms", "300")
			assert.Assert(t, f.view.usableServers("s")[0].Limited())
			limit = ""
			f.send(t, http.MethodPost, "/unsafe/x", "ok", "Id", "3", "Timeout-Ms", "300")
			assert.Assert(t, !f.view.usableServers("s")[0].Limited())
		})
	}
}

// TestMalformedLimitTakesServerOutOfNothing has a server that names malformed limits from its
// first response on, in each way in which it may respond.
func TestMalformedLimitTakesServerOutOfNothing(t *testing.T) {
	statuses := map[string]int{"success": http.StatusOK, "failure": http.StatusInternalServerError, "refusal": http.StatusServiceUnavailable}
	for name, status := range statuses {
		t.Run(name, func(t *testing.T) {
			var broken atomic.Bool
			broken.Store(true)
			a := newBackend(t, "a", func(w http.ResponseWriter, _ *http.Request, _ string) {
				w.Header().Set("Limit", "malformed")
				if broken.Load() {
					w.WriteHeader(status)
				}
			})
			permits := new(fakePermits)
			f := newFixture(t, a)
			f.permits.call = permits.call
			f.send(t, http.MethodPost, "/unsafe/x", "", "Id", "first", "Timeout-Ms", "300")
			broken.Store(false)
			before := len(a.executed())
			for i := range 10 {
				assert.Equal(t, f.send(t, http.MethodPost, "/unsafe/x", "", "Id", fmt.Sprint(i)).status, http.StatusOK)
			}
			assert.Equal(t, len(a.executed()), before+10)
			assert.Assert(t, !f.view.usableServers("s")[0].Limited())
			assert.Equal(t, permits.asked, 0)
		})
	}
}

func TestWaitingRequestsAreOrdered(t *testing.T) {
	q := newPermitQueues()
	late := q.join("s", true, 0)
	assert.Assert(t, q.mayAsk("s", late) && !q.mayAsk("s", nil))
	running := q.join("s", false, 1)
	urgent := q.join("s", false, 0)
	assert.Equal(t, q.ahead(late), 2)
	assert.Assert(t, q.mayAsk("s", urgent) && !q.mayAsk("s", late))
	q.leave(urgent)
	<-running.first
	q.leave(running)
	q.leave(late)
	assert.Assert(t, q.mayAsk("s", nil))
	assert.Equal(t, len(q.byService), 0)
}
