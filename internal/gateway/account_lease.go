package gateway

import (
	"sync"
	"time"
)

// confirmationShare is the part of the time within which a key that was taken away must be
// refused for which a confirmation is valid. The rest covers clocks that run unequally.
const confirmationShare = 0.9

// accountLease tells whether the client accounts that this entry knows are current. The leader
// of the routes' log confirms a version of the routes, measured from when this entry asked, on a
// clock that counts suspension. It is safe for concurrent use.
type accountLease struct {
	duration time.Duration // of a confirmation; 0: none is needed

	mu        sync.Mutex
	confirmed bool
	at        time.Duration // of the request whose response confirmed the routes in force
	pending   *confirmation // of routes that are not in force here yet
	wantedAt  time.Duration // a confirmation is wanted whose request is not older
}

type confirmation struct {
	version uint64
	askedAt time.Duration
}

func newAccountLease(revocationTimeout time.Duration) *accountLease {
	return &accountLease{duration: time.Duration(confirmationShare * float64(revocationTimeout))}
}

// confirm records that version was in force when this entry asked, and that inForce is in force
// here.
func (l *accountLease) confirm(version, inForce uint64, askedAt time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = &confirmation{version: version, askedAt: askedAt}
	l.settle(inForce)
}

// settle applies the latest confirmation if its routes are in force. The caller holds the mutex.
func (l *accountLease) settle(inForce uint64) {
	if l.pending == nil || inForce < l.pending.version {
		return
	}
	l.confirmed, l.at = true, max(l.at, l.pending.askedAt)
	l.pending = nil
}

// confirmedSince reports whether the routes in force were confirmed by a request that was sent
// at since or later. If not, such a confirmation is wanted from then on.
func (l *accountLease) confirmedSince(since time.Duration, inForce uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle(inForce)
	if l.confirmed && l.at >= since {
		return true
	}
	l.wantedAt = max(l.wantedAt, since)
	return false
}

// due reports whether to ask for a confirmation.
func (l *accountLease) due(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.confirmed || l.at < l.wantedAt {
		return l.duration > 0 || l.wantedAt > 0
	}
	return l.duration > 0 && now-l.at > l.duration/leaseRenewals
}

// valid reports whether every key that was taken away before the bound allows to refuse it is
// missing in the routes that are in force here.
func (l *accountLease) valid(now time.Duration, inForce uint64) bool {
	if l.duration == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle(inForce)
	return l.confirmed && now-l.at <= l.duration
}
