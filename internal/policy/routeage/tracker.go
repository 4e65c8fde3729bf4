package routeage

import (
	"sync"
	"sync/atomic"
	"time"
)

// Tracker records for how long a newer version has been known than the one in force. Times are
// read from one steady clock. It is safe for concurrent use; Behind takes no lock.
type Tracker struct {
	// behindSince is the time at which the first version was announced that is not in force, plus
	// one nanosecond; 0: the newest known version is in force.
	behindSince atomic.Int64

	mu      sync.Mutex
	inForce uint64
	missed  []announcement // versions that are not in force, in ascending order
}

type announcement struct {
	version uint64
	at      time.Duration
}

// maxMissed limits the announcements that are kept. Of more, the latest ones replace each other.
const maxMissed = 64

// Announce records that a version is known.
func (t *Tracker) Announce(version uint64, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version <= t.inForce || len(t.missed) > 0 && version <= t.missed[len(t.missed)-1].version {
		return
	}
	if len(t.missed) == maxMissed {
		t.missed = t.missed[:maxMissed-1]
	}
	t.missed = append(t.missed, announcement{version: version, at: now})
	t.publish()
}

// Applied records that a version is in force.
func (t *Tracker) Applied(version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inForce = max(t.inForce, version)
	kept := t.missed[:0]
	for _, a := range t.missed {
		if a.version > t.inForce {
			kept = append(kept, a)
		}
	}
	t.missed = kept
	t.publish()
}

// publish updates behindSince. The caller holds the mutex.
func (t *Tracker) publish() {
	if len(t.missed) == 0 {
		t.behindSince.Store(0)
		return
	}
	t.behindSince.Store(t.missed[0].at.Nanoseconds() + 1)
}

// Behind returns for how long a newer version has been known than the one in force, 0 if none is.
func (t *Tracker) Behind(now time.Duration) time.Duration {
	since := t.behindSince.Load()
	if since == 0 {
		return 0
	}
	return max(1, now-time.Duration(since-1))
}
