package pace

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestResponsesWithoutEndLeaveTheLinkToOthers replays large responses whose servers and clients are
// as fast as the processor, 500 MB per second together.
func TestResponsesWithoutEndLeaveTheLinkToOthers(t *testing.T) {
	const fullRate, part, period = 500 << 20, 32 << 10, 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		load := Load{Large: rapid.IntRange(1, 8).Draw(t, "large"), SinceOther: time.Hour, LinkBytesPerS: rapid.SampledFrom([]int64{0, 12 << 20, 125 << 20}).Draw(t, "link")}
		served := rapid.Bool().Draw(t, "others are served")
		if served {
			load.Others = rapid.IntRange(0, 2).Draw(t, "others")
			load.SinceOther = 10 * time.Millisecond
		}
		responses := make([]Response, load.Large)
		ready := make([]time.Duration, load.Large)
		sent := make([]int64, load.Large)
		total, charged, busy := int64(0), int64(0), time.Duration(0)
		for now := time.Duration(0); now < period; {
			next := 0
			for i := range ready {
				if ready[i] < ready[next] {
					next = i
				}
			}
			cost := time.Duration(part * int64(time.Second) / fullRate)
			now = max(now, ready[next]) + cost
			busy += cost
			sent[next] += part
			total += part
			charged += part + writeBytes
			ready[next] = now
			if responses[next].Forwarded(part) {
				ready[next] += responses[next].Pause(part, now, load)
			}
		}
		if !served {
			assert.Assert(t, busy > period*9/10, "%d bytes of an unloaded entry", total)
			return
		}
		limit := int64(load.rate()) * int64(load.Large)
		charged -= FreeBytes * int64(load.Large)
		assert.Assert(t, charged <= limit*int64(period/time.Second)*11/10+int64(load.Large)*part, "%d bytes, limit %d a second", charged, limit)
		assert.Assert(t, charged >= limit*int64(period/time.Second)*8/10, "%d bytes, limit %d a second", charged, limit)
		for _, n := range sent {
			assert.Assert(t, n >= total/int64(2*load.Large), "%v", sent)
		}
	})
}

// TestSlowResponsesAreNotPaused has a response that is slower than its rate.
func TestSlowResponsesAreNotPaused(t *testing.T) {
	var r Response
	for now := time.Second; now < 10*time.Second; now += 10 * time.Millisecond {
		if r.Forwarded(32 << 10) {
			assert.Equal(t, r.Pause(32<<10, now, Load{Large: 4, Others: 9}), time.Duration(0))
		}
		assert.Assert(t, !r.Large(), "it takes a part of the rate of others")
	}
}

// TestManyStreamsWithoutEndLeaveTheProcessorToOthers replays event streams that are always ready on one
// processor, where each keeps its turn for a time slice unless it pauses. A response that was slow because
// it waited for its turn must be paced all the same.
func TestManyStreamsWithoutEndLeaveTheProcessorToOthers(t *testing.T) {
	const streams, others, eventBytes, slice, begin, end = 32, 4, 1060, 10 * time.Millisecond, 4 * time.Second, 8 * time.Second
	for _, cost := range []time.Duration{50 * time.Microsecond, 100 * time.Microsecond} {
		var responses [streams]Response
		var ready [streams]time.Duration
		large, longestWait := 0, time.Duration(0)
		for now := time.Duration(0); now < end; {
			next := 0
			for i := range ready {
				if ready[i] < ready[next] {
					next = i
				}
			}
			if now > begin {
				longestWait = max(longestWait, now-ready[next])
			}
			now = max(now, ready[next])
			for turnEnd, pause := now+slice, time.Duration(0); now < turnEnd && pause == 0; ready[next] = now + pause {
				now += cost
				r := &responses[next]
				if !r.Forwarded(eventBytes) {
					continue
				}
				load := Load{Large: large, Others: others + streams - large}
				if !r.Large() {
					load.Large, load.Others = load.Large+1, load.Others-1
				}
				pause = r.Pause(eventBytes, now, load)
				large = 0
				for i := range responses {
					if responses[i].Large() {
						large++
					}
				}
			}
		}
		t.Logf("%s each: longest wait %s, %d large responses", cost, longestWait, large)
		assert.Check(t, longestWait < slice)
		assert.Check(t, large == streams)
	}
}
