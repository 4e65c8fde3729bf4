// Package window limits the concurrent requests of a client to a shared server
// with additive increase and multiplicative decrease (AIMD), driven by the
// outcome of earlier requests. Clients that each apply it share the server
// without coordination: requests beyond its capacity wait at the clients and
// cost the server nothing. It handles bursts beyond the server's capacity, in
// which requests that time out and are sent again would take processor time
// from those that could still succeed.
package window

import "time"

// Policy holds the parameters of a window.
type Policy struct {
	Min int // minimum of the limit; at least 1
	Max int // maximum of the limit, and its initial value
	// SlowThreshold is the latency above which a successful request counts as a
	// sign of overload.
	SlowThreshold time.Duration
	// DecreaseFactor multiplies the size of the window on overload, 0 to 1.
	DecreaseFactor float64
	// DecreaseInterval is the minimum time between two decreases: requests that
	// were already in flight at a decrease carry no new information.
	DecreaseInterval time.Duration
}

// Window holds the current limit on concurrent requests. It is not safe for
// concurrent use.
type Window struct {
	policy      Policy
	size        float64
	decreasedAt time.Duration
	decreased   bool // decreasedAt is set
}

// New returns a window of size policy.Max.
func New(policy Policy) *Window {
	return &Window{policy: policy, size: float64(policy.Max)}
}

// Limit returns how many requests may be in flight.
func (w *Window) Limit() int { return int(w.size) }

// BelowMax reports whether the window has not yet recovered from an overload.
func (w *Window) BelowMax() bool { return int(w.size) < w.policy.Max }

// RecordSuccess records a request that succeeded with the given latency. The
// window grows by one for each full window of successful requests; a latency
// above SlowThreshold counts as overload.
func (w *Window) RecordSuccess(now, latency time.Duration) {
	if latency > w.policy.SlowThreshold {
		w.RecordOverload(now)
		return
	}
	w.size = min(w.size+1/w.size, float64(w.policy.Max))
}

// RecordOverload records a request that the server refused as overloaded or did
// not respond in time. The window shrinks at most once per DecreaseInterval.
func (w *Window) RecordOverload(now time.Duration) {
	if w.decreased && now-w.decreasedAt < w.policy.DecreaseInterval {
		return
	}
	w.decreased, w.decreasedAt = true, now
	w.size = max(w.size*w.policy.DecreaseFactor, float64(max(1, w.policy.Min)))
}
