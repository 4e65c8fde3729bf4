package gateway

import (
	"time"
)

const (
	// latencySmoothing is the weight of a new observation in the moving average.
	latencySmoothing = 0.1
	// silenceFactor times the mean latency of a route exceeds the slowest of its usual
	// responses.
	silenceFactor = 6
	// minSilenceThreshold prevents short pauses of a server from counting as silence.
	minSilenceThreshold = 120 * time.Millisecond
	// defaultSilenceTargets is the threshold in latency targets for routes without
	// observations, and for streams, whose first event depends on the prompt length.
	defaultSilenceTargets = 4
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
	fallback := defaultSilenceTargets * target
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
