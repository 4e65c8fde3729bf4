// Package entry is the role that callers talk to: it checks their requests,
// asks the customer's shard to record each call, chooses a backend server, runs
// the call through that server's sidecar and streams the output back.
//
// An entry keeps nothing durable. When it dies, the caller comes back through
// another one with the same call ID and is attached to the running call or
// gets the recorded answer.
package entry

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/configclient"
	"ibistray.example/ibistray/internal/loop"
	"ibistray.example/ibistray/internal/policy/retry"
	"ibistray.example/ibistray/internal/shardclient"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/internal/transport"
)

// Config is what an entry needs to know.
type Config struct {
	Name            string // unique name of the process
	Control         []string
	MaxBodyBytes    int
	MaxOutputTokens uint64
	OperatorKeys    *OperatorKeys
}

// Entry is the entry role of one process. It is safe for concurrent use.
type Entry struct {
	cfg     Config
	log     hclog.Logger
	metrics *telemetry.Metrics
	pool    *transport.Pool
	shards  *shardclient.Client
	config  *configclient.Client
	members *membership
	retries retry.Policy
	budget  *retry.Budget
	recent  *recentQuarantine
	places  *places

	stopping atomic.Bool
	mu       sync.Mutex
	running  sync.WaitGroup
}

// New returns an entry that has not been started.
func New(cfg Config, log hclog.Logger, metrics *telemetry.Metrics, pool *transport.Pool, shards *shardclient.Client, configuration *configclient.Client) *Entry {
	return &Entry{
		cfg:     cfg,
		log:     log,
		metrics: metrics,
		pool:    pool,
		shards:  shards,
		config:  configuration,
		members: newMembership(pool, cfg.Control, cfg.Name, metrics),
		retries: retry.DefaultPolicy(),
		budget:  retry.NewBudget(retry.DefaultBudgetShare, retry.DefaultBudgetBurst),
		recent:  newRecentQuarantine(),
		places:  newPlaces(),
	}
}

// Run does the periodic work until the context ends.
func (e *Entry) Run(ctx context.Context) {
	loop.Every(ctx, membersInterval, e.members.refresh)
}

// Ready reports whether the entry accepts calls.
func (e *Entry) Ready() bool {
	return !e.stopping.Load() && len(e.members.cell.Load().members) > 0
}

// Drain refuses new calls from now on and returns when each running call has
// ended, or the context ends.
func (e *Entry) Drain(ctx context.Context) error {
	e.mu.Lock()
	e.stopping.Store(true)
	e.mu.Unlock()
	done := make(chan struct{})
	go func() {
		e.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// enter counts a call in progress; it returns false once the entry is stopping.
func (e *Entry) enter() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopping.Load() {
		return false
	}
	e.running.Add(1)
	return true
}
