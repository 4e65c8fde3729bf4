package retain

import (
	"cmp"
	"slices"
	"time"
)

// unknownPause is the assumed pause of a tool of which nothing is known.
const unknownPause = 30 * time.Second

// permille is the unit of a contract's share.
const permille = 1000

// Policy are the constants of keeping and releasing.
type Policy struct {
	// KeepQuantile is the share of a tool's pauses that a prefix is kept for.
	KeepQuantile float64
	// MinKeep and MaxKeep bound the time in which a prefix is kept.
	MinKeep time.Duration
	MaxKeep time.Duration
	// HighWatermark is the share of the memory above which prefixes are released,
	// down to LowShare.
	HighWatermark float64
	LowWatermark  float64
}

// DefaultPolicy returns the constants in use.
func DefaultPolicy() Policy {
	return Policy{
		KeepQuantile:  0.995,
		MinKeep:       30 * time.Second,
		MaxKeep:       10 * time.Minute,
		HighWatermark: 0.95,
		LowWatermark:  0.90,
	}
}

// KeepFor returns how long to keep a prefix during a pause for the tool.
func (p Policy) KeepFor(times *ToolPauses, tool string) time.Duration {
	pause, ok := times.Quantile(tool, p.KeepQuantile)
	if !ok {
		pause = unknownPause
	}
	return min(max(pause, p.MinKeep), p.MaxKeep)
}

// Hold is a program's prefix in the memory of one engine.
type Hold struct {
	Program  string
	Customer string
	Tool     string // that the program waits for
	Tokens   int64
	// SharePermille is the part of the memory that the customer may hold for paused
	// programs, in permille of the contract; 0: no limit.
	SharePermille uint32
	Busy          bool // a call of the program runs or waits here
	Ended         bool // the program has ended
	PausedAt      time.Duration
	KeepUntil     time.Duration // PausedAt + KeepFor
	LeaseEnd      time.Duration // of the program's lease on the memory; 0: none
}

// Reason says why a prefix is released; it is a name for counters.
type Reason string

// Reasons of a release.
const (
	ReasonEnded        Reason = "ended"
	ReasonLeaseExpired Reason = "lease_expired"
	ReasonKeptTooLong  Reason = "kept_too_long"
	ReasonOverShare    Reason = "over_share"
	ReasonMemoryShort  Reason = "memory_short"
)

// Release names a prefix to release.
type Release struct {
	Program string
	Reason  Reason
}

// PlanReleases returns the prefixes to release from a memory of the given capacity in
// tokens. It never names a busy one. What nobody renews, has ended or is kept
// for too long goes in any case; then each customer's paused prefixes are cut
// to its share, and while memory is short those go first that are least likely
// to be used soon. The result does not depend on the order of holds.
func (p Policy) PlanReleases(times *ToolPauses, holds []Hold, capacity int64, now time.Duration) []Release {
	var releases []Release
	var kept []candidate
	var used int64
	for i := range holds {
		h := &holds[i]
		if reason := h.expired(now); reason != "" {
			releases = append(releases, Release{h.Program, reason})
			continue
		}
		used += h.Tokens
		if !h.Busy {
			kept = append(kept, candidate{h, score(times, h, now)})
		}
	}
	slices.SortFunc(kept, compareCandidates)
	kept, cut := cutToShare(kept, capacity)
	for _, c := range cut {
		releases = append(releases, Release{c.hold.Program, ReasonOverShare})
		used -= c.hold.Tokens
	}
	return append(releases, p.relieve(kept, used, capacity)...)
}

func (h *Hold) expired(now time.Duration) Reason {
	switch {
	case h.Busy:
		return ""
	case h.Ended:
		return ReasonEnded
	case h.LeaseEnd != 0 && now >= h.LeaseEnd:
		return ReasonLeaseExpired
	case now >= h.KeepUntil:
		return ReasonKeptTooLong
	}
	return ""
}

type candidate struct {
	hold  *Hold
	score float64
}

// score is higher the more a token of the prefix is worth: the chance that the
// program comes back per second until it does.
func score(times *ToolPauses, h *Hold, now time.Duration) float64 {
	left, chance := times.Remaining(h.Tool, now-h.PausedAt)
	return chance / max(left.Seconds(), firstBucket.Seconds())
}

// compareCandidates puts the least valuable prefix first.
func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.hold.Program, b.hold.Program))
}

// cutToShare splits off the least valuable prefixes of customers that hold more
// than their share.
func cutToShare(sorted []candidate, capacity int64) (kept, cut []candidate) {
	held := make(map[string]int64)
	for _, c := range sorted {
		held[c.hold.Customer] += c.hold.Tokens
	}
	for _, c := range sorted {
		limit := capacity * int64(c.hold.SharePermille) / permille
		if c.hold.SharePermille != 0 && held[c.hold.Customer] > limit {
			held[c.hold.Customer] -= c.hold.Tokens
			cut = append(cut, c)
			continue
		}
		kept = append(kept, c)
	}
	return kept, cut
}

// relieve releases prefixes once the memory is used above HighShare.
func (p Policy) relieve(sorted []candidate, used, capacity int64) []Release {
	if float64(used) <= p.HighWatermark*float64(capacity) {
		return nil
	}
	var releases []Release
	for _, c := range sorted {
		if float64(used) <= p.LowWatermark*float64(capacity) {
			break
		}
		releases = append(releases, Release{c.hold.Program, ReasonMemoryShort})
		used -= c.hold.Tokens
	}
	return releases
}
