// Package pace decides how fast an entry forwards large responses.
//
// It answers responses without an end, or of many gigabytes, that a server sends as fast as they
// are taken: a few of them occupy the processor and the link of the entry, and the short requests
// of all other clients wait. While other requests are served, large responses share a part of the
// link equally; while there are none, they are only interrupted now and then, so that a request
// that arrives is noticed. Decisions are pure functions of their inputs.
package pace

import "time"

const (
	// FreeBytes is the first part of a response, which is forwarded without a pause. It includes
	// writeBytes for each part.
	FreeBytes = 2 << 20
	// defaultRate is the rate of all large responses while others are served and the link is
	// not known, in bytes per second.
	defaultRate = 32 << 20
	// writeBytes is added to the bytes of each part, which costs processor time whatever its size.
	writeBytes = 4 << 10
	// linkDivisor divides the rate of the link into that of all large responses while others are
	// served.
	linkDivisor = 4
	// minPause is the shortest pause worth taking.
	minPause = time.Millisecond
	// maxAhead limits how far a large response that was slower than its rate may run ahead of it.
	maxAhead = 20 * time.Millisecond
	// maxAheadSlow is the same for one that is not large. While many responses wait for the
	// processor, each has been slower when its turn comes.
	maxAheadSlow = 2 * time.Millisecond
	// slowPeriod is how long a large response needs no pause until it counts as slow.
	slowPeriod = time.Second
	// yieldBytes is what large responses forward together between two interruptions while no
	// other request is served, and yieldPause the length of one.
	yieldBytes = 4 << 20
	yieldPause = 100 * time.Microsecond
	// quietPeriod is how long after the end of another request the link is still left to others.
	quietPeriod = time.Second
)

// Load is what the entry does at one time.
type Load struct {
	Large         int           // large responses that are being forwarded, see Response.Large
	Others        int           // other requests that run
	SinceOther    time.Duration // since the latest end of another request
	LinkBytesPerS int64         // rate of the link, 0: not known
}

// othersServed reports whether the processor and the link are needed for others.
func (l Load) othersServed() bool { return l.Others > 0 || l.SinceOther < quietPeriod }

// rate returns the rate of each large response while others are served, in bytes per second.
func (l Load) rate() float64 {
	rate := float64(defaultRate)
	if l.LinkBytesPerS > 0 {
		rate = float64(l.LinkBytesPerS) / linkDivisor
	}
	return rate / float64(max(1, l.Large))
}

// Response is the pace of one response. The zero value has forwarded nothing.
type Response struct {
	charged int64         // cost of all parts, in bytes
	due     time.Duration // when the next part may be forwarded at its rate
	paused  time.Duration // when the response was faster than its rate
	unpaced int64         // bytes since the latest interruption
	large   bool
}

// Large reports whether the response is beyond its free part and as fast as it may be. One that is
// slower, as its server or its client are, counts among the others.
func (r *Response) Large() bool { return r.large }

// Forwarded records that n bytes were forwarded, and reports whether Pause must be called before
// the next ones.
func (r *Response) Forwarded(n int64) bool {
	r.charged += n + writeBytes
	return r.charged >= FreeBytes
}

// Pause returns how long to pause after n bytes were forwarded. now may have any origin. load
// includes this response among the large ones.
func (r *Response) Pause(n int64, now time.Duration, load Load) time.Duration {
	ahead := maxAheadSlow
	if r.large {
		ahead = maxAhead
	}
	r.due = max(r.due+time.Duration(float64(n+writeBytes)/load.rate()*float64(time.Second)), now-ahead)
	pause := r.due - now
	if pause >= minPause {
		r.large, r.paused = true, now
	} else if now-r.paused >= slowPeriod {
		r.large = false
	}
	if !load.othersServed() {
		r.due = min(r.due, now+minPause)
		return r.yield(n, load)
	}
	r.unpaced = 0
	if pause < minPause {
		return 0
	}
	return pause
}

// yield returns a pause after each yieldBytes that large responses have forwarded together.
func (r *Response) yield(n int64, load Load) time.Duration {
	r.unpaced += n * int64(max(1, load.Large))
	if r.unpaced < yieldBytes {
		return 0
	}
	r.unpaced = 0
	return yieldPause
}
