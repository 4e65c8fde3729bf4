// Package gateway implements the entry role for pass-through routes. It matches
// requests to routes, reserves and stores the turns of programs, selects a backend
// server and forwards requests and responses unchanged.
package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/fleet"
	"ibistray.example/ibistray/internal/inflight"
	"ibistray.example/ibistray/internal/loop"
	"ibistray.example/ibistray/internal/membudget"
	"ibistray.example/ibistray/internal/panics"
	"ibistray.example/ibistray/internal/passthrough"
	"ibistray.example/ibistray/internal/policy/gate"
	"ibistray.example/ibistray/internal/policy/routeage"
	"ibistray.example/ibistray/internal/routing"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/fleetpb"
)

const (
	// dialTimeout limits the time to connect to a backend server. A host that is down
	// does not respond at all.
	dialTimeout = 250 * time.Millisecond
	// maxViewAge is the time without an update from any state host after which the entry
	// reports that it is not ready: another entry may still be connected to them.
	maxViewAge    = 3 * time.Second
	pruneInterval = 30 * time.Second
	// leaderLossDelay is the longest time for which a state host that was cut off from its
	// leader does not notice it, with a margin.
	leaderLossDelay = 600 * time.Millisecond
	// minPartitionDelay is longer than an election, during which no host knows a leader.
	minPartitionDelay = 1200 * time.Millisecond
	// Refused clients are told to retry after a random time in this range, or later if
	// the ledger is overloaded.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 600 * time.Millisecond
)

// Config configures a Gateway.
type Config struct {
	Name          string // of the entry, as state hosts see it
	FailureDomain string
	// Seeds returns the peer addresses of some state hosts. The list may change.
	Seeds func() []string
	// SystemStart returns what the entry says of the first start of its system, nil if nothing. It may
	// be nil.
	SystemStart func() *fleetpb.SystemStart
	// DecodeRoutes decodes and validates a route document.
	DecodeRoutes func(document []byte) (*routing.Document, error)
	Codec        Codec
	// RoutesTimeout is the time within which acknowledged routes must be in force at all
	// entries that can learn them.
	RoutesTimeout time.Duration
	// KeyRevocationTimeout is the time within which a key of a client account that was taken
	// away must be refused, also by an entry without contact; 0: no such bound.
	KeyRevocationTimeout time.Duration
	// ToleratedHostLosses is the number of state hosts that may be lost at the same time.
	ToleratedHostLosses int
	Memory              MemoryLimits
	LinkBytesPerS       int64 // rate of the link of this host, 0: not known
}

// Gateway forwards client requests to backend servers. It implements http.Handler.
type Gateway struct {
	cfg      Config
	log      hclog.Logger
	metrics  *telemetry.Metrics
	view     *view
	ledger   ledgerClient
	loads    *loadTracker
	permits  *permitClient
	queues   *permitQueues
	shedder  *shedder
	accounts *accountClient
	servers  *passthrough.Pool
	budget   *membudget.Budget // nil: memory is not limited
	outputs  *membudget.Outputs
	commands *commandSlots
	paces    *paceCounters
	pool     *transport.Pool

	crashDetector  *crashDetector
	noticeReporter *noticeReporter

	shutdown   *shutdown
	runs       *routeRuns
	inFlight   inflight.Group // requests, settlements and crash reports
	background sync.WaitGroup
	cancel     context.CancelFunc
}

// New returns a gateway whose background loops have not started. Hedged requests use
// hedgePool, so that they share no connection with the original ones.
func New(cfg Config, log hclog.Logger, metrics *telemetry.Metrics, pool, hedgePool *transport.Pool) *Gateway {
	g := &Gateway{
		cfg:      cfg,
		log:      log,
		metrics:  metrics,
		loads:    newLoadTracker(),
		paces:    newPaceCounters(),
		queues:   newPermitQueues(),
		shedder:  newShedder(),
		runs:     newRouteRuns(),
		budget:   newBudget(cfg.Memory, metrics),
		outputs:  newOutputs(cfg.Memory, metrics),
		commands: newCommandSlots(cfg.Memory),
		pool:     pool,
		shutdown: newShutdown(),
		servers:  passthrough.NewPool(dialTimeout, func(err error) { recordDial(metrics, err) }),
	}
	g.crashDetector = newCrashDetector(log.Named("suspects"), g.reportCrash)
	g.view = newView(cfg, log.Named("view"), metrics, pool, g.crashDetector)
	g.permits = newPermitClient(cfg.Name, pool, g.view.stateHosts, metrics, func(n fleet.Notice) { g.view.note(n) })
	g.accounts = newAccountClient(cfg, log.Named("accounts"), pool, g.view, metrics)
	g.noticeReporter = newNoticeReporter(cfg.Name, log.Named("notices"), pool, g.view.noticeTargets, &g.inFlight)
	g.ledger = newRemoteLedger(pool, hedgePool, g.view.stateHosts, metrics)
	return g
}

// recordDial counts an attempt to connect to a backend server.
func recordDial(metrics *telemetry.Metrics, err error) {
	outcome := "opened"
	if err != nil {
		outcome = "failed"
	}
	metrics.ServerConnections.WithLabelValues(outcome).Inc()
}

// Start starts the background loops. Stop ends them.
func (g *Gateway) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.goContained(ctx, "routes", g.view.fetcher.Run)
	g.goContained(ctx, "watch", g.view.watcher.Run)
	g.goContained(ctx, "connections", g.servers.Run)
	g.goContained(ctx, "accounts", g.accounts.run)
	g.goContained(ctx, "loads", func(ctx context.Context) { loop.Every(ctx, pruneInterval, g.pruneLoads) })
}

// goContained calls f in the background until ctx ends, again after it has panicked.
func (g *Gateway) goContained(ctx context.Context, part string, f func(context.Context)) {
	g.background.Go(func() { panics.Restart(ctx, g.log, part, f) })
}

// goTask calls f in the background. Stop waits for it.
func (g *Gateway) goTask(part string, f func()) {
	g.inFlight.Go(func() { _ = panics.Contain(g.log, part, f) })
}

// pruneLoads removes the load data and the permits of servers that were removed, and the runs of
// routes without recent ones.
func (g *Gateway) pruneLoads(context.Context) {
	known := make(map[string]bool)
	for _, list := range g.view.servers.Load().byService {
		for _, server := range list {
			known[server.ID] = true
		}
	}
	g.loads.prune(known)
	g.permits.prune(known)
	g.runs.prune(time.Now())
}

// Ready reports whether the entry should receive new clients: it has routes, a state
// host sent an update within maxViewAge, its client accounts are current, and it is not
// draining.
func (g *Gateway) Ready() bool {
	routes := g.view.routes.Load()
	if g.shutdown.started() || routes == nil || !g.view.isFresh(maxViewAge) || g.routesVerdict() == routeage.Outdated {
		return false
	}
	return routes.Accounts == nil || g.accounts.current()
}

// routesVerdict returns what the routes in force may be used for. Followers keep claiming contact
// to their leader for leaderLossDelay, which is taken off.
func (g *Gateway) routesVerdict() routeage.Verdict {
	return g.view.routesVerdict(max(g.cfg.RoutesTimeout-leaderLossDelay, minPartitionDelay))
}

// Drain makes the gateway report that it is not ready and close client connections
// after their current request. Requests are still served if they are expected to end before
// finishBy; others are refused as not run. Those that run at finishBy get a response that says
// whether they may have run.
func (g *Gateway) Drain(finishBy time.Time) {
	g.shutdown.begin(finishBy)
}

// Stop waits until requests, settlements and crash reports have ended, or until ctx
// ends, and then stops the background loops. Further requests are refused. It returns the error
// of ctx if it did not wait for all of them.
func (g *Gateway) Stop(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		g.inFlight.Wait()
		g.shutdown.refuseAll()
		g.inFlight.Wait() // for requests that were taken meanwhile
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
		g.background.Wait()
	}
	return err
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Begin()
	defer g.inFlight.End()
	g.metrics.RunningCalls.Inc()
	defer g.metrics.RunningCalls.Dec()
	c := &call{g: g, w: w, r: r, arrived: time.Now(), triedServers: make(map[string]bool), memory: membudget.NewClaim(g.budget)}
	defer c.memory.Release()
	c.beginPace()
	defer c.endPace()
	refused := isRefusedConnection(r.Context())
	if refused || g.shutdown.started() || len(r.TransferEncoding) > 0 {
		// Prevents request smuggling: another parser may find a second request in a chunked
		// body, so its connection is not reused.
		w.Header().Set("Connection", "close")
	}
	if refused {
		c.refuse(refusalOf(errNoConnection), errNoConnection)
		return
	}
	c.serve()
}

// retryAfter returns the delay after which a refused client should retry. The random
// part prevents clients that were refused together from retrying together.
func retryAfter(cause error) time.Duration {
	var overLimit *accountLimitError
	if errors.As(cause, &overLimit) {
		return spread(overLimit.retryAfter)
	}
	if errors.Is(cause, errStopping) {
		return rand.N(maxStoppingRetryAfter)
	}
	after := minRetryAfter
	var overload *gate.OverloadError
	if errors.As(cause, &overload) {
		after = overload.RetryAfter
	}
	var full *ledgerFullError
	if errors.As(cause, &full) {
		after = full.retryAfter
	}
	var shed *shedError
	if errors.As(cause, &shed) {
		after = shed.retryAfter
	}
	var limited *limitedError
	if errors.As(cause, &limited) {
		after = limited.retryAfter
	}
	if errors.Is(cause, errNoMemory) || errors.Is(cause, errNoConnection) {
		after = memoryRetryDelay
	}
	return after + rand.N(maxRetryAfter-minRetryAfter)
}
