package quota

import (
	"math/rand/v2"
	"time"

	"ibistray.example/ibistray/internal/account"
)

// bucket holds the permits of one account. The permits that are available (level) and those
// that entries may hold (outstanding) are together at most the capacity: then a window holds
// at most what came in within it and one capacity.
type bucket struct {
	window      Window
	started     time.Duration // of the allocator
	limit       account.Limit
	updated     time.Duration // when level was current
	level       float64
	outstanding int
	grants      []grantRecord // not expired, in order of expiry
}

// grantRecord is a grant until it expires.
type grantRecord struct {
	expires time.Duration
	end     int // of its permits, in the order of the session
	session *session
}

// session is a sequence of asks of one entry, which has received all of its grants in order.
// The entry uses and gives back the permits in the order in which they were granted, so a
// report says which ones these are.
type session struct {
	id             uint64
	granted        int // permits
	expired        int // the first ones, which have expired
	settled        int // the first ones, which were reported used or returned
	used, returned int // as reported
	begun          int
}

func newSession() *session { return &session{id: rand.Uint64() | 1} }

// newBucket returns the bucket of an account that has had no permits since the allocator
// started.
func newBucket(w Window, started time.Duration, limit account.Limit) *bucket {
	return &bucket{window: w, started: started, limit: limit, updated: started}
}

// capacity returns the most permits at a time, of the limit in force.
func (b *bucket) capacity(now time.Duration) float64 {
	if b.early(now) {
		return b.window.earlyCapacity(b.limit, now-b.started)
	}
	return b.window.capacity(b.limit)
}

// early reports whether permits of earlier allocators may be valid.
func (b *bucket) early(now time.Duration) bool { return now <= b.started+PermitLifetime }

// advance brings the bucket to a time, step by step: permits come in between any two changes
// of what is outstanding only as far as the capacity allowed at that time.
func (b *bucket) advance(now time.Duration) {
	for len(b.grants) > 0 && b.grants[0].expires < now {
		g := b.grants[0]
		b.grants = b.grants[1:]
		b.refill(g.expires)
		b.outstanding -= max(0, g.end-max(g.session.expired, g.session.settled))
		g.session.expired = g.end
	}
	b.refill(now)
}

// refill adds the permits that came in until a time.
func (b *bucket) refill(now time.Duration) {
	if end := b.started + PermitLifetime; b.updated < end && end < now {
		b.refillWithin(end)
	}
	b.refillWithin(now)
}

func (b *bucket) refillWithin(now time.Duration) {
	if now > b.updated {
		b.level += b.limit.PerSecond * (now - b.updated).Seconds()
		b.updated = now
	}
	b.level = max(0, min(b.level, b.capacity(b.updated)-float64(b.outstanding)))
}

// report records what an entry used and returned. It returns the permits that were reported
// used for the first time. Returned permits are available again unless they may be among those
// that have expired.
func (b *bucket) report(now time.Duration, s *session, ask Ask) int {
	used, returned := max(0, ask.Used-s.used), max(0, ask.Returned-s.returned)
	settled := min(s.granted, s.settled+used+returned)
	expired := max(0, min(settled, s.expired)-s.settled)
	valid := settled - s.settled - expired
	s.used, s.returned, s.settled = s.used+used, s.returned+returned, settled
	b.outstanding -= valid
	b.level += float64(min(valid, max(0, returned-expired)))
	b.refill(now) // a lowered limit applies to returned permits too
	return used
}

// grant takes permits that are available for a session.
func (b *bucket) grant(now time.Duration, s *session, permits int) {
	if permits <= 0 {
		return
	}
	b.level -= float64(permits)
	b.outstanding += permits
	s.granted += permits
	b.grants = append(b.grants, grantRecord{expires: now + PermitLifetime, end: s.granted, session: s})
}

// full reports whether the permits that come in will soon be lost.
func (b *bucket) full(now time.Duration) bool {
	capacity := b.capacity(now)
	return b.level+float64(b.outstanding) >= capacity-max(1, fullMargin*capacity)
}
