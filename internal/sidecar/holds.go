package sidecar

import (
	"context"
	"sync"
	"time"

	"ibistray.example/ibistray/internal/backend"
	"ibistray.example/ibistray/internal/policy/retain"
	"ibistray.example/ibistray/proto/rpcpb"
)

// releaseProgramEnded is the reason of a release that the control role or an entry
// requested; all other reasons are those of the retain package.
const releaseProgramEnded = "program_ended"

// hold is the cached prefix of one program in the engine. Its times are relative to
// holds.start.
type hold struct {
	tokens        int64
	sharePermille uint32 // of the engine's memory, as set in the contract; 0: unknown
	model         string // of the last call; the lengths of pauses are learned per model
	calls         int    // running or waiting in this sidecar
	pausedAt      time.Duration
	keepUntil     time.Duration
}

// holds tracks the programs whose prefix the engine caches, and learns how long they pause
// between two calls. It is safe for concurrent use.
type holds struct {
	policy    retain.Policy
	idleLimit time.Duration // longest time to keep the prefix of a paused program
	start     time.Time     // origin of the times of holds

	mu       sync.Mutex
	programs map[programID]*hold
	pauses   *retain.ToolPauses
}

func newHolds(idleLimit time.Duration) *holds {
	return &holds{
		policy:    retain.DefaultPolicy(),
		idleLimit: idleLimit,
		start:     time.Now(),
		programs:  make(map[programID]*hold),
		pauses:    retain.NewToolPauses(),
	}
}

// beginCall records that a call of the program runs or waits in this sidecar. Until it
// ends, the prefix of the program is not released.
func (h *holds) beginCall(id programID, req *rpcpb.RunRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Since(h.start)
	held := h.programs[id]
	if held == nil {
		held = &hold{}
		h.programs[id] = held
	} else if held.calls == 0 && held.pausedAt > 0 {
		h.pauses.Observe(held.model, now-held.pausedAt)
	}
	held.calls++
	held.model = req.Model
	held.sharePermille = req.EngineSharePermille
}

// endCall records that a call has ended. tokens is the length of the prefix that it left
// in the engine, or 0 if that is unknown.
func (h *holds) endCall(id programID, tokens int64) {
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
	h.startPause(held)
}

// startPause records that the program pauses from now on and how long its prefix is kept.
// The caller holds mu.
func (h *holds) startPause(held *hold) {
	held.pausedAt = time.Since(h.start)
	held.keepUntil = held.pausedAt + h.policy.KeepFor(h.pauses, held.model)
}

// heldTokens returns the total length of all prefixes, in tokens.
func (h *holds) heldTokens() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	total := int64(0)
	for _, held := range h.programs {
		total += held.tokens
	}
	return total
}

func (h *holds) remove(id programID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.programs, id)
}

// reconcile updates the holds from the contents of the engine's cache. Prefixes that the
// engine has evicted are removed. A prefix that is new to this incarnation is treated as
// that of a program that pauses from now on, so that it is released unless the program
// sends another call.
func (h *holds) reconcile(cached []backend.CacheEntry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	cachedIDs := make(map[programID]bool, len(cached))
	for _, entry := range cached {
		id := parseProgramID(entry.Program)
		cachedIDs[id] = true
		held := h.programs[id]
		if held == nil {
			held = &hold{}
			h.startPause(held)
			h.programs[id] = held
		}
		held.tokens = int64(entry.Tokens)
	}
	for id, held := range h.programs {
		if !cachedIDs[id] && held.calls == 0 {
			delete(h.programs, id)
		}
	}
}

// planReleases returns the prefixes to release from a cache with the given capacity.
func (h *holds) planReleases(capacityTokens uint64) []retain.Release {
	h.mu.Lock()
	defer h.mu.Unlock()
	candidates := make([]retain.Hold, 0, len(h.programs))
	for id, held := range h.programs {
		candidates = append(candidates, retain.Hold{
			Program:       id.String(),
			Customer:      id.customer,
			Tool:          held.model,
			Tokens:        held.tokens,
			SharePermille: held.sharePermille,
			Busy:          held.calls > 0,
			PausedAt:      held.pausedAt,
			KeepUntil:     held.keepUntil,
			LeaseEnd:      held.pausedAt + h.idleLimit,
		})
	}
	releases := h.policy.PlanReleases(h.pauses, candidates, int64(capacityTokens), time.Since(h.start))
	for _, r := range releases {
		if r.Reason == retain.ReasonKeptTooLong {
			h.pauses.ObserveAbandoned(h.programs[parseProgramID(r.Program)].model)
		}
	}
	return releases
}

// reconcileHolds reads the contents of the engine's cache and releases the prefixes that
// the policy selects. It reads the whole contents instead of cache events, which can be
// lost.
func (s *Sidecar) reconcileHolds(ctx context.Context) {
	contents, err := s.backend.CacheContents(ctx)
	if err != nil {
		s.log.Debug("cache contents not read", "error", err)
		return
	}
	s.holds.reconcile(contents.Programs)
	for _, r := range s.holds.planReleases(s.currentLoad().CacheCapacityTokens) {
		s.releaseHold(ctx, parseProgramID(r.Program), string(r.Reason))
	}
}

// releaseHold removes the prefix of a program from the engine's cache. If that fails, the
// next reconcileHolds finds the prefix again.
func (s *Sidecar) releaseHold(ctx context.Context, id programID, reason string) {
	s.holds.remove(id)
	if err := s.backend.ReleaseCache(ctx, id.String()); err != nil {
		s.log.Warn("prefix could not be released", "program", id.String(), "error", err)
		return
	}
	s.metrics.ReleasedHolds.WithLabelValues(reason).Inc()
}
