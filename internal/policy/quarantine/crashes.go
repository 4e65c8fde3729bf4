package quarantine

import "time"

const (
	// quarantineThreshold is the number of server crashes after which a fingerprint is
	// quarantined.
	quarantineThreshold = 3
	// crashRetentionPeriod is how long a crash counts.
	crashRetentionPeriod = 90 * time.Second
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
}

// crashRecord holds the crashes that count against one fingerprint.
type crashRecord struct {
	crashes map[string]time.Time // time of the crash by incarnation of the server
	cleared time.Time            // start of the period that counts
}

// NewCrashCounter returns an empty counter.
func NewCrashCounter() *CrashCounter {
	return &CrashCounter{records: make(map[Fingerprint]*crashRecord)}
}

// Empty reports whether the counter holds no fingerprint.
func (c *CrashCounter) Empty() bool { return len(c.records) == 0 }

// Contains reports whether the counter holds the fingerprint, cleared or not.
func (c *CrashCounter) Contains(f Fingerprint) bool { return c.records[f] != nil }

// Record counts the crash of one incarnation of a server, that is, of one start of
// its process, and returns whether it was added. It ignores crashes that are already
// counted or not later than the last Clear, and new fingerprints if the counter is
// full.
func (c *CrashCounter) Record(f Fingerprint, incarnation string, at time.Time) bool {
	r := c.records[f]
	if r == nil {
		if len(c.records) >= maxFingerprints {
			return false
		}
		r = &crashRecord{crashes: make(map[string]time.Time)}
		c.records[f] = r
	}
	if _, found := r.crashes[incarnation]; found || !at.After(r.cleared) {
		return false
	}
	r.crashes[incarnation] = at
	return true
}

// Clear records that a request with the fingerprint was answered at the given time. It
// discards the crashes counted so far.
func (c *CrashCounter) Clear(f Fingerprint, at time.Time) {
	r := c.records[f]
	if r == nil {
		return
	}
	r.cleared = at
	clear(r.crashes)
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
