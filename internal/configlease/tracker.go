package configlease

import (
	"sync"
	"time"
)

// silence is how long a control process must not have renewed until neither it
// nor any of its holders can have a lease.
const silence = HostLeaseDuration + HolderLeaseDuration + 2*clockMargin

// VersionTracker is the leader's knowledge of which version is in force. It is kept in
// memory: a new leader builds it anew. It is safe for concurrent use.
type VersionTracker struct {
	mu      sync.Mutex
	since   time.Time // since when this process leads without a break
	leading bool
	hosts   map[string]hostRecord
}

type hostRecord struct {
	holdersVersion uint64
	seen           time.Time
}

// NewVersionTracker returns the tracker of a process that does not lead.
func NewVersionTracker() *VersionTracker {
	return &VersionTracker{hosts: make(map[string]hostRecord)}
}

// BecomeLeader records that this process leads the group, as of now.
func (t *VersionTracker) BecomeLeader(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leading {
		return
	}
	t.leading = true
	t.since = now
	clear(t.hosts)
}

// BecomeFollower records that this process does not lead.
func (t *VersionTracker) BecomeFollower() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leading = false
}

// RecordRenewal records a renewal: the least version that the control process and its
// holders have applied.
func (t *VersionTracker) RecordRenewal(host string, holdersVersion uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts[host] = hostRecord{holdersVersion: holdersVersion, seen: now}
}

// InForce returns the newest version that is in force, at most newest. members
// are the control processes that may have been granted leases by an earlier
// leader.
func (t *VersionTracker) InForce(newest uint64, members []string, now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.leading {
		return 0
	}
	if now.Sub(t.since) <= silence && !t.allSeen(members) {
		return 0
	}
	version := newest
	for host, record := range t.hosts {
		if now.Sub(record.seen) > silence {
			delete(t.hosts, host)
			continue
		}
		version = min(version, record.holdersVersion)
	}
	return version
}

func (t *VersionTracker) allSeen(members []string) bool {
	for _, member := range members {
		if _, ok := t.hosts[member]; !ok {
			return false
		}
	}
	return true
}
