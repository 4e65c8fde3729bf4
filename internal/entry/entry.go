// Package entry implements the entry role, which serves the API for callers and the
// administration API. For each call it validates the request, has the customer's shard
// record the call, chooses a backend server, runs the call through that server's
// sidecar and streams the output to the caller.
//
// An entry stores nothing durably. If it fails, the caller repeats the request with the
// same call ID at another entry, which attaches to the running call or returns the
// recorded answer.
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

// Config configures an entry.
type Config struct {
	Name            string        // unique name of the process
	Control         []string      // addresses of the control processes
	MaxBodyBytes    int           // limit of a request body
	MaxOutputTokens uint64        // limit and default of a model call's max_tokens
	OperatorKeys    *OperatorKeys // keys for the administration API
}

// Entry is the entry role of one process. It is safe for concurrent use.
type Entry struct {
	cfg         Config
	log         hclog.Logger
	metrics     *telemetry.Metrics
	pool        *transport.Pool
	shards      *shardclient.Client
	config      *configclient.Client
	members     *membership
	retries     retry.Policy
	budget      *retry.Budget
	quarantines *quarantineCache
	prefixes    *prefixLocations

	stopping     atomic.Bool
	mu           sync.Mutex // orders each startCall before or after the start of Drain
	runningCalls sync.WaitGroup
}

// New returns an entry that is not running; Run starts its periodic work.
func New(cfg Config, log hclog.Logger, metrics *telemetry.Metrics, pool *transport.Pool, shards *shardclient.Client, configuration *configclient.Client) *Entry {
	return &Entry{
		cfg:         cfg,
		log:         log,
		metrics:     metrics,
		pool:        pool,
		shards:      shards,
		config:      configuration,
		members:     newMembership(pool, cfg.Control, cfg.Name, metrics),
		retries:     retry.DefaultPolicy(),
		budget:      retry.NewBudget(retry.DefaultBudgetShare, retry.DefaultBudgetBurst),
		quarantines: newQuarantineCache(),
		prefixes:    newPrefixLocations(),
	}
}

// Run refreshes the membership every membersInterval until ctx is done.
func (e *Entry) Run(ctx context.Context) {
	loop.Every(ctx, membersInterval, e.members.refresh)
}

// Ready reports whether the entry accepts calls: it is not stopping and knows at least
// one backend server.
func (e *Entry) Ready() bool {
	return !e.stopping.Load() && len(e.members.snapshot.Load().members) > 0
}

// Drain makes the entry refuse new calls and waits until all running calls have ended. It
// returns the context's error if ctx is done earlier.
func (e *Entry) Drain(ctx context.Context) error {
	e.mu.Lock()
	e.stopping.Store(true)
	e.mu.Unlock()
	done := make(chan struct{})
	go func() {
		e.runningCalls.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// startCall counts a call as running, or returns false if the entry is stopping. The
// caller calls runningCalls.Done when the call ends.
func (e *Entry) startCall() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopping.Load() {
		return false
	}
	e.runningCalls.Add(1)
	return true
}
