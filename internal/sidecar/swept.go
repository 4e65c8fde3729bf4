package sidecar

import (
	"hash/maphash"
	"time"

	"ibistray.example/ibistray/internal/shard"
)

const (
	// maxCallDuration is the longest time from the beginning of a call to its deadline.
	maxCallDuration = time.Hour
	// sweptMargin covers differences between clocks and a shard that records late that the
	// deadline of a call has passed.
	sweptMargin = 10 * time.Minute
	// sweptRetentionPeriod is how long an entry may still ask for an attempt. After it, the
	// shard has a final outcome of the call.
	sweptRetentionPeriod = maxCallDuration + shard.OpenCallGraceMs*time.Millisecond + sweptMargin
	// maxSwept and maxAnswered limit the memory that the records of swept attempts use.
	maxSwept    = 200_000
	maxAnswered = 20_000 // with a committed answer
)

// attemptNumber orders the attempts of a call. The epoch is that of its program.
type attemptNumber struct {
	epoch  uint64
	number uint64
}

func (n attemptNumber) includes(other attemptNumber) bool {
	return n.epoch > other.epoch || n.epoch == other.epoch && n.number >= other.number
}

// sweptAttempts remembers up to which number attempts of calls may have run, after the
// attempts themselves were removed. It is not safe for concurrent use.
//
// Calls are known by a hash, which keeps the records small. If two calls have the same one,
// attempts that have not run are taken for attempts that may have.
type sweptAttempts struct {
	seed           maphash.Seed
	limit          int
	calls          map[uint64]sweptCall
	queue          []sweptKey // in the order of addition
	uncertainUntil time.Time  // until then, an attempt that was dropped early may be asked for
}

// sweptCall is the newest swept attempt of a call.
type sweptCall struct {
	newest  attemptNumber
	expires time.Time
}

type sweptKey struct {
	hash    uint64
	expires time.Time
}

func newSweptAttempts(limit int) *sweptAttempts {
	return &sweptAttempts{seed: maphash.MakeSeed(), limit: limit, calls: make(map[uint64]sweptCall)}
}

// add records an attempt. If there are too many, the oldest one is dropped.
func (s *sweptAttempts) add(id callID, n attemptNumber, now time.Time) {
	if len(s.queue) >= s.limit {
		s.uncertainUntil = s.queue[0].expires
		s.removeOldest()
	}
	hash := maphash.Comparable(s.seed, id)
	if known, ok := s.calls[hash]; ok && known.newest.includes(n) {
		n = known.newest
	}
	expires := now.Add(sweptRetentionPeriod)
	s.calls[hash] = sweptCall{newest: n, expires: expires}
	s.queue = append(s.queue, sweptKey{hash: hash, expires: expires})
}

// expire removes the attempts that no entry asks for any more.
func (s *sweptAttempts) expire(now time.Time) {
	for len(s.queue) > 0 && !s.queue[0].expires.After(now) {
		s.removeOldest()
	}
	if !s.uncertainUntil.After(now) {
		s.uncertainUntil = time.Time{}
	}
}

// removeOldest removes the oldest attempt, unless the call has a newer one.
func (s *sweptAttempts) removeOldest() {
	oldest := s.queue[0]
	s.queue = s.queue[1:]
	if s.calls[oldest.hash].expires.Equal(oldest.expires) {
		delete(s.calls, oldest.hash)
	}
}

// newest returns the newest swept attempt of a call, or false if there is none.
func (s *sweptAttempts) newest(id callID) (attemptNumber, bool) {
	known, ok := s.calls[maphash.Comparable(s.seed, id)]
	return known.newest, ok
}

// complete reports whether each swept attempt that an entry may ask for is recorded.
func (s *sweptAttempts) complete() bool {
	return s.uncertainUntil.IsZero()
}
