package retain

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const farFuture = 1000 * time.Hour

// observedPauses returns statistics in which pauses for "fast" take 1 s and those for
// "slow" 60 s, and half of the programs that pause 1 s for "lossy" never resume.
func observedPauses() *ToolPauses {
	pauses := NewToolPauses()
	for range 50 {
		pauses.Observe("fast", time.Second)
		pauses.Observe("slow", time.Minute)
		pauses.Observe("lossy", time.Second)
		pauses.ObserveAbandoned("lossy")
	}
	return pauses
}

func TestToolPauses(t *testing.T) {
	pauses := NewToolPauses()
	_, ok := pauses.Quantile("fast", 0.5)
	assert.Assert(t, !ok)
	pauses = observedPauses()
	quantile, ok := pauses.Quantile("fast", 0.9)
	assert.Assert(t, ok)
	assert.Equal(t, quantile, time.Second)
	pauses.Observe("new tool", time.Second)
	quantile, _ = pauses.Quantile("new tool", 0.99)
	assert.Equal(t, quantile, 64*time.Second)
	remaining, probability := pauses.Remaining("slow", 10*time.Second)
	assert.Equal(t, remaining, 54*time.Second)
	assert.Equal(t, probability, 1.0)
	_, probability = pauses.Remaining("lossy", 0)
	assert.Equal(t, probability, 0.5)
	_, probability = pauses.Remaining("fast", time.Hour)
	assert.Equal(t, probability, 0.0)
}

func TestToolPausesDecay(t *testing.T) {
	pauses := NewToolPauses()
	for range 4 * decayThreshold {
		pauses.Observe("fast", time.Second)
	}
	for range 2 * decayThreshold {
		pauses.Observe("fast", 16*time.Second)
	}
	quantile, _ := pauses.Quantile("fast", 0.2)
	assert.Equal(t, quantile, 16*time.Second)
}

func TestToolPausesIsBounded(t *testing.T) {
	pauses := NewToolPauses()
	pauses.Observe("oldest", time.Second)
	for i := range 2 * maxTools {
		pauses.Observe(fmt.Sprint("tool", i), time.Second)
	}
	assert.Equal(t, pauses.Len(), maxTools)
	assert.Assert(t, pauses.tools["oldest"] == nil)
}

func TestKeepFor(t *testing.T) {
	policy := DefaultPolicy()
	assert.Equal(t, policy.KeepFor(NewToolPauses(), "fast"), defaultPause)
	assert.Equal(t, policy.KeepFor(observedPauses(), "fast"), policy.MinKeep)
	policy.MinKeep = 0
	assert.Equal(t, policy.KeepFor(observedPauses(), "fast"), time.Second)
	policy.MaxKeep = 10 * time.Second
	assert.Equal(t, policy.KeepFor(observedPauses(), "slow"), 10*time.Second)
}

func hold(program, tool string, tokens int64) Hold {
	return Hold{Program: program, Customer: "c", Tool: tool, Tokens: tokens, KeepUntil: farFuture}
}

func TestPlanReleases(t *testing.T) {
	busy := hold("busy", "slow", 90)
	busy.Busy, busy.Ended = true, true
	ended := hold("ended", "fast", 1)
	ended.Ended = true
	expired := hold("expired", "fast", 1)
	expired.LeaseEnd = time.Millisecond
	late := hold("late", "fast", 1)
	late.KeepUntil = time.Millisecond
	shared := func(program, tool string) Hold {
		h := hold(program, tool, 20)
		h.SharePermille = 300
		return h
	}
	tests := []struct {
		name  string
		holds []Hold
		want  []Release
	}{
		{"memory free", []Hold{hold("a", "fast", 10), hold("b", "slow", 10)}, nil},
		{"nobody needs it", []Hold{ended, expired, late}, []Release{
			{"ended", ReasonEnded}, {"expired", ReasonLeaseExpired}, {"late", ReasonKeptTooLong}}},
		{"busy stays", []Hold{busy, hold("a", "fast", 10)}, []Release{{"a", ReasonMemoryShort}}},
		{"longest pause first", []Hold{hold("a", "slow", 48), hold("b", "fast", 48)}, []Release{{"a", ReasonMemoryShort}}},
		{"least likely first", []Hold{hold("a", "fast", 48), hold("b", "lossy", 48)}, []Release{{"b", ReasonMemoryShort}}},
		{"share", []Hold{shared("a", "fast"), shared("b", "slow")}, []Release{{"b", ReasonOverShare}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := DefaultPolicy().PlanReleases(observedPauses(), test.holds, 100, 500*time.Millisecond)
			assert.DeepEqual(t, got, test.want)
		})
	}
}

func TestPlanMoves(t *testing.T) {
	rates := Rates{Transfer: 100, Prefill: 20}
	holds := []Hold{
		hold("slow", "slow", 100), hold("fast", "fast", 100), hold("large", "fast", 1000),
		hold("lossy", "lossy", 100), hold("busy", "fast", 1), hold("ended", "fast", 1),
	}
	holds[4].Busy, holds[5].Ended = true, true
	got := PlanMoves(observedPauses(), holds, rates, 2500*time.Millisecond, 0)
	assert.DeepEqual(t, got, []string{"fast", "lossy"})
	rates.Prefill = 60
	got = PlanMoves(observedPauses(), holds, rates, 2500*time.Millisecond, 0)
	assert.DeepEqual(t, got, []string{"fast", "slow"})
	rates.Prefill = 200
	got = PlanMoves(observedPauses(), holds, rates, time.Hour, 0)
	assert.Equal(t, len(got), 0)
}

func randomHolds(t *rapid.T) []Hold {
	holds := make([]Hold, rapid.IntRange(0, 20).Draw(t, "holds"))
	for i := range holds {
		h := hold(fmt.Sprint(i), rapid.SampledFrom([]string{"fast", "slow", "lossy", "new"}).Draw(t, "tool"), 0)
		h.Customer = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "customer")
		h.SharePermille = map[string]uint32{"a": 0, "b": 400}[h.Customer]
		h.Tokens = rapid.Int64Range(1, 30).Draw(t, "tokens")
		h.Busy = rapid.Bool().Draw(t, "busy")
		h.LeaseEnd = time.Duration(rapid.IntRange(0, 3).Draw(t, "lease")) * time.Second
		holds[i] = h
	}
	return holds
}

// TestPlanReleasesProperties checks that after the releases the memory in use is at or
// below HighWatermark or only busy programs are left, that no customer's paused
// prefixes exceed its share, that no busy program's prefix is released, and that the
// result does not depend on the order of holds.
func TestPlanReleasesProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 100
		holds := randomHolds(t)
		policy := DefaultPolicy()
		releases := policy.PlanReleases(observedPauses(), holds, capacity, 2*time.Second)
		released := make(map[string]bool)
		for _, r := range releases {
			released[r.Program] = true
		}
		var used, paused, pausedB int64
		for _, h := range holds {
			assert.Assert(t, !h.Busy || !released[h.Program])
			if released[h.Program] {
				continue
			}
			used += h.Tokens
			if !h.Busy {
				paused += h.Tokens
				assert.Assert(t, h.LeaseEnd == 0 || h.LeaseEnd > 2*time.Second)
			}
			if !h.Busy && h.Customer == "b" {
				pausedB += h.Tokens
			}
		}
		assert.Assert(t, float64(used) <= policy.HighWatermark*capacity || paused == 0)
		assert.Assert(t, pausedB <= capacity*400/permille)
		slices.Reverse(holds)
		again := policy.PlanReleases(observedPauses(), holds, capacity, 2*time.Second)
		assert.Equal(t, len(again), len(releases))
		for _, r := range again {
			assert.Assert(t, released[r.Program])
		}
	})
}
