// Package ratelimit decides which entries may send requests to backend servers that accept
// a limited rate, and which requests wait for that.
//
// It answers servers in need whose limit is lower than the load on them, often lower than
// the number of entries: a few requests a second for tens of entries. A fixed share for each
// entry would leave most of the limit unused, since the load on entries is uneven, so one
// allocator gives out all permits, and the share of an entry follows its demand. Decisions
// are pure functions of their inputs; they read no clock.
package ratelimit

import (
	"math"
	"time"
)

const (
	// burstPeriod is the time for which unused permits are kept. It is not shorter than maxRetry:
	// entries whose turns fall together would lose permits in between.
	burstPeriod = time.Second
	// probeRate is the lowest rate, in requests a second, at which a server is asked. A server
	// that accepts nothing can only say so, or withdraw it, in a response.
	probeRate = 0.2
	// demandPeriod is the time for which an entry that asked counts as one that wants permits.
	demandPeriod = time.Second
	// minRetry and maxRetry limit the time after which an entry asks again.
	minRetry = 10 * time.Millisecond
	maxRetry = time.Second
	// idlePeriod is the time after which the state of a server that nobody asked for is dropped.
	idlePeriod = 30 * time.Second
)

// Ask is the request of an entry for permits for one server.
type Ask struct {
	Entry      string
	NewProgram bool    // the request begins a program; running programs come first
	Rate       float64 // limit of the server in requests a second
	Wanted     int     // permits, at least 1
	Returned   int     // permits that expired unused at the entry
}

// Result is the outcome of an Ask.
type Result struct {
	Permits int // 0: ask again after Retry
	Retry   time.Duration
	Share   float64 // requests a second that the entry can expect
}

// Allocator gives out the permits of servers. Over any period it gives out no more than the
// limit allows and what burstPeriod keeps. It is not safe for concurrent use.
type Allocator struct {
	buckets map[string]*bucket // by server
}

// bucket holds the permits of one server.
type bucket struct {
	permits float64
	rate    float64                  // per second
	updated time.Duration            // when permits was current
	askers  map[string]time.Duration // latest ask by entry
}

// NewAllocator returns an allocator that has no permits yet: each server's come in at its
// limit, since another allocator may have given out the earlier ones.
func NewAllocator() *Allocator {
	return &Allocator{buckets: make(map[string]*bucket)}
}

// Ask handles a request for permits for a server at a time. A new rate applies from then on.
func (a *Allocator) Ask(now time.Duration, server string, ask Ask) Result {
	b := a.buckets[server]
	if b == nil {
		b = &bucket{updated: now, askers: make(map[string]time.Duration)}
		a.buckets[server] = b
	}
	b.refill(now)
	b.rate = max(ask.Rate, probeRate)
	b.permits = min(b.permits+float64(max(0, ask.Returned)), b.capacity())
	b.recordAsker(ask.Entry, now)
	result := Result{Share: b.rate / float64(len(b.askers))}
	if missing := b.reserve(ask.NewProgram) + 1 - b.permits; missing > 0 {
		result.Retry = b.retry(missing)
		return result
	}
	fair := max(1, int(b.permits/float64(len(b.askers))))
	result.Permits = min(max(1, ask.Wanted), fair)
	b.permits -= float64(result.Permits)
	return result
}

// refill adds the permits that came in since the last update.
func (b *bucket) refill(now time.Duration) {
	if elapsed := now - b.updated; elapsed > 0 {
		b.permits = min(b.permits+b.rate*elapsed.Seconds(), b.capacity())
		b.updated = now
	}
}

// capacity returns the number of permits that are kept.
func (b *bucket) capacity() float64 {
	return max(1, b.rate*burstPeriod.Seconds())
}

// reserve returns the number of permits that a request leaves for others. Requests that
// begin a program leave half of the capacity to running programs.
func (b *bucket) reserve(newProgram bool) float64 {
	if !newProgram {
		return 0
	}
	return min(b.capacity()/2, b.capacity()-1)
}

// recordAsker stores the time of an ask and drops the entries that stopped asking.
func (b *bucket) recordAsker(entry string, now time.Duration) {
	b.askers[entry] = now
	for other, asked := range b.askers {
		if now-asked > demandPeriod {
			delete(b.askers, other)
		}
	}
}

// retry returns the time until an entry that lacks a number of permits should ask again. It
// grows with the entries that ask, and is half of the time until its turn, so that permits
// find somebody who asks.
func (b *bucket) retry(missing float64) time.Duration {
	seconds := (missing + float64(len(b.askers)-1)/2) / b.rate
	return min(max(time.Duration(math.Ceil(seconds*1000))*time.Millisecond, minRetry), maxRetry)
}

// Prune drops the state of servers that nobody has asked for lately.
func (a *Allocator) Prune(now time.Duration) {
	for server, b := range a.buckets {
		if now-b.updated > idlePeriod {
			delete(a.buckets, server)
		}
	}
}
