package sidecar

import (
	"context"
	"sync"
	"time"

	"ibistray.example/ibistray/internal/backend"
	"ibistray.example/ibistray/internal/policy/retain"
	"ibistray.example/ibistray/proto/rpcpb"
)

// releaseProgramEnded is the reason for a release that the control role or an
// entry asked for; the others are those of the retain package.
const releaseProgramEnded = "program_ended"

// hold is the engine memory of one program.
type hold struct {
	tokens    int64
	share     uint32 // of the contract, permille; 0: not known
	model     string // whose answer the program has last; pauses are learnt by it
	calls     int    // running or waiting here
	pausedAt  time.Duration
	keepUntil time.Duration
}

// holds tracks the programs whose prefix the engine caches and learns how long
// they pause. It is safe for concurrent use.
type holds struct {
	policy    retain.Policy
	idleLimit time.Duration // of a program that does not come back
	start     time.Time

	mu       sync.Mutex
	programs map[programID]*hold
	times    *retain.ToolPauses
}

func newHolds(idleLimit time.Duration) *holds {
	return &holds{
		policy:    retain.DefaultPolicy(),
		idleLimit: idleLimit,
		start:     time.Now(),
		programs:  make(map[programID]*hold),
		times:     retain.NewToolPauses(),
	}
}

// begin records that a call of the program runs or waits here: its prefix is
// not released.
func (h *holds) begin(id programID, req *rpcpb.RunRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Since(h.start)
	held := h.programs[id]
	if held == nil {
		held = &hold{}
		h.programs[id] = held
	} else if held.calls == 0 && held.pausedAt > 0 {
		h.times.Observe(held.model, now-held.pausedAt)
	}
	held.calls++
	held.model = req.Model
	held.share = req.EngineSharePermille
}

// end records that a call has ended; tokens is the length of the prefix that it
// left in the engine, 0 when that is not known.
func (h *holds) end(id programID, tokens int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.programs[id]
	if held == nil {
		return
	}
	held.calls--
	if tokens > 0 {
		held.tokens = tokens
	}
	h.pause(held)
}

// pause starts the time for which a prefix is kept. The caller holds mu.
func (h *holds) pause(held *hold) {
	held.pausedAt = time.Since(h.start)
	held.keepUntil = held.pausedAt + h.policy.KeepFor(h.times, held.model)
}

// heldTokens returns the tokens that all programs hold together.
func (h *holds) heldTokens() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	total := int64(0)
	for _, held := range h.programs {
		total += held.tokens
	}
	return total
}

func (h *holds) drop(id programID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.programs, id)
}

// sync makes the table agree with the engine's cache: what the engine evicted is
// dropped, and what this incarnation has not seen is taken for paused now, so
// that it is released unless its program comes back.
func (h *holds) sync(cached []backend.CacheEntry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	found := make(map[programID]bool, len(cached))
	for _, entry := range cached {
		id := parseProgramID(entry.Program)
		found[id] = true
		held := h.programs[id]
		if held == nil {
			held = &hold{}
			h.pause(held)
			h.programs[id] = held
		}
		held.tokens = int64(entry.Tokens)
	}
	for id, held := range h.programs {
		if !found[id] && held.calls == 0 {
			delete(h.programs, id)
		}
	}
}

// plan returns the prefixes to release from a memory of the given capacity in
// tokens.
func (h *holds) plan(capacity uint64) []retain.Release {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]retain.Hold, 0, len(h.programs))
	for id, held := range h.programs {
		list = append(list, retain.Hold{
			Program:       id.String(),
			Customer:      id.customer,
			Tool:          held.model,
			Tokens:        held.tokens,
			SharePermille: held.share,
			Busy:          held.calls > 0,
			PausedAt:      held.pausedAt,
			KeepUntil:     held.keepUntil,
			LeaseEnd:      held.pausedAt + h.idleLimit,
		})
	}
	releases := h.policy.PlanReleases(h.times, list, int64(capacity), time.Since(h.start))
	for _, r := range releases {
		if r.Reason == retain.ReasonKeptTooLong {
			h.times.ObserveAbandoned(h.programs[parseProgramID(r.Program)].model)
		}
	}
	return releases
}

// reviewHolds reads what the engine caches and releases what the policy names.
// The whole state is read, so a lost cache event does no harm.
func (s *Sidecar) reviewHolds(ctx context.Context) {
	contents, err := s.backend.CacheContents(ctx)
	if err != nil {
		s.log.Debug("cache contents not read", "error", err)
		return
	}
	s.holds.sync(contents.Programs)
	for _, r := range s.holds.plan(s.currentLoad().CacheCapacityTokens) {
		s.releaseHold(ctx, parseProgramID(r.Program), string(r.Reason))
	}
}

// releaseHold drops a program's prefix from the engine. A failed release is
// made up for by a later review.
func (s *Sidecar) releaseHold(ctx context.Context, id programID, reason string) {
	s.holds.drop(id)
	if err := s.backend.ReleaseCache(ctx, id.String()); err != nil {
		s.log.Warn("engine memory could not be released", "program", id.String(), "error", err)
		return
	}
	s.metrics.ReleasedHolds.WithLabelValues(reason).Inc()
}
