package entry

import (
	"encoding/hex"
	"sync"
	"time"
)

// recentRetention covers the time until the configuration brings what a sidecar
// told this entry.
const recentRetention = 30 * time.Second

// recentQuarantine remembers the requests that sidecars refused as quarantined,
// so that this entry knows at once. It is safe for concurrent use.
type recentQuarantine struct {
	mu   sync.Mutex
	seen map[string]time.Time
}

func newRecentQuarantine() *recentQuarantine {
	return &recentQuarantine{seen: make(map[string]time.Time)}
}

func (r *recentQuarantine) add(fingerprint []byte, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for known, at := range r.seen {
		if now.Sub(at) > recentRetention {
			delete(r.seen, known)
		}
	}
	r.seen[hex.EncodeToString(fingerprint)] = now
}

func (r *recentQuarantine) has(fingerprint []byte, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.seen[hex.EncodeToString(fingerprint)]
	return ok && now.Sub(at) <= recentRetention
}
