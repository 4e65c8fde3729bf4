package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/fleetwatch"
	"ibistray.example/ibistray/internal/leaderclient"
	"ibistray.example/ibistray/internal/policy/admit"
	"ibistray.example/ibistray/internal/policy/gate"
	"ibistray.example/ibistray/proto/fleetpb"
	"ibistray.example/ibistray/proto/ledgerpb"
)

func TestResponseIsForwardedUnchanged(t *testing.T) {
	b := newBackend(t, "a", func(w http.ResponseWriter, r *http.Request, body string) {
		w.Header().Set("Custom", r.Header.Get("Custom")+" back")
		w.WriteHeader(http.StatusCreated)
		respondOK(w, r, body)
	})
	f := newFixture(t, b)
	got := f.send(t, http.MethodPost, "/unsafe/x?y=%2F", "body", "Id", "1", "Custom", "there")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusCreated)
	assert.Equal(t, got.body, "ok body")
	assert.Equal(t, got.header.Get("Seal"), "seal of a")
	assert.Equal(t, got.header.Get("Custom"), "there back")
}

func TestUnsafeRequestIsNotRetriedAfterInterruptedResponse(t *testing.T) {
	a, b := newBackend(t, "a", abortConnection), newBackend(t, "b", abortConnection)
	f := newFixture(t, a, b)
	got := f.send(t, http.MethodPost, "/unsafe/x", "body", "Id", "1")
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, got.header.Get("Retry-After"), "")
	assert.Equal(t, len(a.executed())+len(b.executed()), 1)
}

func TestUnsafeRequestIsRetriedWhenNotRun(t *testing.T) {
	full := newFullBackend(t, "a")
	b := newBackend(t, "b", respondOK)
	f := newFixture(t, full, b)
	for _, id := range []string{"1", "2", "3", "4"} {
		got := f.send(t, http.MethodPost, "/unsafe/x", "body", "Id", id)
		assert.Equal(t, got.status, http.StatusOK)
	}
	assert.Equal(t, len(b.executed()), 4)
}

func TestSafeRequestIsRetriedUpToMaxAttempts(t *testing.T) {
	a, b, c := newBackend(t, "a", abortConnection), newBackend(t, "b", abortConnection), newBackend(t, "c", abortConnection)
	f := newFixture(t, a, b, c)
	got := f.send(t, http.MethodGet, "/safe/x", "", "Id", "1")
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, len(a.executed())+len(b.executed())+len(c.executed()), 2)
}

func TestUnconfirmedNotRunStatusIsNotForwarded(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout} {
		b := newBackend(t, "a", func(w http.ResponseWriter, _ *http.Request, _ string) { w.WriteHeader(status) })
		f := newFixture(t, b)
		got := f.send(t, http.MethodPost, "/unsafe/x", "", "Id", "1")
		assert.Equal(t, got.status, http.StatusBadGateway)
		assert.Equal(t, got.header.Get("Seal"), "")
	}
}

func TestResponseWithWrongRequestIDIsNotForwarded(t *testing.T) {
	b := newBackend(t, "a", func(w http.ResponseWriter, r *http.Request, body string) {
		w.Header().Set("Id", "another")
		respondOK(w, r, body)
	})
	f := newFixture(t, b)
	assert.Equal(t, f.send(t, http.MethodPost, "/unsafe/x", "", "Id", "1").status, http.StatusBadGateway)
}

func TestUnsignedOrEncodedSuccessIsNotForwarded(t *testing.T) {
	cases := map[string]func(http.ResponseWriter, *http.Request, string){
		"unsigned": func(w http.ResponseWriter, r *http.Request, body string) {
			w.Header().Del("Seal")
			respondOK(w, r, body)
		},
		"encoded": func(w http.ResponseWriter, r *http.Request, body string) {
			w.Header().Set("Content-Encoding", "gzip")
			respondOK(w, r, body)
		},
	}
	for name, respond := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, newBackend(t, "a", respond))
			assert.Equal(t, f.send(t, http.MethodPost, "/unsafe/x", "", "Id", "1").status, http.StatusBadGateway)
		})
	}
}

func TestRequestWithoutRouteOrIDIsRefused(t *testing.T) {
	f := newFixture(t, newBackend(t, "a", respondOK))
	assert.Equal(t, f.send(t, http.MethodGet, "/nowhere/", "", "Id", "1").status, http.StatusNotFound)
	assert.Equal(t, f.send(t, http.MethodGet, "/safe/x", "").status, http.StatusBadRequest)
}

func TestServiceWithoutServersSendsRetryAfter(t *testing.T) {
	f := newFixture(t)
	got := f.send(t, http.MethodPost, "/unsafe/x", "", "Id", "1")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
}

func TestFullServersAreRetried(t *testing.T) {
	var attempts atomic.Int64
	b := &backend{id: "a"}
	*b = *newBackend(t, "a", func(w http.ResponseWriter, r *http.Request, body string) {
		if attempts.Add(1) < 4 {
			w.Header().Del("Seal")
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		respondOK(w, r, body)
	})
	f := newFixture(t, b)
	assert.Equal(t, f.send(t, http.MethodPost, "/unsafe/x", "", "Id", "1").status, http.StatusOK)
	assert.Equal(t, attempts.Load(), int64(4))
}

func TestInterruptedStreamResumesOnAnotherServer(t *testing.T) {
	var first atomic.Bool
	respond := func(w http.ResponseWriter, r *http.Request, body string) {
		if first.CompareAndSwap(false, true) {
			streamEvents(1, 3, false)(w, r, body)
			return
		}
		if r.Header.Get("After") != "3" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		streamEvents(4, 6, true)(w, r, body)
	}
	a, b := newBackend(t, "a", respond), newBackend(t, "b", respond)
	f := newFixture(t, a, b)
	got := f.send(t, http.MethodPost, "/stream/x", "in", "Id", "1", "Program", "p", "Budget", "1")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(1, 6))
	assert.Equal(t, len(a.executed()), 1)
	assert.Equal(t, len(b.executed()), 1)
	settled := <-f.ledger.settled
	assert.Equal(t, settled.Tokens, uint64(18))
}

// TestBrokenStreamIsNotCompletedByErrorOfNextServer has a stream that breaks and is resumed on a
// server that responds with an error. The end of the error body must not complete the stream.
func TestBrokenStreamIsNotCompletedByErrorOfNextServer(t *testing.T) {
	statuses := []int{http.StatusInternalServerError, http.StatusGatewayTimeout, http.StatusNotFound, http.StatusFound, http.StatusNoContent}
	for _, status := range statuses {
		t.Run(http.StatusText(status), func(t *testing.T) {
			var first atomic.Bool
			respond := func(w http.ResponseWriter, r *http.Request, body string) {
				if first.CompareAndSwap(false, true) {
					streamEvents(1, 3, false)(w, r, body)
					return
				}
				w.WriteHeader(status)
				if _, err := w.Write([]byte("failure")); err != nil && status != http.StatusNoContent {
					t.Error(err)
				}
			}
			f := newFixture(t, newBackend(t, "a", respond), newBackend(t, "b", respond))
			got := f.send(t, http.MethodPost, "/stream/x", "in", "Id", "1", "Program", "p", "Budget", "1")
			assert.Assert(t, got.err != nil, "the response looks complete: %q", got.body)
			assert.Equal(t, got.body, eventText(1, 3))
			assert.Equal(t, (<-f.ledger.settled).Tokens, uint64(9))
		})
	}
}

func TestInterruptedStreamOfNonResumableRouteFails(t *testing.T) {
	a, b := newBackend(t, "a", streamEvents(1, 3, false)), newBackend(t, "b", streamEvents(1, 3, false))
	f := newFixture(t, a, b)
	got := f.send(t, http.MethodPost, "/chat/x", "in", "Id", "1", "Program", "p", "Budget", "1")
	assert.Assert(t, got.err != nil)
	assert.Equal(t, got.body, eventText(1, 3))
	assert.Equal(t, len(a.executed())+len(b.executed()), 1)
	settled := <-f.ledger.settled
	assert.Assert(t, !settled.Keep)
	assert.Equal(t, settled.Tokens, uint64(9))
}

func TestTurnIsKeptBeforeResponseEnds(t *testing.T) {
	f := newFixture(t, newBackend(t, "a", streamEvents(1, 2, true)))
	got := f.send(t, http.MethodPost, "/chat/x", "input", "Id", "1", "Program", "p", "Previous", "0", "Budget", "1")
	assert.NilError(t, got.err)
	settled := <-f.ledger.settled
	assert.Assert(t, settled.Keep)
	assert.Equal(t, settled.Previous, "0")
	assert.Equal(t, string(settled.Input), "input")
	assert.Equal(t, string(settled.Output), "token 1\ntoken 2\n")
	assert.Equal(t, settled.Server, "a")
}

func TestTurnGoesToServerOfPreviousTurn(t *testing.T) {
	for _, home := range []string{"a", "b"} {
		f := newFixture(t, newBackend(t, "a", streamEvents(1, 2, true)), newBackend(t, "b", streamEvents(1, 2, true)))
		f.ledger.previous.server = home
		got := f.send(t, http.MethodPost, "/chat/x", "input", "Id", "1", "Program", "p", "Previous", "0", "Budget", "1")
		assert.NilError(t, got.err)
		assert.Equal(t, (<-f.ledger.settled).Server, home)
	}
}

func TestResponseFailsWhenTurnIsNotKept(t *testing.T) {
	f := newFixture(t, newBackend(t, "a", streamEvents(1, 2, true)))
	f.ledger.keepErr = leaderclient.ErrUnavailable
	got := f.send(t, http.MethodPost, "/chat/x", "input", "Id", "1", "Program", "p", "Budget", "1")
	assert.Assert(t, got.err != nil)
}

func TestEarlierTurnsArePrependedToInput(t *testing.T) {
	b := newBackend(t, "a", streamEvents(1, 1, true))
	f := newFixture(t, b)
	f.ledger.previous.turns = []*ledgerpb.Exchange{
		{Input: []byte("in1"), Output: []byte("out1\n")},
		{Input: []byte("in2"), Output: []byte("out2\n")},
	}
	got := f.send(t, http.MethodPost, "/chat/x", "in3", "Id", "3", "Program", "p", "Previous", "2", "Budget", "1")
	assert.NilError(t, got.err)
	assert.DeepEqual(t, b.executed(), []string{"3:in1out1\nin2out2\nin3"})
	// The stored input does not include the earlier turns.
	assert.Equal(t, string((<-f.ledger.settled).Input), "in3")
}

func TestTurnRefusedByLedgerIsNotRun(t *testing.T) {
	cases := []struct {
		err       error
		status    int
		retryable bool
	}{
		{errBudgetSpent, http.StatusPaymentRequired, false},
		{errUnknownTurn, http.StatusNotFound, false},
		{errors.Join(leaderclient.ErrUnavailable, errors.New("no quorum")), http.StatusServiceUnavailable, true},
		{&gate.OverloadError{Reason: admit.ReasonOverload, RetryAfter: time.Second}, http.StatusServiceUnavailable, true},
	}
	for _, c := range cases {
		b := newBackend(t, "a", streamEvents(1, 1, true))
		f := newFixture(t, b)
		f.ledger.beginErr = c.err
		got := f.send(t, http.MethodPost, "/chat/x", "in", "Id", "1", "Program", "p", "Budget", "1")
		assert.Equal(t, got.status, c.status)
		assert.Equal(t, got.header.Get("Retry-After") != "", c.retryable)
		var overload *gate.OverloadError
		if errors.As(c.err, &overload) {
			after, err := time.ParseDuration(got.header.Get("Retry-After"))
			assert.NilError(t, err)
			assert.Assert(t, after >= overload.RetryAfter)
		}
		assert.Equal(t, len(b.executed()), 0)
	}
}

// TestTurnWithUncertainReservationIsSettled has a ledger that did not respond. Without a
// settlement, the reservation would reduce the budget of the program for good.
func TestTurnWithUncertainReservationIsSettled(t *testing.T) {
	f := newFixture(t, newBackend(t, "a", streamEvents(1, 1, true)))
	f.ledger.beginErr = errors.Join(errMayBeReserved, leaderclient.ErrUnavailable)
	got := f.send(t, http.MethodPost, "/chat/x", "in", "Id", "1", "Program", "p", "Budget", "1")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	settled := <-f.ledger.settled
	assert.Equal(t, settled.CallId, "1")
	assert.Equal(t, settled.Tokens, uint64(0))
	assert.Assert(t, !settled.Keep)
}

// TestSlowServerIsNotAbandonedNearDeadline covers the load after all servers restarted:
// requests with little time left wait at busy servers. Sending them to another server
// would waste the work without leaving time for a second attempt.
func TestSlowServerIsNotAbandonedNearDeadline(t *testing.T) {
	busy := func(w http.ResponseWriter, r *http.Request, body string) {
		time.Sleep(200 * time.Millisecond)
		respondOK(w, r, body)
	}
	a, b := newBackend(t, "a", busy), newBackend(t, "b", busy)
	f := newFixture(t, a, b)
	got := f.send(t, http.MethodGet, "/safe/x", "", "Id", "1", "Timeout-Ms", "360")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, len(a.executed())+len(b.executed()), 1)
}

// TestSilentServerIsReplacedByAnother has a server that accepts requests but never
// responds, as behind a failed network path.
func TestSilentServerIsReplacedByAnother(t *testing.T) {
	var first atomic.Bool
	respond := func(w http.ResponseWriter, r *http.Request, body string) {
		if first.CompareAndSwap(false, true) {
			<-r.Context().Done()
			return
		}
		respondOK(w, r, body)
	}
	a, b := newBackend(t, "a", respond), newBackend(t, "b", respond)
	f := newFixture(t, a, b)
	got := f.send(t, http.MethodGet, "/safe/x", "", "Id", "1", "Timeout-Ms", "1000")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, len(a.executed()), 1)
	assert.Equal(t, len(b.executed()), 1)
}

// TestEndedAttemptIsNotRecordedAsResponse has a server that never responds. An attempt
// that the entry or the client ends must not count as a response of the server.
func TestEndedAttemptIsNotRecordedAsResponse(t *testing.T) {
	silent := func(_ http.ResponseWriter, r *http.Request, _ string) { <-r.Context().Done() }
	f := newFixture(t, newBackend(t, "a", silent))
	got := f.send(t, http.MethodGet, "/safe/x", "", "Id", "1", "Timeout-Ms", "1000")
	assert.Assert(t, got.status >= http.StatusInternalServerError, "status %d", got.status)

	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.front.URL+"/unsafe/x", nil)
	assert.NilError(t, err)
	req.Host = "h"
	req.Header.Set("Id", "2")
	resp, err := f.front.Client().Do(req)
	if err == nil {
		resp.Body.Close()
	}
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	f.front.Close() // waits until both requests have ended

	f.loads.mu.Lock()
	defer f.loads.mu.Unlock()
	assert.Assert(t, f.loads.load("a").lastResponse.IsZero())
	assert.Equal(t, f.loads.load("a").running, 0)
}

func TestTurnRefusedByAllServersSettlesZeroTokens(t *testing.T) {
	f := newFixture(t, newFullBackend(t, "a"))
	got := f.send(t, http.MethodPost, "/chat/x", "in", "Id", "1", "Program", "p", "Timeout-Ms", "300", "Budget", "1")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, (<-f.ledger.settled).Tokens, uint64(0))
}

func TestProgramStaysOnItsServer(t *testing.T) {
	a, b, c := newBackend(t, "a", streamEvents(1, 1, true)), newBackend(t, "b", streamEvents(1, 1, true)), newBackend(t, "c", streamEvents(1, 1, true))
	f := newFixture(t, a, b, c)
	for range 6 {
		f.send(t, http.MethodPost, "/stream/x", "in", "Id", "1", "Program", "p", "Budget", "1")
	}
	most := max(len(a.executed()), len(b.executed()), len(c.executed()))
	assert.Equal(t, most, 6)
}

func TestDrainingEntryServesAndClosesConnections(t *testing.T) {
	f := newFixture(t, newBackend(t, "a", respondOK))
	f.Drain(time.Now().Add(time.Hour))
	assert.Assert(t, !f.Ready())
	got := f.send(t, http.MethodGet, "/safe/x", "", "Id", "1")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Assert(t, got.close)
}

func TestEntryWithoutViewIsNotReady(t *testing.T) {
	f := newFixture(t)
	assert.Assert(t, !f.Ready())
}

// TestPartitionedEntryRefusesRequests covers an entry that still hears state hosts, but none
// with contact to a quorum: routes may have changed without it. An entry that hears no state
// host at all goes on serving.
func TestPartitionedEntryRefusesRequests(t *testing.T) {
	f := newFixture(t, newBackend(t, "a", respondOK))
	f.view.apply("majority", &fleetpb.Update{Quorum: true})
	long := minPartitionDelay + time.Second
	f.setQuorumAge(long)
	f.view.apply("minority", &fleetpb.Update{})
	got := f.send(t, http.MethodGet, "/safe/x", "", "Id", "1")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.close && got.header.Get("Retry-After") != "")
	assert.Assert(t, !f.Ready())

	f.view.lastUpdate.Add(-long.Nanoseconds())
	f.view.lastUpdate.Add(-fleetwatch.SilenceTimeout.Nanoseconds())
	assert.Equal(t, f.send(t, http.MethodGet, "/safe/x", "", "Id", "2").status, http.StatusOK)

	f.view.apply("majority", &fleetpb.Update{Quorum: true})
	assert.Equal(t, f.send(t, http.MethodGet, "/safe/x", "", "Id", "3").status, http.StatusOK)
}
