// Package window decides how many requests to one shared server are under way, from
// how the earlier ones fared. Many clients that each follow it share the server
// without telling each other: what it cannot serve waits at them and costs it nothing.
// The load pattern is a burst beyond the server's capacity, in which each request that
// times out and comes again takes processor time from those that would succeed.
package window

import "time"

// Policy are the bounds of a window.
type Policy struct {
	Min int // requests that are under way in any case; at least 1
	Max int
	// SlowThreshold is the time beyond which a request counts as a sign of overload.
	SlowThreshold time.Duration
	// DecreaseFactor is what an overload leaves of the window, as a share.
	DecreaseFactor float64
	// DecreaseInterval is the time after a cut in which no further one is made: what was under
	// way before it says nothing new.
	DecreaseInterval time.Duration
}

// Window is the bound in force. It is not safe for concurrent use.
type Window struct {
	policy Policy
	size   float64
	cutAt  time.Duration
	cut    bool
}

// New returns a window of the largest size.
func New(policy Policy) *Window {
	return &Window{policy: policy, size: float64(policy.Max)}
}

// Limit returns how many requests may be under way.
func (w *Window) Limit() int { return int(w.size) }

// BelowMax reports whether there was an overload from which the window has not come
// back.
func (w *Window) BelowMax() bool { return int(w.size) < w.policy.Max }

// RecordSuccess takes in a request that was answered after took. The window grows by one
// with each round of requests.
func (w *Window) RecordSuccess(now, took time.Duration) {
	if took > w.policy.SlowThreshold {
		w.RecordOverload(now)
		return
	}
	w.size = min(w.size+1/w.size, float64(w.policy.Max))
}

// RecordOverload takes in a request that the server refused for want of room, or did not
// answer in its time.
func (w *Window) RecordOverload(now time.Duration) {
	if w.cut && now-w.cutAt < w.policy.DecreaseInterval {
		return
	}
	w.cut, w.cutAt = true, now
	w.size = max(w.size*w.policy.DecreaseFactor, float64(max(1, w.policy.Min)))
}
