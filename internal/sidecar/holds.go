package sidecar

import (
	"context"
	"sync"
	"time"

	"ibistray.example/ibistray/internal/backend"
)

// Reasons for which engine memory is released.
const (
	releaseProgramEnded = "program_ended"
	releaseIdle         = "idle"
)

const maxReleasesPerReview = 64

// hold is the engine memory of one program.
type hold struct {
	tokens   uint64
	lastUsed time.Time
}

// holds tracks the programs whose prefix the engine caches because of this
// sidecar.
type holds struct {
	mu       sync.Mutex
	programs map[programID]hold
}

func newHolds() *holds {
	return &holds{programs: make(map[programID]hold)}
}

func (h *holds) touch(id programID, tokens uint64, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.programs[id] = hold{tokens: tokens, lastUsed: now}
}

func (h *holds) drop(id programID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.programs, id)
}

// sync makes the table agree with the engine's cache: what the engine evicted is
// dropped, and what this incarnation has not seen is taken for used now, so
// that it is released unless its program comes back.
func (h *holds) sync(cached []backend.CacheEntry, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := make(map[programID]hold, len(cached))
	for _, entry := range cached {
		id := parseProgramID(entry.Program)
		held, ok := h.programs[id]
		if !ok {
			held.lastUsed = now
		}
		held.tokens = entry.Tokens
		next[id] = held
	}
	h.programs = next
}

// idle returns programs that were not used for the limit.
func (h *holds) idle(limit time.Duration, now time.Time) []programID {
	h.mu.Lock()
	defer h.mu.Unlock()
	var ids []programID
	for id, held := range h.programs {
		if now.Sub(held.lastUsed) >= limit && len(ids) < maxReleasesPerReview {
			ids = append(ids, id)
		}
	}
	return ids
}

// reviewHolds reads what the engine caches and releases the memory of programs
// that nobody used for the limit. The whole state is read, so a lost cache event
// does no harm.
func (s *Sidecar) reviewHolds(ctx context.Context) {
	contents, err := s.backend.CacheContents(ctx)
	if err != nil {
		s.log.Debug("cache contents not read", "error", err)
		return
	}
	s.holds.sync(contents.Programs, time.Now())
	for _, id := range s.holds.idle(s.cfg.RetainIdle, time.Now()) {
		s.releaseHold(ctx, id, releaseIdle)
	}
}

// releaseHold drops a program's prefix from the engine. A failed release is
// made up for by the next resync.
func (s *Sidecar) releaseHold(ctx context.Context, id programID, reason string) {
	s.holds.drop(id)
	if err := s.backend.ReleaseCache(ctx, id.String()); err != nil {
		s.log.Warn("engine memory could not be released", "program", id.String(), "error", err)
		return
	}
	s.metrics.ReleasedHolds.WithLabelValues(reason).Inc()
}
