package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"ibistray.example/ibistray/internal/leaderclient"
	"ibistray.example/ibistray/internal/policy/admit"
	"ibistray.example/ibistray/internal/policy/gate"
	"ibistray.example/ibistray/internal/policy/order"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/proto/ledgerpb"
)

// ledgerGate limits the concurrent requests to the ledger and queues those beyond the
// limit. It is safe for concurrent use.
type ledgerGate struct {
	started time.Time // reference point of the gate's clock
	limit   prometheus.Gauge
	waiting prometheus.Gauge

	mu   sync.Mutex
	gate *gate.Gate[chan<- error]
}

func newLedgerGate(metrics *telemetry.Metrics) *ledgerGate {
	g := &ledgerGate{
		started: time.Now(),
		limit:   metrics.LedgerWindow,
		waiting: metrics.LedgerWaiting,
		gate:    gate.New[chan<- error](gate.DefaultPolicy()),
	}
	g.updateGauges()
	return g
}

// now returns the time since the gate was created.
func (g *ledgerGate) now() time.Duration { return time.Since(g.started) }

// updateGauges sets the gauges to the current state. The caller holds the mutex.
func (g *ledgerGate) updateGauges() {
	g.limit.Set(float64(g.gate.Limit()))
	g.waiting.Set(float64(g.gate.Waiting()))
}

// acquire waits until a request may be sent. The caller must call release after a
// successful acquire. Requests for new turns have an admission; they are refused at
// once if they would wait too long. Errors: *gate.OverloadError if the request is
// refused, and leaderclient.ErrUnavailable if ctx ends first.
func (g *ledgerGate) acquire(ctx context.Context, call order.Call, admission *admit.Request) error {
	ready, err := g.tryAcquire(call, admission)
	if err != nil || ready == nil {
		return err
	}
	select {
	case err := <-ready:
		return err
	case <-ctx.Done():
	}
	if g.cancel(call.ID) {
		return fmt.Errorf("%w: request %q was queued for the ledger: %w", leaderclient.ErrUnavailable, call.ID, ctx.Err())
	}
	return <-ready
}

// tryAcquire admits a request at once and returns a nil channel, or queues it and
// returns the channel that receives the result.
func (g *ledgerGate) tryAcquire(call order.Call, admission *admit.Request) (<-chan error, error) {
	ready := make(chan error, 1)
	g.mu.Lock()
	defer g.mu.Unlock()
	admitted, shed, err := g.gate.Acquire(g.now(), call, admission, ready)
	if errors.Is(err, order.ErrDuplicate) {
		return nil, fmt.Errorf("%w: %w", leaderclient.ErrUnavailable, err)
	}
	if err != nil {
		return nil, err
	}
	if shed != nil {
		shed.Value <- g.gate.QueueFullError()
	}
	if admitted {
		return nil, nil
	}
	g.updateGauges()
	return ready, nil
}

// cancel removes a request from the queue. It returns false if the request has been
// admitted or refused meanwhile.
func (g *ledgerGate) cancel(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.updateGauges()
	return g.gate.Cancel(id)
}

// release records the duration and the outcome of a request and admits waiting ones.
func (g *ledgerGate) release(duration time.Duration, outcome gate.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.updateGauges()
	for _, next := range g.gate.Release(g.now(), duration, outcome) {
		next.Value <- nil
	}
}

// hasSpareCapacity reports whether the ledger has capacity for hedged requests.
func (g *ledgerGate) hasSpareCapacity() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.HasSpareCapacity()
}

// outcomeOf classifies the result of a request that was made with ctx.
func outcomeOf(ctx context.Context, resp *ledgerpb.Response, err error) gate.Outcome {
	switch {
	case err == nil && !resp.Busy:
		return gate.Responded
	case err == nil:
		return gate.Overloaded
	case errors.Is(ctx.Err(), context.Canceled) || errors.Is(err, leaderclient.ErrRefused):
		return gate.Inconclusive
	}
	return gate.Overloaded
}
