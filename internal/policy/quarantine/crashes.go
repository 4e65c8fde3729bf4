package quarantine

import (
	"maps"
	"time"
)

const (
	// quarantineThreshold is the number of server crashes after which a fingerprint is
	// quarantined.
	quarantineThreshold = 3
	// crashRetentionPeriod is how long a crash counts.
	crashRetentionPeriod = 90 * time.Second
	// answerRetentionPeriod is how long a response is known at least. It covers the time
	// until a crash is known.
	answerRetentionPeriod = 30 * time.Second
	// maxFingerprints is the maximum number of fingerprints in a CrashCounter.
	maxFingerprints = 4096
)

// CrashCounter finds requests that crash servers where it is not known which requests
// a server was running. A crash counts against each request whose response it
// interrupted, and a complete response clears the request. A request that crashes
// every server never gets one, and other requests rarely have three crashes without a
// response in between. It is not safe for concurrent use.
type CrashCounter struct {
	records map[Fingerprint]*crashRecord
	// answered holds the latest responses, since a crash may become known after a response
	// that clears it. previous are those before them.
	answered, previous map[Fingerprint]time.Time
	rotated            time.Time // when answered became empty
}

// crashRecord holds the crashes that count against one fingerprint.
type crashRecord struct {
	crashes map[string]time.Time // time of the crash by incarnation of the server
	cleared time.Time            // start of the period that counts
}

// NewCrashCounter returns an empty counter.
func NewCrashCounter() *CrashCounter {
	return &CrashCounter{records: make(map[Fingerprint]*crashRecord), answered: make(map[Fingerprint]time.Time)}
}

// Empty reports whether the counter holds no fingerprint.
func (c *CrashCounter) Empty() bool { return len(c.records) == 0 }

// Answered records a response to a request with the fingerprint. It reports whether crashes
// count against the fingerprint, which Clear then discards.
func (c *CrashCounter) Answered(f Fingerprint, at time.Time) bool {
	if len(c.answered) >= maxFingerprints || at.Sub(c.rotated) >= answerRetentionPeriod {
		c.previous, c.answered, c.rotated = c.answered, make(map[Fingerprint]time.Time), at
	}
	c.answered[f] = at
	r := c.records[f]
	return r != nil && len(r.crashes) > 0
}

// AnsweredAt returns the time of the latest known response to a request with the fingerprint,
// zero if none is known.
func (c *CrashCounter) AnsweredAt(f Fingerprint) time.Time {
	if at, found := c.answered[f]; found {
		return at
	}
	return c.previous[f]
}

// Record counts the crash of one incarnation of a server, that is, of one start of
// its process, and returns whether it was added. It ignores crashes that are already
// counted or not later than the last Clear, and new fingerprints if the counter is
// full.
func (c *CrashCounter) Record(f Fingerprint, incarnation string, at time.Time) bool {
	r := c.record(f)
	if r == nil || !at.After(r.cleared) {
		return false
	}
	if _, found := r.crashes[incarnation]; found {
		return false
	}
	r.crashes[incarnation] = at
	return true
}

// record returns the record of a fingerprint, nil if there is none and the counter is full.
func (c *CrashCounter) record(f Fingerprint) *crashRecord {
	r := c.records[f]
	if r == nil && len(c.records) < maxFingerprints {
		r = &crashRecord{crashes: make(map[string]time.Time)}
		c.records[f] = r
	}
	return r
}

// Clear discards the crashes of a fingerprint up to a response to a request with it, also those
// that become known later. It returns whether the counter did not know of this response or a
// later one.
func (c *CrashCounter) Clear(f Fingerprint, at time.Time) bool {
	r := c.record(f)
	if r == nil || !at.After(r.cleared) {
		return false
	}
	r.cleared = at
	maps.DeleteFunc(r.crashes, func(_ string, crashed time.Time) bool { return !crashed.After(at) })
	return true
}

// Quarantined reports whether requests with the fingerprint must not be sent to servers:
// it has quarantineThreshold crashes within crashRetentionPeriod.
func (c *CrashCounter) Quarantined(f Fingerprint, now time.Time) bool {
	r := c.records[f]
	if r == nil {
		return false
	}
	recent := 0
	for _, at := range r.crashes {
		if now.Sub(at) < crashRetentionPeriod {
			recent++
		}
	}
	return recent >= quarantineThreshold
}

// Expire removes fingerprints whose crashes no longer count. It should be called
// regularly, since a full counter accepts no new ones.
func (c *CrashCounter) Expire(now time.Time) {
	for f, r := range c.records {
		latest := r.cleared
		for _, at := range r.crashes {
			if at.After(latest) {
				latest = at
			}
		}
		if now.Sub(latest) >= crashRetentionPeriod {
			delete(c.records, f)
		}
	}
}
