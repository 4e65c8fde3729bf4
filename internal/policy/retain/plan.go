package retain

import (
	"cmp"
	"slices"
	"time"
)

// defaultPause is the assumed pause for a tool while too few pauses are known.
const defaultPause = 30 * time.Second

// permille is the denominator of a contract's share, which is in thousandths.
const permille = 1000

// Policy holds the parameters for keeping and releasing prefixes.
type Policy struct {
	// KeepQuantile is the quantile of a tool's pauses for which a prefix is kept.
	KeepQuantile float64
	// MinKeep and MaxKeep limit the time for which a prefix is kept.
	MinKeep time.Duration
	MaxKeep time.Duration
	// HighWatermark is the share of the memory, 0 to 1, above which prefixes are
	// released until no more than LowWatermark is in use.
	HighWatermark float64
	LowWatermark  float64
}

// DefaultPolicy returns the parameters that sidecars use.
func DefaultPolicy() Policy {
	return Policy{
		KeepQuantile:  0.995,
		MinKeep:       30 * time.Second,
		MaxKeep:       10 * time.Minute,
		HighWatermark: 0.95,
		LowWatermark:  0.90,
	}
}

// KeepFor returns how long to keep a prefix while its program waits for the tool.
func (p Policy) KeepFor(pauses *ToolPauses, tool string) time.Duration {
	pause, ok := pauses.Quantile(tool, p.KeepQuantile)
	if !ok {
		pause = defaultPause
	}
	return min(max(pause, p.MinKeep), p.MaxKeep)
}

// Hold is the cached prefix of a program in the memory of one engine.
type Hold struct {
	Program  string
	Customer string
	Tool     string // that the program waits for
	Tokens   int64
	// SharePermille is the part of the memory that the prefixes of the customer's
	// paused programs may use, as set in its contract; 0 means no limit.
	SharePermille uint32
	Busy          bool // a call of the program runs or waits at this engine
	Ended         bool // the program has ended
	PausedAt      time.Duration
	KeepUntil     time.Duration // PausedAt + KeepFor
	LeaseEnd      time.Duration // of the program's lease on the memory; 0 means none
}

// Reason says why a prefix is released. Metrics use it as a label value.
type Reason string

// Reasons for a release.
const (
	ReasonEnded        Reason = "ended"
	ReasonLeaseExpired Reason = "lease_expired"
	ReasonKeptTooLong  Reason = "kept_too_long"
	ReasonOverShare    Reason = "over_share"
	ReasonMemoryShort  Reason = "memory_short"
)

// Release is a prefix to release and the reason for it.
type Release struct {
	Program string
	Reason  Reason
}

// PlanReleases returns the prefixes to release from a memory of the given capacity
// in tokens, in three steps: first those whose program has ended, whose lease has
// expired or whose KeepUntil has passed; then those that exceed the share of their
// customer; and while memory is short, those that are least likely to be used soon.
// It never releases the prefix of a busy program. The result does not depend on the
// order of holds.
func (p Policy) PlanReleases(pauses *ToolPauses, holds []Hold, capacity int64, now time.Duration) []Release {
	var releases []Release
	var kept []candidate
	var used int64
	for i := range holds {
		h := &holds[i]
		if reason := h.releaseReason(now); reason != "" {
			releases = append(releases, Release{h.Program, reason})
			continue
		}
		used += h.Tokens
		if !h.Busy {
			kept = append(kept, candidate{h, score(pauses, h, now)})
		}
	}
	slices.SortFunc(kept, compareCandidates)
	kept, excess := enforceShares(kept, capacity)
	for _, c := range excess {
		releases = append(releases, Release{c.hold.Program, ReasonOverShare})
		used -= c.hold.Tokens
	}
	return append(releases, p.releaseToLowWatermark(kept, used, capacity)...)
}

// releaseReason returns the reason to release the prefix regardless of the memory in use,
// or "" if there is none.
func (h *Hold) releaseReason(now time.Duration) Reason {
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

// candidate is a prefix that may be released or moved.
type candidate struct {
	hold  *Hold
	score float64
}

// score returns the value of keeping a token of the prefix: the probability that the
// program resumes, divided by the expected seconds until then.
func score(pauses *ToolPauses, h *Hold, now time.Duration) float64 {
	remaining, probability := pauses.Remaining(h.Tool, now-h.PausedAt)
	return probability / max(remaining.Seconds(), firstBucket.Seconds())
}

// compareCandidates orders candidates by ascending score, then by program.
func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.hold.Program, b.hold.Program))
}

// enforceShares splits off the candidates with the lowest scores of each customer
// that uses more than its share, until it is within its share. The candidates must be
// sorted by score.
func enforceShares(sorted []candidate, capacity int64) (kept, excess []candidate) {
	used := make(map[string]int64)
	for _, c := range sorted {
		used[c.hold.Customer] += c.hold.Tokens
	}
	for _, c := range sorted {
		limit := capacity * int64(c.hold.SharePermille) / permille
		if c.hold.SharePermille != 0 && used[c.hold.Customer] > limit {
			used[c.hold.Customer] -= c.hold.Tokens
			excess = append(excess, c)
			continue
		}
		kept = append(kept, c)
	}
	return kept, excess
}

// releaseToLowWatermark releases the candidates with the lowest scores until no more
// of the memory than LowWatermark is in use, provided that more than HighWatermark is
// in use at first. The candidates must be sorted by score.
func (p Policy) releaseToLowWatermark(sorted []candidate, used, capacity int64) []Release {
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
