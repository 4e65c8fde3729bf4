package retain

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const longAgo = 1000 * time.Hour

// learnt returns a table in which "fast" takes 1 s, "slow" 60 s, and half of
// the programs that call "lossy" never come back from its 1 s.
func learnt() *ToolPauses {
	times := NewToolPauses()
	for range 50 {
		times.Observe("fast", time.Second)
		times.Observe("slow", time.Minute)
		times.Observe("lossy", time.Second)
		times.ObserveAbandoned("lossy")
	}
	return times
}

func TestToolTimes(t *testing.T) {
	times := NewToolPauses()
	_, ok := times.Quantile("fast", 0.5)
	assert.Assert(t, !ok)
	times = learnt()
	q, ok := times.Quantile("fast", 0.9)
	assert.Assert(t, ok)
	assert.Equal(t, q, time.Second)
	times.Observe("new tool", time.Second)
	q, _ = times.Quantile("new tool", 0.99)
	assert.Equal(t, q, 64*time.Second)
	left, chance := times.Remaining("slow", 10*time.Second)
	assert.Equal(t, left, 54*time.Second)
	assert.Equal(t, chance, 1.0)
	_, chance = times.Remaining("lossy", 0)
	assert.Equal(t, chance, 0.5)
	_, chance = times.Remaining("fast", time.Hour)
	assert.Equal(t, chance, 0.0)
}

func TestToolTimesForgetsOldPauses(t *testing.T) {
	times := NewToolPauses()
	for range 4 * decayAt {
		times.Observe("fast", time.Second)
	}
	for range 2 * decayAt {
		times.Observe("fast", 16*time.Second)
	}
	q, _ := times.Quantile("fast", 0.2)
	assert.Equal(t, q, 16*time.Second)
}

func TestToolTimesIsBounded(t *testing.T) {
	times := NewToolPauses()
	times.Observe("oldest", time.Second)
	for i := range 2 * maxTools {
		times.Observe(fmt.Sprint("tool", i), time.Second)
	}
	assert.Equal(t, times.Len(), maxTools)
	assert.Assert(t, times.tools["oldest"] == nil)
}

func TestKeepFor(t *testing.T) {
	policy := DefaultPolicy()
	assert.Equal(t, policy.KeepFor(NewToolPauses(), "fast"), unknownPause)
	assert.Equal(t, policy.KeepFor(learnt(), "fast"), policy.MinKeep)
	policy.MinKeep = 0
	assert.Equal(t, policy.KeepFor(learnt(), "fast"), time.Second)
	policy.MaxKeep = 10 * time.Second
	assert.Equal(t, policy.KeepFor(learnt(), "slow"), 10*time.Second)
}

func hold(program, tool string, tokens int64) Hold {
	return Hold{Program: program, Customer: "c", Tool: tool, Tokens: tokens, KeepUntil: longAgo}
}

func TestPlan(t *testing.T) {
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
			got := DefaultPolicy().PlanReleases(learnt(), test.holds, 100, 500*time.Millisecond)
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
	got := PlanMoves(learnt(), holds, rates, 2500*time.Millisecond, 0)
	assert.DeepEqual(t, got, []string{"fast", "lossy"})
	rates.Prefill = 60
	got = PlanMoves(learnt(), holds, rates, 2500*time.Millisecond, 0)
	assert.DeepEqual(t, got, []string{"fast", "slow"})
	rates.Prefill = 200
	got = PlanMoves(learnt(), holds, rates, time.Hour, 0)
	assert.Equal(t, len(got), 0)
}

func drawHolds(t *rapid.T) []Hold {
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

// After a plan the memory is below its mark or only busy prefixes are left, no
// customer's paused prefixes exceed its share, and nothing busy is released.
func TestPlanProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 100
		holds := drawHolds(t)
		policy := DefaultPolicy()
		releases := policy.PlanReleases(learnt(), holds, capacity, 2*time.Second)
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
		again := policy.PlanReleases(learnt(), holds, capacity, 2*time.Second)
		assert.Equal(t, len(again), len(releases))
		for _, r := range again {
			assert.Assert(t, released[r.Program])
		}
	})
}
