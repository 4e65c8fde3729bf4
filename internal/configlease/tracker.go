package configlease

import (
	"sync"
	"time"
)

// hostExpiryTimeout is the time after the last renewal of a control process at which
// neither the process nor any of its holders can have a valid lease.
const hostExpiryTimeout = HostLeaseDuration + HolderLeaseDuration + 2*clockMargin

// VersionTracker determines, on the leader, which version is in force. It is kept in
// memory only, so a new leader starts with an empty one. It is safe for concurrent
// use.
type VersionTracker struct {
	mu          sync.Mutex
	leaderSince time.Time // start of the current uninterrupted leadership
	leading     bool
	hosts       map[string]hostRecord
}

type hostRecord struct {
	holdersVersion uint64
	lastRenewal    time.Time
}

// NewVersionTracker returns the tracker of a process that does not lead.
func NewVersionTracker() *VersionTracker {
	return &VersionTracker{hosts: make(map[string]hostRecord)}
}

// BecomeLeader records that this process leads the group from now on, and discards
// what was recorded under an earlier leadership. It has no effect if the process
// already leads.
func (t *VersionTracker) BecomeLeader(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leading {
		return
	}
	t.leading = true
	t.leaderSince = now
	clear(t.hosts)
}

// BecomeFollower records that this process does not lead the group.
func (t *VersionTracker) BecomeFollower() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leading = false
}

// RecordRenewal records a renewal by a control process. holdersVersion is the lowest
// version that the process and its holders have applied.
func (t *VersionTracker) RecordRenewal(host string, holdersVersion uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts[host] = hostRecord{holdersVersion: holdersVersion, lastRenewal: now}
}

// InForce returns the highest version that is in force, at most newest, or 0 if that
// is not known: on a follower, and on a new leader until all members have renewed
// or hostExpiryTimeout has passed. members are the control processes to which an
// earlier leader may have granted leases.
func (t *VersionTracker) InForce(newest uint64, members []string, now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.leading {
		return 0
	}
	if now.Sub(t.leaderSince) <= hostExpiryTimeout && !t.allRenewed(members) {
		return 0
	}
	version := newest
	for host, record := range t.hosts {
		if now.Sub(record.lastRenewal) > hostExpiryTimeout {
			delete(t.hosts, host)
			continue
		}
		version = min(version, record.holdersVersion)
	}
	return version
}

func (t *VersionTracker) allRenewed(members []string) bool {
	for _, member := range members {
		if _, ok := t.hosts[member]; !ok {
			return false
		}
	}
	return true
}
