package gateway

import (
	"sync/atomic"
	"time"

	"ibistray.example/ibistray/internal/policy/pace"
)

// paceCounters count the requests by which large responses are paced. They are safe for concurrent
// use.
type paceCounters struct {
	running  atomic.Int64 // requests, those with a large response included
	large    atomic.Int64 // large responses, see pace.Response
	otherEnd atomic.Int64 // when the latest request without one ended, since start, in nanoseconds
	start    time.Time
}

func newPaceCounters() *paceCounters { return &paceCounters{start: time.Now()} }

// load returns the load beside a response, which counts as large.
func (p *paceCounters) load(now time.Duration, response *pace.Response, linkBytesPerS int64) pace.Load {
	large := int(p.large.Load())
	if !response.Large() {
		large++
	}
	return pace.Load{
		Large:         large,
		Others:        max(0, int(p.running.Load())-large),
		SinceOther:    now - time.Duration(p.otherEnd.Load()),
		LinkBytesPerS: linkBytesPerS,
	}
}

// beginPace counts the call. endPace must be called at its end.
func (c *call) beginPace() { c.g.paces.running.Add(1) }

func (c *call) endPace() {
	counters := c.g.paces
	counters.running.Add(-1)
	if c.response.Large() {
		counters.large.Add(-1)
		return
	}
	counters.otherEnd.Store(int64(time.Since(counters.start)))
}

// pace is called when n bytes of the response have been forwarded. It returns when the next ones
// may follow, or when the client has gone.
func (c *call) pace(n int) {
	if !c.response.Forwarded(int64(n)) {
		return
	}
	counters := c.g.paces
	wasLarge := c.response.Large()
	now := time.Since(counters.start)
	pause := c.response.Pause(int64(n), now, counters.load(now, &c.response, c.g.cfg.LinkBytesPerS))
	switch isLarge := c.response.Large(); {
	case isLarge && !wasLarge:
		counters.large.Add(1)
	case wasLarge && !isLarge:
		counters.large.Add(-1)
	}
	if pause <= 0 {
		return
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.r.Context().Done():
	}
}

// pacedWriter writes to the client at the pace of the call.
type pacedWriter struct{ c *call }

// Write implements io.Writer.
func (w pacedWriter) Write(p []byte) (int, error) {
	n, err := w.c.w.Write(p)
	if err == nil {
		w.c.pace(n)
	}
	return n, err
}
