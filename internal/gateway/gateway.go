// Package gateway is the entry role for pass-through routes: it matches requests to
// routes, reserves and keeps the turns of programs, chooses a backend server and
// passes request and answer on unchanged.
package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/loop"
	"ibistray.example/ibistray/internal/passthrough"
	"ibistray.example/ibistray/internal/policy/gate"
	"ibistray.example/ibistray/internal/routing"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/internal/transport"
)

const (
	// dialTimeout bounds the opening of a connection to a backend server; a host that
	// is gone does not answer at all.
	dialTimeout = 250 * time.Millisecond
	// viewLimit is the age of the view of the state hosts above which the entry takes
	// no new connections: another entry may still be in touch with them.
	viewLimit      = 3 * time.Second
	forgetInterval = 30 * time.Second
	// Refused clients come back after a time between these.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 600 * time.Millisecond
)

// Config names one entry.
type Config struct {
	Name          string
	FailureDomain string
	// Seeds returns the addresses between processes of some state hosts; they may change.
	Seeds func() []string
	// DecodeRoutes reads and checks a document of routes.
	DecodeRoutes func(document []byte) (*routing.Document, error)
	Codec        Codec
}

// Gateway implements http.Handler.
type Gateway struct {
	cfg     Config
	log     hclog.Logger
	metrics *telemetry.Metrics
	view    *view
	turns   ledgerClient
	loads   *loads
	servers *passthrough.Pool
	pool    *transport.Pool

	suspects *suspects

	draining atomic.Bool
	running  sync.WaitGroup // requests and settlements that go on after them
	loops    sync.WaitGroup
	cancel   context.CancelFunc
}

// New returns a gateway that is not running yet. Requests that are hedged go over
// the second pool.
func New(cfg Config, log hclog.Logger, metrics *telemetry.Metrics, pool, hedgePool *transport.Pool) *Gateway {
	g := &Gateway{
		cfg:     cfg,
		log:     log,
		metrics: metrics,
		loads:   newLoads(),
		pool:    pool,
		servers: passthrough.NewPool(dialTimeout, func(err error) { countDial(metrics, err) }),
	}
	g.suspects = newSuspects(log.Named("suspects"), g.reportCrash)
	g.view = newView(cfg, log.Named("view"), pool, g.suspects)
	g.turns = newTurns(pool, hedgePool, g.view.stateHosts, metrics)
	return g
}

func countDial(metrics *telemetry.Metrics, err error) {
	outcome := "opened"
	if err != nil {
		outcome = "failed"
	}
	metrics.Connections.WithLabelValues(outcome).Inc()
}

// Start starts the loops.
func (g *Gateway) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.loops.Go(func() { g.view.run(ctx) })
	g.loops.Go(func() { g.servers.Run(ctx) })
	g.loops.Go(func() { loop.Every(ctx, forgetInterval, g.forget) })
}

// forget drops what was counted of servers that are gone.
func (g *Gateway) forget(context.Context) {
	known := make(map[string]bool)
	for _, list := range g.view.servers.Load().byService {
		for _, server := range list {
			known[server.ID] = true
		}
	}
	g.loads.forget(known)
}

// Ready reports whether new clients should be sent here: the entry knows the
// routes, has heard from a state host lately and is not about to stop.
func (g *Gateway) Ready() bool {
	return !g.draining.Load() && g.view.routes.Load() != nil && g.view.fresh(viewLimit)
}

// Drain makes the gateway report that it is not ready and ask clients to use other
// connections. Requests are still served.
func (g *Gateway) Drain() {
	g.draining.Store(true)
}

// Stop waits for requests and settlements until ctx ends, then ends the loops.
func (g *Gateway) Stop(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		g.running.Wait()
		close(done)
	}()
	var err error
	select {
	case <-done:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if g.cancel != nil {
		g.cancel()
		g.loops.Wait()
	}
	return err
}

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.running.Add(1)
	defer g.running.Done()
	g.metrics.RunningCalls.Inc()
	defer g.metrics.RunningCalls.Dec()
	c := &call{g: g, w: w, r: r, arrived: time.Now(), tried: make(map[string]bool)}
	if g.draining.Load() || len(r.TransferEncoding) > 0 {
		// A body in chunks may hide a second request from other readers of the
		// connection, so nothing is read from it afterwards.
		w.Header().Set("Connection", "close")
	}
	c.serve()
}

// retryAfter returns when a refused client should come back. It is spread, so that
// clients refused together do not come back together.
func retryAfter(cause error) time.Duration {
	after := minRetryAfter
	var overload *gate.OverloadError
	if errors.As(cause, &overload) {
		after = overload.RetryAfter
	}
	return after + rand.N(maxRetryAfter-minRetryAfter)
}
