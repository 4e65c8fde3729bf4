package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/leaderclient"
	"ibistray.example/ibistray/internal/policy/admit"
	"ibistray.example/ibistray/internal/policy/gate"
	"ibistray.example/ibistray/proto/ledgerpb"
)

func TestAnswerIsPassedOnUnchanged(t *testing.T) {
	b := newBackend(t, "a", func(w http.ResponseWriter, r *http.Request, body string) {
		w.Header().Set("Custom", r.Header.Get("Custom")+" back")
		w.WriteHeader(http.StatusCreated)
		sayOK(w, r, body)
	})
	f := newFixture(t, b)
	got := f.ask(t, http.MethodPost, "/unsafe/x?y=%2F", "body", "Id", "1", "Custom", "there")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusCreated)
	assert.Equal(t, got.body, "ok body")
	assert.Equal(t, got.header.Get("Seal"), "seal of a")
	assert.Equal(t, got.header.Get("Custom"), "there back")
}

func TestUnsafeRequestRunsOnceWhenItsAnswerIsLost(t *testing.T) {
	a, b := newBackend(t, "a", breakOff), newBackend(t, "b", breakOff)
	f := newFixture(t, a, b)
	got := f.ask(t, http.MethodPost, "/unsafe/x", "body", "Id", "1")
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, got.header.Get("Again-After"), "")
	assert.Equal(t, len(a.ran())+len(b.ran()), 1)
}

func TestUnsafeRequestGoesToAnotherServerAfterAPromise(t *testing.T) {
	full := newFullBackend(t, "a")
	b := newBackend(t, "b", sayOK)
	f := newFixture(t, full, b)
	for _, id := range []string{"1", "2", "3", "4"} {
		got := f.ask(t, http.MethodPost, "/unsafe/x", "body", "Id", id)
		assert.Equal(t, got.status, http.StatusOK)
	}
	assert.Equal(t, len(b.ran()), 4)
}

func TestSafeRequestIsRepeatedWithinItsAttempts(t *testing.T) {
	a, b, c := newBackend(t, "a", breakOff), newBackend(t, "b", breakOff), newBackend(t, "c", breakOff)
	f := newFixture(t, a, b, c)
	got := f.ask(t, http.MethodGet, "/safe/x", "", "Id", "1")
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, len(a.ran())+len(b.ran())+len(c.ran()), 2)
}

func TestStatusThatClientsTakeForAPromiseIsNotPassedOn(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout} {
		b := newBackend(t, "a", func(w http.ResponseWriter, _ *http.Request, _ string) { w.WriteHeader(status) })
		f := newFixture(t, b)
		got := f.ask(t, http.MethodPost, "/unsafe/x", "", "Id", "1")
		assert.Equal(t, got.status, http.StatusBadGateway)
		assert.Equal(t, got.header.Get("Seal"), "")
	}
}

func TestAnswerOfAnotherRequestIsNotPassedOn(t *testing.T) {
	b := newBackend(t, "a", func(w http.ResponseWriter, r *http.Request, body string) {
		w.Header().Set("Id", "another")
		sayOK(w, r, body)
	})
	f := newFixture(t, b)
	assert.Equal(t, f.ask(t, http.MethodPost, "/unsafe/x", "", "Id", "1").status, http.StatusBadGateway)
}

func TestUnsignedOrEncodedSuccessIsNotPassedOn(t *testing.T) {
	cases := map[string]func(http.ResponseWriter, *http.Request, string){
		"unsigned": func(w http.ResponseWriter, r *http.Request, body string) {
			w.Header().Del("Seal")
			sayOK(w, r, body)
		},
		"encoded": func(w http.ResponseWriter, r *http.Request, body string) {
			w.Header().Set("Content-Encoding", "gzip")
			sayOK(w, r, body)
		},
	}
	for name, script := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, newBackend(t, "a", script))
			assert.Equal(t, f.ask(t, http.MethodPost, "/unsafe/x", "", "Id", "1").status, http.StatusBadGateway)
		})
	}
}

func TestRequestsWithoutARoute(t *testing.T) {
	f := newFixture(t, newBackend(t, "a", sayOK))
	assert.Equal(t, f.ask(t, http.MethodGet, "/nowhere/", "", "Id", "1").status, http.StatusNotFound)
	assert.Equal(t, f.ask(t, http.MethodGet, "/safe/x", "").status, http.StatusBadRequest)
}

func TestServiceWithoutServersIsRefusedWithATimeToComeBack(t *testing.T) {
	f := newFixture(t)
	got := f.ask(t, http.MethodPost, "/unsafe/x", "", "Id", "1")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Again-After") != "")
}

func TestFullServersAreAskedAgain(t *testing.T) {
	var asked atomic.Int64
	b := &backend{id: "a"}
	*b = *newBackend(t, "a", func(w http.ResponseWriter, r *http.Request, body string) {
		if asked.Add(1) < 4 {
			w.Header().Del("Seal")
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		sayOK(w, r, body)
	})
	f := newFixture(t, b)
	assert.Equal(t, f.ask(t, http.MethodPost, "/unsafe/x", "", "Id", "1").status, http.StatusOK)
	assert.Equal(t, asked.Load(), int64(4))
}

func TestStreamGoesOnAtAnotherServerWithinOneAnswer(t *testing.T) {
	var first atomic.Bool
	script := func(w http.ResponseWriter, r *http.Request, body string) {
		if first.CompareAndSwap(false, true) {
			stream(1, 3, false)(w, r, body)
			return
		}
		if r.Header.Get("After") != "3" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		stream(4, 6, true)(w, r, body)
	}
	a, b := newBackend(t, "a", script), newBackend(t, "b", script)
	f := newFixture(t, a, b)
	got := f.ask(t, http.MethodPost, "/stream/x", "in", "Id", "1", "Program", "p", "Budget", "1")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, events(1, 6))
	assert.Equal(t, len(a.ran()), 1)
	assert.Equal(t, len(b.ran()), 1)
	settled := <-f.ledger.settled
	assert.Equal(t, settled.Tokens, uint64(18))
}

func TestStreamThatMayNotBeRepeatedEndsVisibly(t *testing.T) {
	a, b := newBackend(t, "a", stream(1, 3, false)), newBackend(t, "b", stream(1, 3, false))
	f := newFixture(t, a, b)
	got := f.ask(t, http.MethodPost, "/chat/x", "in", "Id", "1", "Program", "p", "Budget", "1")
	assert.Assert(t, got.err != nil)
	assert.Equal(t, got.body, events(1, 3))
	assert.Equal(t, len(a.ran())+len(b.ran()), 1)
	settled := <-f.ledger.settled
	assert.Assert(t, !settled.Keep)
	assert.Equal(t, settled.Tokens, uint64(9))
}

func TestKeptTurnIsDurableBeforeItsAnswerEnds(t *testing.T) {
	f := newFixture(t, newBackend(t, "a", stream(1, 2, true)))
	got := f.ask(t, http.MethodPost, "/chat/x", "input", "Id", "1", "Program", "p", "Previous", "0", "Budget", "1")
	assert.NilError(t, got.err)
	settled := <-f.ledger.settled
	assert.Assert(t, settled.Keep)
	assert.Equal(t, settled.Previous, "0")
	assert.Equal(t, string(settled.Input), "input")
	assert.Equal(t, string(settled.Output), "token 1\ntoken 2\n")
}

func TestTurnThatCannotBeKeptEndsVisibly(t *testing.T) {
	f := newFixture(t, newBackend(t, "a", stream(1, 2, true)))
	f.ledger.keepErr = leaderclient.ErrUnavailable
	got := f.ask(t, http.MethodPost, "/chat/x", "input", "Id", "1", "Program", "p", "Budget", "1")
	assert.Assert(t, got.err != nil)
}

func TestEarlierTurnsComeBeforeTheInput(t *testing.T) {
	b := newBackend(t, "a", stream(1, 1, true))
	f := newFixture(t, b)
	f.ledger.chain = []*ledgerpb.Exchange{
		{Input: []byte("in1"), Output: []byte("out1\n")},
		{Input: []byte("in2"), Output: []byte("out2\n")},
	}
	got := f.ask(t, http.MethodPost, "/chat/x", "in3", "Id", "3", "Program", "p", "Previous", "2", "Budget", "1")
	assert.NilError(t, got.err)
	assert.DeepEqual(t, b.ran(), []string{"3:in1out1\nin2out2\nin3"})
	// The turn itself is kept without what came before.
	assert.Equal(t, string((<-f.ledger.settled).Input), "in3")
}

func TestRefusalsOfTheLedgerRunNothing(t *testing.T) {
	cases := []struct {
		err    error
		status int
		again  bool
	}{
		{errBudgetSpent, http.StatusPaymentRequired, false},
		{errUnknownTurn, http.StatusNotFound, false},
		{errors.Join(leaderclient.ErrUnavailable, errors.New("no quorum")), http.StatusServiceUnavailable, true},
		{&gate.OverloadError{Reason: admit.ReasonOverload, RetryAfter: time.Second}, http.StatusServiceUnavailable, true},
	}
	for _, c := range cases {
		b := newBackend(t, "a", stream(1, 1, true))
		f := newFixture(t, b)
		f.ledger.beginErr = c.err
		got := f.ask(t, http.MethodPost, "/chat/x", "in", "Id", "1", "Program", "p", "Budget", "1")
		assert.Equal(t, got.status, c.status)
		assert.Equal(t, got.header.Get("Again-After") != "", c.again)
		var overload *gate.OverloadError
		if errors.As(c.err, &overload) {
			after, err := time.ParseDuration(got.header.Get("Again-After"))
			assert.NilError(t, err)
			assert.Assert(t, after >= overload.RetryAfter)
		}
		assert.Equal(t, len(b.ran()), 0)
	}
}

// TestTurnThatMayBeReservedIsSettled has a ledger that did not answer: the program must
// not go on with less of its budget.
func TestTurnThatMayBeReservedIsSettled(t *testing.T) {
	f := newFixture(t, newBackend(t, "a", stream(1, 1, true)))
	f.ledger.beginErr = errors.Join(errMayBeReserved, leaderclient.ErrUnavailable)
	got := f.ask(t, http.MethodPost, "/chat/x", "in", "Id", "1", "Program", "p", "Budget", "1")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	settled := <-f.ledger.settled
	assert.Equal(t, settled.CallId, "1")
	assert.Equal(t, settled.Tokens, uint64(0))
	assert.Assert(t, !settled.Keep)
}

// TestBusyServerIsGivenItsTime replays the load after a common restart: requests
// with little time left wait at servers that are busy with those that came back.
func TestBusyServerIsGivenItsTime(t *testing.T) {
	busy := func(w http.ResponseWriter, r *http.Request, body string) {
		time.Sleep(200 * time.Millisecond)
		sayOK(w, r, body)
	}
	a, b := newBackend(t, "a", busy), newBackend(t, "b", busy)
	f := newFixture(t, a, b)
	got := f.ask(t, http.MethodGet, "/safe/x", "", "Id", "1", "Patience", "360")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, len(a.ran())+len(b.ran()), 1)
}

// TestSilentServerIsLeftForAnother has a server that takes requests and never
// answers, as behind a connection that went silent.
func TestSilentServerIsLeftForAnother(t *testing.T) {
	var first atomic.Bool
	script := func(w http.ResponseWriter, r *http.Request, body string) {
		if first.CompareAndSwap(false, true) {
			<-r.Context().Done()
			return
		}
		sayOK(w, r, body)
	}
	a, b := newBackend(t, "a", script), newBackend(t, "b", script)
	f := newFixture(t, a, b)
	got := f.ask(t, http.MethodGet, "/safe/x", "", "Id", "1", "Patience", "1000")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, len(a.ran()), 1)
	assert.Equal(t, len(b.ran()), 1)
}

// TestEndOfASilentAttemptIsNoSignOfLife has a server that is not heard of and never
// answers: the end of the attempt must not show it as one that works.
func TestEndOfASilentAttemptIsNoSignOfLife(t *testing.T) {
	silent := func(_ http.ResponseWriter, r *http.Request, _ string) { <-r.Context().Done() }
	f := newFixture(t, newBackend(t, "a", silent))
	got := f.ask(t, http.MethodGet, "/safe/x", "", "Id", "1", "Patience", "1000")
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
	f.front.Close() // waits for both requests

	f.loads.mu.Lock()
	defer f.loads.mu.Unlock()
	assert.Assert(t, f.loads.of("a").lastAnswer.IsZero())
	assert.Equal(t, f.loads.of("a").running, 0)
}

func TestTurnRefusedByAllServersSettlesNothing(t *testing.T) {
	f := newFixture(t, newFullBackend(t, "a"))
	got := f.ask(t, http.MethodPost, "/chat/x", "in", "Id", "1", "Program", "p", "Patience", "300", "Budget", "1")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, (<-f.ledger.settled).Tokens, uint64(0))
}

func TestProgramStaysAtItsServer(t *testing.T) {
	a, b, c := newBackend(t, "a", stream(1, 1, true)), newBackend(t, "b", stream(1, 1, true)), newBackend(t, "c", stream(1, 1, true))
	f := newFixture(t, a, b, c)
	for range 6 {
		f.ask(t, http.MethodPost, "/stream/x", "in", "Id", "1", "Program", "p", "Budget", "1")
	}
	most := max(len(a.ran()), len(b.ran()), len(c.ran()))
	assert.Equal(t, most, 6)
}

func TestDrainingEntryServesAndAsksForAnotherConnection(t *testing.T) {
	f := newFixture(t, newBackend(t, "a", sayOK))
	f.Drain()
	assert.Assert(t, !f.Ready())
	got := f.ask(t, http.MethodGet, "/safe/x", "", "Id", "1")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Assert(t, got.close)
}

func TestEntryWithoutAViewIsNotReady(t *testing.T) {
	f := newFixture(t)
	assert.Assert(t, !f.Ready())
}
