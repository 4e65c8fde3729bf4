package gateway

import (
	"time"
)

const (
	// latencySmoothing is the weight of a new observation in the moving average.
	latencySmoothing = 0.1
	// silenceFactor is the silence threshold as a multiple of the mean latency of a route.
	// The threshold exceeds the slowest of the usual responses.
	silenceFactor = 6
	// minSilenceThreshold prevents short pauses of a server from counting as silence.
	minSilenceThreshold = 120 * time.Millisecond
	// targetSilenceFactor is the silence threshold as a multiple of the latency target. It
	// applies to routes without observations, and to streams, whose first event depends on
	// the prompt length.
	targetSilenceFactor = 4
)

// meanLatency is the moving average of the time to the first output on a route.
type meanLatency struct {
	mean time.Duration
}

// observeLatency adds the time to the first output of a response to the average of its
// route.
func (t *loadTracker) observeLatency(route string, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.latencies[route]
	if known == nil {
		t.latencies[route] = &meanLatency{mean: latency}
		return
	}
	known.mean += time.Duration(latencySmoothing * float64(latency-known.mean))
}

// silenceThreshold returns the time without output after which a server counts as
// silent. It returns 0 if neither observations nor a latency target exist.
func (t *loadTracker) silenceThreshold(route string, target time.Duration, stream bool) time.Duration {
	fallback := targetSilenceFactor * target
	if stream {
		return fallback
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.latencies[route]
	if known == nil {
		return fallback
	}
	return max(minSilenceThreshold, silenceFactor*known.mean)
}
