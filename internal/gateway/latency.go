package gateway

import (
	"time"
)

const (
	// latencyWeight is the weight of a new observation in the mean.
	latencyWeight = 0.1
	// overdueFactor times the mean of a route is beyond the slowest of its usual
	// answers.
	overdueFactor = 6
	// minOverdue keeps short pauses of a server from counting as silence.
	minOverdue = 120 * time.Millisecond
	// unknownOverdue, in latency targets, applies until answers were seen, and to
	// streams, whose first event depends on the length of the prompt.
	unknownOverdue = 4
)

// latency is the mean time to the first output of a route's answers.
type latency struct {
	mean time.Duration
}

// observe takes the time to the first output of an answer in.
func (l *loads) observe(route string, first time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := l.latency[route]
	if seen == nil {
		l.latency[route] = &latency{mean: first}
		return
	}
	seen.mean += time.Duration(latencyWeight * float64(first-seen.mean))
}

// overdue returns the time to the first output beyond which a server counts as
// silent; 0 if none is known.
func (l *loads) overdue(route string, target time.Duration, stream bool) time.Duration {
	unknown := unknownOverdue * target
	if stream {
		return unknown
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := l.latency[route]
	if seen == nil {
		return unknown
	}
	return max(minOverdue, overdueFactor*seen.mean)
}
