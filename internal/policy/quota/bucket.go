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
	permits int
	session *session
}

// session is a sequence of asks of one entry of which no response was lost, as far as the
// entry knows.
type session struct {
	id             uint64
	valid          int // permits granted that have not expired
	unsettled      int // permits granted that were neither reported used nor returned
	used, returned int // as reported
	begun          int
}

// outstanding returns the most permits of the session that the entry may hold.
func (s *session) outstanding() int { return min(s.valid, s.unsettled) }

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
		b.change(g.session, func(s *session) { s.valid -= g.permits })
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

// change applies a change to a session and returns by how much less is outstanding.
func (b *bucket) change(s *session, apply func(*session)) int {
	before := s.outstanding()
	apply(s)
	after := s.outstanding()
	b.outstanding += after - before
	return before - after
}

// report records what an entry used and returned. It returns the permits that were reported
// used for the first time. Returned permits are available again as far as they are known to be
// among the outstanding ones: others may have expired before.
func (b *bucket) report(s *session, ask Ask) int {
	used, returned := max(0, ask.Used-s.used), max(0, ask.Returned-s.returned)
	freed := b.change(s, func(s *session) {
		s.used += used
		s.returned += returned
		s.unsettled = max(0, s.unsettled-used-returned)
	})
	b.level += float64(min(returned, max(0, freed-used)))
	return used
}

// grant takes permits that are available for a session.
func (b *bucket) grant(now time.Duration, s *session, permits int) {
	if permits <= 0 {
		return
	}
	b.level -= float64(permits)
	b.change(s, func(s *session) {
		s.valid += permits
		s.unsettled += permits
	})
	b.grants = append(b.grants, grantRecord{expires: now + PermitLifetime, permits: permits, session: s})
}

// full reports whether the permits that come in will soon be lost.
func (b *bucket) full(now time.Duration) bool {
	capacity := b.capacity(now)
	return b.level+float64(b.outstanding) >= capacity-max(1, fullMargin*capacity)
}
