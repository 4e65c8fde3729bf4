package entry

import (
	"sync"
	"time"

	"ibistray.example/ibistray/internal/policy/quarantine"
)

// recentRetention covers the time until the configuration brings what a sidecar
// told this entry.
const recentRetention = 30 * time.Second

// recentQuarantine remembers the requests that sidecars refused as quarantined,
// so that this entry knows at once. It is safe for concurrent use.
type recentQuarantine struct {
	mu   sync.Mutex
	seen map[quarantine.Fingerprint]time.Time
}

func newRecentQuarantine() *recentQuarantine {
	return &recentQuarantine{seen: make(map[quarantine.Fingerprint]time.Time)}
}

func (r *recentQuarantine) add(fingerprint quarantine.Fingerprint, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for known, at := range r.seen {
		if now.Sub(at) > recentRetention {
			delete(r.seen, known)
		}
	}
	r.seen[fingerprint] = now
}

func (r *recentQuarantine) has(fingerprint quarantine.Fingerprint, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.seen[fingerprint]
	return ok && now.Sub(at) <= recentRetention
}
