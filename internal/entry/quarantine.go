package entry

import (
	"sync"
	"time"

	"ibistray.example/ibistray/internal/policy/quarantine"
)

// quarantineRetentionPeriod is how long the cache keeps a fingerprint. It exceeds the time in
// which the quarantine reaches this entry through the configuration.
const quarantineRetentionPeriod = 30 * time.Second

// quarantineCache remembers the requests that sidecars refused as quarantined, until
// this entry gets the quarantine through the configuration. It is safe for concurrent
// use.
type quarantineCache struct {
	mu      sync.Mutex
	addedAt map[quarantine.Fingerprint]time.Time
}

func newQuarantineCache() *quarantineCache {
	return &quarantineCache{addedAt: make(map[quarantine.Fingerprint]time.Time)}
}

// add stores a fingerprint and removes the expired ones.
func (c *quarantineCache) add(fingerprint quarantine.Fingerprint, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for known, added := range c.addedAt {
		if now.Sub(added) > quarantineRetentionPeriod {
			delete(c.addedAt, known)
		}
	}
	c.addedAt[fingerprint] = now
}

func (c *quarantineCache) contains(fingerprint quarantine.Fingerprint, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	added, ok := c.addedAt[fingerprint]
	return ok && now.Sub(added) <= quarantineRetentionPeriod
}
