package quarantine

import "time"

const (
	// crashesToQuarantine is the number of servers that crash under the same content
	// before it is quarantined.
	crashesToQuarantine = 3
	// crashMemory is how long a crash counts.
	crashMemory = 90 * time.Second
	// maxFingerprints bounds the contents that are remembered.
	maxFingerprints = 4096
)

// CrashCounter counts the servers that crashed under requests where servers cannot be asked
// what ran on them: each request whose answer broke off when its server crashed is
// counted, and one that is answered is cleared. A request that crashes each server is
// never answered; others rarely share three crashes. It is not safe for concurrent use.
type CrashCounter struct {
	records map[Fingerprint]*crashRecord
}

type crashRecord struct {
	servers map[string]time.Time // by start of the server
	cleared time.Time
}

// NewCrashCounter returns an empty count.
func NewCrashCounter() *CrashCounter {
	return &CrashCounter{records: make(map[Fingerprint]*crashRecord)}
}

// Empty reports whether nothing is counted.
func (c *CrashCounter) Empty() bool { return len(c.records) == 0 }

// Contains reports whether a content is counted.
func (c *CrashCounter) Contains(f Fingerprint) bool { return c.records[f] != nil }

// Record counts the crash of a start of a server at a time. It reports whether that
// was news. A crash before the content was cleared does not count.
func (c *CrashCounter) Record(f Fingerprint, server string, at time.Time) bool {
	r := c.records[f]
	if r == nil {
		if len(c.records) >= maxFingerprints {
			return false
		}
		r = &crashRecord{servers: make(map[string]time.Time)}
		c.records[f] = r
	}
	if _, found := r.servers[server]; found || !at.After(r.cleared) {
		return false
	}
	r.servers[server] = at
	return true
}

// Clear takes in that a request was answered at a time.
func (c *CrashCounter) Clear(f Fingerprint, at time.Time) {
	r := c.records[f]
	if r == nil {
		return
	}
	r.cleared = at
	clear(r.servers)
}

// Quarantined reports whether a content must not be sent to servers.
func (c *CrashCounter) Quarantined(f Fingerprint, now time.Time) bool {
	r := c.records[f]
	if r == nil {
		return false
	}
	recent := 0
	for _, at := range r.servers {
		if now.Sub(at) < crashMemory {
			recent++
		}
	}
	return recent >= crashesToQuarantine
}

// Expire forgets what does not count any longer.
func (c *CrashCounter) Expire(now time.Time) {
	for f, r := range c.records {
		latest := r.cleared
		for _, at := range r.servers {
			if at.After(latest) {
				latest = at
			}
		}
		if now.Sub(latest) >= crashMemory {
			delete(c.records, f)
		}
	}
}
