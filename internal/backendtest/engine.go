package backendtest

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

// maxFinished bounds the finished requests that an engine still answers for.
const maxFinished = 1024

// Errors of a request that the engine does not run.
var (
	errOldFencing = errors.New("the fencing number is old")
	errOverloaded = errors.New("too many requests wait")
	errNoModel    = errors.New("the model is not loaded")
)

// Stats counts what an engine did since its start.
type Stats struct {
	Requests         int64   `json:"requests"`   // accepted to run
	Duplicates       int64   `json:"duplicates"` // accepted with a request ID seen before
	Finished         int64   `json:"finished"`
	Cancelled        int64   `json:"cancelled"`
	Resumed          int64   `json:"resumed"` // streams opened by request ID
	Refused          int64   `json:"refused"` // 429, 503 and 529
	Fenced           int64   `json:"fenced"`  // 409
	Orders           int64   `json:"orders"`
	PromptTokens     int64   `json:"prompt_tokens"`
	CachedTokens     int64   `json:"cached_tokens"`
	CompletionTokens int64   `json:"completion_tokens"`
	RecomputedTokens int64   `json:"recomputed_tokens"` // prompt tokens that had been in this cache before
	EvictedTokens    int64   `json:"evicted_tokens"`
	IdleTokenSeconds float64 `json:"idle_token_seconds"` // held after the last use, by prefixes that are gone
	CacheUsed        int     `json:"cache_used_tokens"`
	Running          int     `json:"running"`
	Waiting          int     `json:"waiting"`
	MaxRunning       int     `json:"max_running"`
}

// Engine is a fake model engine that serves HTTP on a loopback port.
type Engine struct {
	options Options
	log     hclog.Logger
	http    *httpServer
	faults  faults

	wake    chan struct{}
	closed  chan struct{}
	stopped chan struct{}
	once    sync.Once

	mu         sync.Mutex
	waiting    []*request // sorted by compareRequests
	running    []*request
	requests   map[string]*request
	finished   []string // request IDs, oldest first
	arrivals   uint64
	cache      *prefixCache
	fencing    map[string]uint64 // newest number by scope
	models     map[string]string // version by model
	role       string
	slowFactor float64
	load       loadReport
	loadTaken  time.Time
	stats      Stats
}

// NewEngine starts an engine. The caller closes it.
func NewEngine(options Options) (*Engine, error) {
	options = options.withDefaults()
	events := eventLog{delay: options.CacheEventDelay, gapEvery: options.CacheEventGapEvery}
	e := &Engine{
		options:    options,
		log:        options.Logger,
		wake:       make(chan struct{}, 1),
		closed:     make(chan struct{}),
		stopped:    make(chan struct{}),
		requests:   make(map[string]*request),
		cache:      newPrefixCache(options.CacheTokens, events),
		fencing:    make(map[string]uint64),
		models:     make(map[string]string),
		slowFactor: 1,
	}
	for _, model := range options.Models {
		e.models[model] = ""
	}
	server, err := newHTTPServer(options.Listen)
	if err != nil {
		return nil, fmt.Errorf("start engine: %w", err)
	}
	e.http = server
	e.routes()
	server.start()
	go e.run()
	return e, nil
}

// StartEngine starts an engine that ends with the test.
func StartEngine(t testing.TB, options Options) *Engine {
	t.Helper()
	e, err := NewEngine(options)
	if err != nil {
		t.Fatalf("start engine: %v", err)
	}
	t.Cleanup(e.Close)
	return e
}

// URL returns the base URL of the engine.
func (e *Engine) URL() string { return e.http.url() }

// Close cuts every connection and waits until the engine has stopped.
func (e *Engine) Close() {
	e.shut()
	<-e.stopped
}

// Crash does what the end of the engine's process does: it cuts every
// connection, and all requests and the cache are lost.
func (e *Engine) Crash() {
	e.log.Error("engine crashes")
	e.shut()
	e.options.OnCrash()
}

// Closed returns a channel that is closed once the engine is closed or crashed.
func (e *Engine) Closed() <-chan struct{} { return e.closed }

func (e *Engine) shut() {
	e.once.Do(func() {
		e.http.abort()
		close(e.closed)
	})
}

// Stats returns the counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.EvictedTokens = e.cache.evictedTokens
	stats.IdleTokenSeconds = e.cache.idleTokenSeconds
	stats.CacheUsed = e.cache.used
	stats.Running = len(e.running)
	stats.Waiting = len(e.waiting)
	stats.Refused = e.faults.refusals()
	return stats
}

// CachedPrograms returns the cached tokens by program.
func (e *Engine) CachedPrograms() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	cached := make(map[string]int, len(e.cache.entries))
	for program, entry := range e.cache.entries {
		cached[program] = entry.tokens
	}
	return cached
}

// RefuseNext makes the engine answer the next n requests to run with a status.
func (e *Engine) RefuseNext(n, status int, retryAfter time.Duration) {
	e.faults.refuseNext(n, status, retryAfter)
}

// SetRateFactor scales both rates; 1 is the normal speed, 0 stands still.
func (e *Engine) SetRateFactor(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowFactor = factor
}

// submit accepts a request to run.
func (e *Engine) submit(r *request, model string, fence uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.admitFence("program "+r.program, fence) {
		return errOldFencing
	}
	if _, ok := e.models[model]; !ok && len(e.models) > 0 {
		return errNoModel
	}
	if len(e.waiting) >= e.options.QueueLimit {
		return errOverloaded
	}
	if old := e.requests[r.id]; old != nil {
		e.stats.Duplicates++
		e.finish(old, finishCancelled, time.Now())
	}
	e.stats.Requests++
	r.stall = r.contains(e.options.StallMarker)
	e.requests[r.id] = r
	e.enqueue(r)
	return nil
}

// admitFence records a fencing number; false means that the engine checks
// numbers and has seen a higher one in the scope. Number 0 is no number.
func (e *Engine) admitFence(scope string, fence uint64) bool {
	if !e.options.CheckFencing || fence == 0 {
		return true
	}
	if fence < e.fencing[scope] {
		e.stats.Fenced++
		return false
	}
	e.fencing[scope] = fence
	return true
}

// retain keeps a finished request for later streams, up to maxFinished.
func (e *Engine) retain(r *request) {
	e.finished = append(e.finished, r.id)
	if len(e.finished) <= maxFinished {
		return
	}
	oldest := e.finished[0]
	e.finished = e.finished[1:]
	if old := e.requests[oldest]; old != nil && old.finish != "" {
		delete(e.requests, oldest)
	}
}

// find returns a known request, nil when there is none.
func (e *Engine) find(id string) *request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests[id]
}

// cancel ends a request that waits or runs; false means that it is unknown.
func (e *Engine) cancel(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.requests[id]
	if r == nil {
		return false
	}
	e.finish(r, finishCancelled, time.Now())
	return true
}
