// Package sidecar implements the sidecar role, which runs beside each backend server. It
// runs the attempts that entries send, fences those that must not run, keeps finished
// answers until they are durable in the customer's shard, and announces the server to the
// control processes.
//
// A sidecar stores nothing on disk. Each start is a new incarnation with a random name.
// A request that names another incarnation is refused, since this one cannot know what
// the other one ran.
package sidecar

import (
	"context"
	"crypto/rand"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/backend"
	"ibistray.example/ibistray/internal/configclient"
	"ibistray.example/ibistray/internal/configlease"
	"ibistray.example/ibistray/internal/inflight"
	"ibistray.example/ibistray/internal/loop"
	"ibistray.example/ibistray/internal/panics"
	"ibistray.example/ibistray/internal/shardclient"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/rpcpb"
)

// Config describes a sidecar and its backend server.
type Config struct {
	Server          string // backend server ID
	Host            string // name of the host in planned stops
	Address         string // at which entries reach this sidecar
	Region          string
	FailureDomain   string
	Kind            rpcpb.ServerKind
	Models          []string
	Services        []string
	MaxRunning      int           // maximum number of attempts that run at once
	RetainIdleLimit time.Duration // longest time to keep the prefix of an idle program
	Control         []string      // addresses of control processes
}

// Sidecar is one incarnation of the sidecar role. It is safe for concurrent use.
type Sidecar struct {
	cfg          Config
	incarnation  string
	log          hclog.Logger
	metrics      *telemetry.Metrics
	backend      *backend.Client
	shards       *shardclient.Client
	configClient *configclient.Client
	pool         *transport.Pool

	attempts         *attemptTable
	histories        *historyCache
	slots            *slots
	holds            *holds
	lifecycle        *lifecycle
	leaseHolder      *configlease.Holder
	crashes          *crashTracker
	stopping         atomic.Bool
	load             atomic.Pointer[rpcpb.Load]
	healthy          atomic.Bool
	announceSequence atomic.Uint64

	work inflight.Group // running attempts
}

// New returns a sidecar that has not been started.
func New(cfg Config, log hclog.Logger, metrics *telemetry.Metrics, client *backend.Client, shards *shardclient.Client, configuration *configclient.Client, pool *transport.Pool) *Sidecar {
	s := &Sidecar{
		cfg:          cfg,
		incarnation:  rand.Text(),
		log:          log.With(telemetry.KeyServer, cfg.Server),
		metrics:      metrics,
		backend:      client,
		shards:       shards,
		configClient: configuration,
		pool:         pool,
		attempts:     newAttemptTable(),
		histories:    newHistoryCache(),
		slots:        newSlots(cfg.MaxRunning),
		holds:        newHolds(cfg.RetainIdleLimit),
		leaseHolder:  configlease.NewHolder(),
	}
	s.lifecycle = newLifecycle(s.log)
	s.crashes = newCrashTracker(s.reportCrash)
	return s
}

// Register adds the methods of the sidecar to server.
func (s *Sidecar) Register(server *transport.Server) {
	server.Handle(transport.MethodRun, s.serveRun)
	server.Handle(transport.MethodFence, transport.Unary(s.serveFence))
	server.Handle(transport.MethodRelease, transport.Unary(s.serveRelease))
}

const (
	announceInterval      = time.Second
	announceLease         = 4 * time.Second
	probeInterval         = 500 * time.Millisecond
	holdReconcileInterval = time.Second
	sweepInterval         = 5 * time.Second
)

// Run probes the backend server, announces it, removes ended attempts and releases
// prefixes periodically until ctx ends.
func (s *Sidecar) Run(ctx context.Context) {
	var loops sync.WaitGroup
	every := func(interval time.Duration, f func(context.Context)) {
		loops.Go(func() {
			panics.Restart(ctx, s.log, "sidecar", func(ctx context.Context) { loop.Every(ctx, interval, f) })
		})
	}
	every(probeInterval, s.probe)
	every(announceInterval, s.announce)
	every(sweepInterval, s.sweep)
	if s.cfg.Kind == rpcpb.ServerKind_SERVER_KIND_ENGINE {
		every(holdReconcileInterval, s.reconcileHolds)
	}
	loops.Wait()
}

// Drain refuses new attempts from now on. It returns nil when all running attempts have
// ended, including the commits of their answers, or an error if ctx ends before that.
func (s *Sidecar) Drain(ctx context.Context) error {
	s.stopping.Store(true)
	s.lifecycle.fire(triggerLeave)
	s.announce(ctx)
	done := make(chan struct{})
	go func() {
		s.work.Wait()
		close(done)
	}()
	select {
	case <-done:
		s.lifecycle.fire(triggerDrained)
		return nil
	case <-ctx.Done():
		return fmt.Errorf("sidecar: drain with %d running attempts: %w", s.attempts.runningCount(), ctx.Err())
	}
}

func (s *Sidecar) sweep(context.Context) {
	s.attempts.sweep(time.Now())
}
