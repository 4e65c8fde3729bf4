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

// ledgerGate makes requests to the ledger wait until its gate lets them through. It is
// safe for concurrent use.
type ledgerGate struct {
	started time.Time
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
	g.report()
	return g
}

func (g *ledgerGate) now() time.Duration { return time.Since(g.started) }

// report sets the gauges. The caller holds the mutex.
func (g *ledgerGate) report() {
	g.limit.Set(float64(g.gate.Limit()))
	g.waiting.Set(float64(g.gate.Waiting()))
}

// enter waits until the request may be sent; leave must follow. A new turn, for which
// admission is not nil, is refused at once if it would wait too long. Errors:
// *gate.OverloadError, and leaderclient.ErrUnavailable when ctx ends.
func (g *ledgerGate) enter(ctx context.Context, call order.Call, admission *admit.Request) error {
	ready, err := g.join(call, admission)
	if err != nil || ready == nil {
		return err
	}
	select {
	case err := <-ready:
		return err
	case <-ctx.Done():
	}
	if g.withdraw(call.ID) {
		return fmt.Errorf("%w: waited for the ledger: %w", leaderclient.ErrUnavailable, ctx.Err())
	}
	return <-ready
}

// join lets a request through at once, for which it returns nil, or queues it.
func (g *ledgerGate) join(call order.Call, admission *admit.Request) (<-chan error, error) {
	ready := make(chan error, 1)
	g.mu.Lock()
	defer g.mu.Unlock()
	passed, shed, err := g.gate.Acquire(g.now(), call, admission, ready)
	if errors.Is(err, order.ErrDuplicate) {
		return nil, fmt.Errorf("%w: %w", leaderclient.ErrUnavailable, err)
	}
	if err != nil {
		return nil, err
	}
	if shed != nil {
		shed.Value <- g.gate.QueueFullError()
	}
	if passed {
		return nil, nil
	}
	g.report()
	return ready, nil
}

// withdraw takes a request out of the queue. It returns false if the request was let
// through or refused meanwhile.
func (g *ledgerGate) withdraw(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.report()
	return g.gate.Cancel(id)
}

// leave takes in how a request fared and lets the next ones through.
func (g *ledgerGate) leave(took time.Duration, fate gate.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.report()
	for _, next := range g.gate.Release(g.now(), took, fate) {
		next.Value <- nil
	}
}

// relaxed reports whether there is room for requests that are made twice.
func (g *ledgerGate) relaxed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.HasSpareCapacity()
}

// fateOf returns how a request with a context ended.
func fateOf(ctx context.Context, resp *ledgerpb.Response, err error) gate.Outcome {
	switch {
	case err == nil && !resp.Busy:
		return gate.Answered
	case err == nil:
		return gate.Overloaded
	case errors.Is(ctx.Err(), context.Canceled) || errors.Is(err, leaderclient.ErrRejected):
		return gate.Inconclusive
	}
	return gate.Overloaded
}
