package backendtest

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

// maxFinishedRequests is the number of finished requests whose answers an engine keeps
// for resumed streams.
const maxFinishedRequests = 1024

// Errors of a request or order that the engine does not run.
var (
	errStaleFencing   = errors.New("the fencing token is lower than one seen before")
	errOverloaded     = errors.New("the queue of waiting requests is full")
	errModelNotLoaded = errors.New("the model is not loaded")
)

// Stats holds the counters of an engine since its start. The fields from CacheUsed to
// Waiting are current values.
type Stats struct {
	Requests         int64   `json:"requests"`   // accepted
	Duplicates       int64   `json:"duplicates"` // accepted with the ID of a request that the engine still knew
	Finished         int64   `json:"finished"`
	Cancelled        int64   `json:"cancelled"`
	Resumed          int64   `json:"resumed"` // streams reopened by request ID
	Refused          int64   `json:"refused"` // refused with status 429, 503 or 529
	Fenced           int64   `json:"fenced"`  // refused with status 409 because of the fencing token
	Orders           int64   `json:"orders"`
	PromptTokens     int64   `json:"prompt_tokens"`
	CachedTokens     int64   `json:"cached_tokens"`
	CompletionTokens int64   `json:"completion_tokens"`
	RecomputedTokens int64   `json:"recomputed_tokens"` // prompt tokens that were cached earlier and lost
	EvictedTokens    int64   `json:"evicted_tokens"`
	IdleTokenSeconds float64 `json:"idle_token_seconds"` // tokens of removed prefixes times seconds since their last use
	CacheUsed        int     `json:"cache_used_tokens"`
	Running          int     `json:"running"`
	Waiting          int     `json:"waiting"`
	MaxRunning       int     `json:"max_running"`
}

// Engine is a fake model engine that serves HTTP. It is safe for concurrent use.
type Engine struct {
	options  Options
	log      hclog.Logger
	http     *httpServer
	refusals refusalInjector

	wake    chan struct{}
	closed  chan struct{}
	stopped chan struct{}
	once    sync.Once

	mu                   sync.Mutex
	waiting              []*request // sorted by compareRequests
	running              []*request
	requests             map[string]*request
	finished             []string // request IDs, oldest first
	arrivals             uint64
	cache                *prefixCache
	highestFencingTokens map[string]uint64 // by scope: a program or the orders
	models               map[string]string // version by model
	role                 string
	rateFactor           float64
	loadSnapshot         loadReport
	loadSnapshotAt       time.Time
	stats                Stats
}

// NewEngine starts an engine. The caller must close it.
func NewEngine(options Options) (*Engine, error) {
	options = options.withDefaults()
	events := eventLog{delay: options.CacheEventDelay, gapEvery: options.CacheEventGapEvery}
	e := &Engine{
		options:              options,
		log:                  options.Logger,
		wake:                 make(chan struct{}, 1),
		closed:               make(chan struct{}),
		stopped:              make(chan struct{}),
		requests:             make(map[string]*request),
		cache:                newPrefixCache(options.CacheTokens, events),
		highestFencingTokens: make(map[string]uint64),
		models:               make(map[string]string),
		rateFactor:           1,
	}
	for _, model := range options.Models {
		e.models[model] = ""
	}
	server, err := newHTTPServer(options.Listen)
	if err != nil {
		return nil, fmt.Errorf("start engine: %w", err)
	}
	e.http = server
	e.registerRoutes()
	server.start()
	go e.run()
	return e, nil
}

// StartEngine starts an engine that is closed at the end of the test.
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

// Close closes every connection and waits until the engine has stopped.
func (e *Engine) Close() {
	e.shutdown()
	<-e.stopped
}

// Crash simulates a crash of the engine's process: it closes every connection, and all
// requests and the cache are lost.
func (e *Engine) Crash() {
	e.log.Error("engine crashed")
	e.shutdown()
	e.options.OnCrash()
}

// Closed returns a channel that is closed when the engine is closed or crashes.
func (e *Engine) Closed() <-chan struct{} { return e.closed }

// shutdown closes every connection and stops the batch loop; it does so only once.
func (e *Engine) shutdown() {
	e.once.Do(func() {
		e.http.abort()
		close(e.closed)
	})
}

// Stats returns a snapshot of the counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.EvictedTokens = e.cache.evictedTokens
	stats.IdleTokenSeconds = e.cache.idleTokenSeconds
	stats.CacheUsed = e.cache.used
	stats.Running = len(e.running)
	stats.Waiting = len(e.waiting)
	stats.Refused = e.refusals.total()
	return stats
}

// CachedPrograms returns the number of cached tokens by program.
func (e *Engine) CachedPrograms() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	cached := make(map[string]int, len(e.cache.entries))
	for program, entry := range e.cache.entries {
		cached[program] = entry.tokens
	}
	return cached
}

// RefuseNext makes the engine refuse the next n model calls with an HTTP status and a
// Retry-After header. It replaces an earlier call.
func (e *Engine) RefuseNext(n, status int, retryAfter time.Duration) {
	e.refusals.refuseNext(n, status, retryAfter)
}

// SetRateFactor multiplies the decode and prefill rates; 1 is the normal speed and 0
// stops all progress.
func (e *Engine) SetRateFactor(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rateFactor = factor
}

// submit queues a request, or returns the error for which it is refused. A waiting or
// running request with the same ID is cancelled.
func (e *Engine) submit(r *request, model string, fencingToken uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.checkFencing("program "+r.program, fencingToken) {
		return errStaleFencing
	}
	if _, ok := e.models[model]; !ok && len(e.models) > 0 {
		return errModelNotLoaded
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

// checkFencing records a fencing token. It returns false if the engine checks fencing
// tokens and has seen a higher one in the scope. Token 0 means that the client sent
// none.
func (e *Engine) checkFencing(scope string, fencingToken uint64) bool {
	if !e.options.CheckFencing || fencingToken == 0 {
		return true
	}
	if fencingToken < e.highestFencingTokens[scope] {
		e.stats.Fenced++
		return false
	}
	e.highestFencingTokens[scope] = fencingToken
	return true
}

// retainFinished keeps a finished request for resumed streams and drops the oldest one
// above maxFinishedRequests.
func (e *Engine) retainFinished(r *request) {
	e.finished = append(e.finished, r.id)
	if len(e.finished) <= maxFinishedRequests {
		return
	}
	oldest := e.finished[0]
	e.finished = e.finished[1:]
	if old := e.requests[oldest]; old != nil && old.finishReason != "" {
		delete(e.requests, oldest)
	}
}

// findRequest returns the request with an ID, or nil if the engine does not know it.
func (e *Engine) findRequest(id string) *request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests[id]
}

// cancel cancels a waiting or running request. It returns false if the ID is unknown.
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
