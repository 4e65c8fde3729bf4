package backendtest

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
)

// loadReport is a snapshot of the load of an engine.
type loadReport struct {
	Running           int   `json:"running"`
	Waiting           int   `json:"waiting"`
	BatchLimit        int   `json:"batch_limit"`
	CacheUsed         int   `json:"cache_used_tokens"`
	CacheCapacity     int   `json:"cache_capacity_tokens"`
	AgeMS             int64 `json:"age_ms"`
	TokensPerSecond   int64 `json:"tokens_per_second"`
	PrefillsPerSecond int64 `json:"prefill_tokens_per_second"`
}

func (e *Engine) serveLoad(_ context.Context, c *app.RequestContext) {
	writeJSON(c, consts.StatusOK, e.loadReport(time.Now()))
}

// loadReport returns the last snapshot. If that is older than LoadLag, it takes a new
// one for the next reader, so that readers see stale reports.
func (e *Engine) loadReport(now time.Time) loadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loadSnapshotAt.IsZero() || e.options.LoadLag == 0 {
		e.snapshotLoad(now)
	}
	report := e.loadSnapshot
	report.AgeMS = now.Sub(e.loadSnapshotAt).Milliseconds()
	if now.Sub(e.loadSnapshotAt) >= e.options.LoadLag {
		e.snapshotLoad(now)
	}
	return report
}

func (e *Engine) snapshotLoad(now time.Time) {
	e.loadSnapshotAt = now
	e.loadSnapshot = loadReport{
		Running:           len(e.running),
		Waiting:           len(e.waiting),
		BatchLimit:        e.options.BatchLimit,
		CacheUsed:         e.cache.used,
		CacheCapacity:     e.cache.capacity,
		TokensPerSecond:   int64(e.options.DecodeRate * e.options.Speed * e.rateFactor),
		PrefillsPerSecond: int64(e.options.PrefillRate * e.options.Speed * e.rateFactor),
	}
}

// cacheEventsReport is a page of cache events. Next is the value of the parameter after
// in the next request.
type cacheEventsReport struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

func (e *Engine) serveCacheEvents(_ context.Context, c *app.RequestContext) {
	after, err := strconv.ParseUint(c.DefaultQuery("after", "0"), 10, 64)
	if err != nil {
		writeError(c, consts.StatusBadRequest, "invalid_request", "after is not an unsigned integer")
		return
	}
	e.mu.Lock()
	events, next := e.cache.events.after(after, time.Now())
	e.mu.Unlock()
	writeJSON(c, consts.StatusOK, cacheEventsReport{Events: events, Next: next})
}

// cacheReport lists the content of the cache as of an event sequence number.
type cacheReport struct {
	Sequence uint64          `json:"sequence"`
	Programs []cachedProgram `json:"programs"`
}

type cachedProgram struct {
	Program string `json:"program"`
	Tokens  int    `json:"tokens"`
}

func (e *Engine) serveCache(_ context.Context, c *app.RequestContext) {
	e.mu.Lock()
	report := cacheReport{Sequence: e.cache.events.last, Programs: []cachedProgram{}}
	for program, entry := range e.cache.entries {
		report.Programs = append(report.Programs, cachedProgram{Program: program, Tokens: entry.tokens})
	}
	e.mu.Unlock()
	slices.SortFunc(report.Programs, func(a, b cachedProgram) int { return strings.Compare(a.Program, b.Program) })
	writeJSON(c, consts.StatusOK, report)
}

// exportedPrefix is the content of an exported cache entry.
type exportedPrefix struct {
	Program string         `json:"program"`
	Chain   []chainSegment `json:"chain"`
}

func (e *Engine) serveExport(_ context.Context, c *app.RequestContext) {
	program := c.Param("program")
	e.mu.Lock()
	entry := e.cache.entries[program]
	var data []byte
	if entry != nil {
		data, _ = json.Marshal(exportedPrefix{Program: program, Chain: entry.chain})
	}
	e.mu.Unlock()
	if data == nil {
		writeError(c, consts.StatusNotFound, "unknown_program", "the program has no cached prefix")
		return
	}
	c.Data(consts.StatusOK, consts.MIMEApplicationOctetStream, data)
}

func (e *Engine) serveImport(_ context.Context, c *app.RequestContext) {
	var prefix exportedPrefix
	if !decodeBody(c, &prefix) {
		return
	}
	program := c.Param("program")
	if prefix.Program != program {
		writeError(c, consts.StatusBadRequest, "invalid_request", "the prefix belongs to another program")
		return
	}
	e.mu.Lock()
	stored := e.cache.store(program, prefix.Chain, time.Now())
	e.mu.Unlock()
	if !stored {
		writeError(c, consts.StatusInsufficientStorage, "cache_full", "the prefix does not fit into the cache")
		return
	}
	c.SetStatusCode(consts.StatusNoContent)
}

func (e *Engine) serveRelease(_ context.Context, c *app.RequestContext) {
	e.mu.Lock()
	released := e.cache.release(c.Param("program"), time.Now())
	e.mu.Unlock()
	if !released {
		writeError(c, consts.StatusNotFound, "unknown_program", "the program has no cached prefix")
		return
	}
	c.SetStatusCode(consts.StatusNoContent)
}

// Kinds of orders.
const (
	orderLoadModel   = "load_model"
	orderUnloadModel = "unload_model"
	orderSetRole     = "set_role"
)

// order is an administrative order to the engine. FencingToken is that of its sender.
type order struct {
	Kind         string `json:"kind"`
	Model        string `json:"model"`
	Version      string `json:"version"`
	Role         string `json:"role"`
	FencingToken uint64 `json:"fencing"`
}

func (e *Engine) serveOrder(_ context.Context, c *app.RequestContext) {
	var o order
	if !decodeBody(c, &o) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.checkFencing("orders", o.FencingToken) {
		writeError(c, consts.StatusConflict, "old_fencing_number", errStaleFencing.Error())
		return
	}
	if !e.applyOrder(o) {
		writeError(c, consts.StatusBadRequest, "invalid_request", "unknown kind of order: "+o.Kind)
		return
	}
	e.stats.Orders++
	c.SetStatusCode(consts.StatusNoContent)
}

// applyOrder carries out an order. It returns false if its kind is unknown.
func (e *Engine) applyOrder(o order) bool {
	switch o.Kind {
	case orderLoadModel:
		e.models[o.Model] = o.Version
	case orderUnloadModel:
		delete(e.models, o.Model)
	case orderSetRole:
		e.role = o.Role
	default:
		return false
	}
	return true
}
