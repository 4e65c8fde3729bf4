package gateway

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/leaderclient"
	"ibistray.example/ibistray/internal/policy/gate"
	"ibistray.example/ibistray/internal/policy/order"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/proto/ledgerpb"
)

// fillGate acquires a gate until its limit is reached.
func fillGate(t *testing.T, g *ledgerGate) {
	t.Helper()
	for i := range gate.DefaultPolicy().Window.Max {
		assert.NilError(t, g.acquire(t.Context(), order.Call{ID: fmt.Sprint("fill ", i)}, nil))
	}
}

func TestGateDropsCancelledRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newLedgerGate(telemetry.NewMetrics())
		fillGate(t, g)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		err := g.acquire(ctx, order.Call{ID: "leaves"}, nil)
		assert.ErrorIs(t, err, leaderclient.ErrUnavailable)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, g.gate.Waiting(), 0)
		g.release(time.Millisecond, gate.Responded)
		assert.NilError(t, g.acquire(t.Context(), order.Call{ID: "next"}, nil))
	})
}

func TestGateAdmitsWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newLedgerGate(telemetry.NewMetrics())
		fillGate(t, g)
		done := make(chan error, 1)
		go func() { done <- g.acquire(t.Context(), order.Call{ID: "waits"}, nil) }()
		synctest.Wait()
		assert.Equal(t, len(done), 0)
		err := g.acquire(t.Context(), order.Call{ID: "waits"}, nil)
		assert.ErrorIs(t, err, leaderclient.ErrUnavailable)
		assert.ErrorIs(t, err, order.ErrDuplicate)
		g.release(time.Millisecond, gate.Responded)
		assert.NilError(t, <-done)
	})
}

func TestGateRefusesRequestsWhenQueueIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newLedgerGate(telemetry.NewMetrics())
		fillGate(t, g)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		refused := 0
		for i := range gate.DefaultPolicy().Order.Capacity {
			go func() {
				if errors.Is(g.acquire(ctx, order.Call{ID: fmt.Sprint(i)}, nil), gate.ErrOverloaded) {
					refused++
				}
			}()
		}
		synctest.Wait()
		assert.ErrorContains(t, g.acquire(ctx, order.Call{ID: "one more"}, nil), "queue_full")
		// A settlement displaces a queued request for a new turn, which is refused at once.
		go func() {
			err := g.acquire(ctx, order.Call{ID: "settlement", Priority: gate.PrioritySettle}, nil)
			assert.Check(t, errors.Is(err, context.Canceled), "%v", err)
		}()
		synctest.Wait()
		assert.Equal(t, refused, 1)
		cancel()
		synctest.Wait()
	})
}

func TestOutcomeOf(t *testing.T) {
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	expired, cancelExpired := context.WithTimeout(t.Context(), 0)
	defer cancelExpired()
	unavailable := fmt.Errorf("%w: no quorum", leaderclient.ErrUnavailable)
	assert.Equal(t, outcomeOf(t.Context(), &ledgerpb.Response{}, nil), gate.Responded)
	assert.Equal(t, outcomeOf(t.Context(), &ledgerpb.Response{Busy: true}, nil), gate.Overloaded)
	assert.Equal(t, outcomeOf(t.Context(), nil, unavailable), gate.Overloaded)
	assert.Equal(t, outcomeOf(expired, nil, unavailable), gate.Overloaded)
	assert.Equal(t, outcomeOf(cancelled, nil, unavailable), gate.Inconclusive)
	assert.Equal(t, outcomeOf(t.Context(), nil, leaderclient.ErrRefused), gate.Inconclusive)
}

func TestRecentSetExpiresKeys(t *testing.T) {
	s := newRecentSet(time.Second)
	now := time.Unix(1000, 0)
	s.add("a", now)
	assert.Assert(t, s.has("a", now.Add(time.Second)))
	s.add("b", now.Add(1500*time.Millisecond))
	assert.Assert(t, !s.has("a", now.Add(2*time.Second)))
	assert.Assert(t, s.has("b", now.Add(2*time.Second)))
	assert.Assert(t, !s.has("b", now.Add(5*time.Second)))
}
