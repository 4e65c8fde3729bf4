// Package sidecar is the role beside each backend server. It runs the attempts
// that entries send, fences those that must not run, keeps finished answers
// until they are durable in the customer's shard, and announces the server.
//
// A sidecar keeps nothing on disk. Each start is a new incarnation with a
// random name; an entry that recorded another incarnation is told so, since
// this one cannot know what the earlier one ran.
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
	"ibistray.example/ibistray/internal/loop"
	"ibistray.example/ibistray/internal/shardclient"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/rpcpb"
)

// Config is what a sidecar needs to know of its server.
type Config struct {
	Server          string // backend server ID
	Host            string // name that planned stops use for the host
	Address         string // of this sidecar
	Region          string
	FailureDomain   string
	Kind            rpcpb.ServerKind
	Models          []string
	Services        []string
	MaxRunning      int           // most attempts running on the server
	RetainIdleLimit time.Duration // longest time that an idle program keeps engine memory
	Control         []string      // addresses of control processes
}

// Sidecar is one incarnation. It is safe for concurrent use.
type Sidecar struct {
	cfg         Config
	incarnation string
	log         hclog.Logger
	metrics     *telemetry.Metrics
	backend     *backend.Client
	shards      *shardclient.Client
	config      *configclient.Client
	pool        *transport.Pool

	attempts  *attempts
	programs  *programTexts
	slots     *slots
	holds     *holds
	lifecycle *lifecycle
	holder    *configlease.Holder
	crashes   *crashWatch
	stopping  atomic.Bool
	load      atomic.Pointer[rpcpb.Load]
	healthy   atomic.Bool
	sequence  atomic.Uint64

	work sync.WaitGroup // running attempts
}

// New returns a sidecar that has not been started.
func New(cfg Config, log hclog.Logger, metrics *telemetry.Metrics, client *backend.Client, shards *shardclient.Client, configuration *configclient.Client, pool *transport.Pool) *Sidecar {
	s := &Sidecar{
		cfg:         cfg,
		incarnation: rand.Text(),
		log:         log.With(telemetry.KeyServer, cfg.Server),
		metrics:     metrics,
		backend:     client,
		shards:      shards,
		config:      configuration,
		pool:        pool,
		attempts:    newAttempts(),
		programs:    newProgramTexts(),
		slots:       newSlots(cfg.MaxRunning),
		holds:       newHolds(cfg.RetainIdleLimit),
		holder:      configlease.NewHolder(),
	}
	s.lifecycle = newLifecycle(s.log)
	s.crashes = newCrashWatch(s.reportCrash)
	return s
}

// Register adds the sidecar's methods to a server.
func (s *Sidecar) Register(server *transport.Server) {
	server.Handle(transport.MethodRun, s.serveRun)
	server.Handle(transport.MethodFence, transport.Unary(s.serveFence))
	server.Handle(transport.MethodRelease, transport.Unary(s.serveRelease))
}

const (
	announceInterval = time.Second
	announceLease    = 4 * time.Second
	probeInterval    = 500 * time.Millisecond
	holdInterval     = time.Second
	sweepInterval    = 5 * time.Second
)

// Run does the periodic work until the context ends.
func (s *Sidecar) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { loop.Every(ctx, probeInterval, s.probe) })
	loops.Go(func() { loop.Every(ctx, announceInterval, s.announce) })
	loops.Go(func() { loop.Every(ctx, sweepInterval, s.sweep) })
	if s.cfg.Kind == rpcpb.ServerKind_SERVER_KIND_ENGINE {
		loops.Go(func() { loop.Every(ctx, holdInterval, s.reviewHolds) })
	}
	loops.Wait()
}

// Drain refuses new work from now on and returns when each running attempt has
// ended and its answer is durable, or the context ends.
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
