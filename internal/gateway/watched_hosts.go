package gateway

import (
	"slices"
	"sync"
	"time"

	"ibistray.example/ibistray/internal/compare"
	"ibistray.example/ibistray/internal/fleetwatch"
	"ibistray.example/ibistray/internal/policy/watchset"
)

// servingTimeout is the age of the latest update with contact to a quorum up to which a
// state host counts as serving: three updates.
const servingTimeout = 3 * fleetwatch.KeepAliveInterval

// watchedHosts keeps what an entry knows of the state hosts that it watches or has watched.
// It is safe for concurrent use.
type watchedHosts struct {
	viewer string
	wanted int // hosts with contact to a quorum

	mu    sync.Mutex
	hosts map[string]*watchedHost // by address
}

type watchedHost struct {
	watched    bool
	since      time.Time // start of the stream if watched, else its end; zero: never watched
	lastQuorum time.Time // latest update that reported contact to a quorum
}

// newWatchedHosts returns the table of a process that tolerates the loss of losses state
// hosts: it wants one host more than it needs when they are lost.
func newWatchedHosts(viewer string, losses int) *watchedHosts {
	return &watchedHosts{viewer: viewer, wanted: losses + 2, hosts: make(map[string]*watchedHost)}
}

// recordUpdate records an update of a host and reports whether the choice may change.
func (w *watchedHosts) recordUpdate(address string, quorum bool, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.hosts[address]
	if h == nil {
		return false
	}
	served := h.serving(now)
	if quorum {
		h.lastQuorum = now
	} else {
		h.lastQuorum = time.Time{}
	}
	return served != quorum
}

// choose returns which of the known hosts to watch.
func (w *watchedHosts) choose(known []string, now time.Time) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	input := make([]watchset.Host, len(known))
	for i, address := range known {
		input[i] = w.describe(address, now)
	}
	chosen := watchset.Choose(w.viewer, input, w.wanted)
	for address, h := range w.hosts {
		if !slices.Contains(known, address) {
			delete(w.hosts, address)
			continue
		}
		h.setWatched(slices.Contains(chosen, address), now)
	}
	return chosen
}

// describe returns the policy's view of a host. The caller holds the mutex.
func (w *watchedHosts) describe(address string, now time.Time) watchset.Host {
	h := w.hosts[address]
	if h == nil {
		h = new(watchedHost)
		w.hosts[address] = h
	}
	host := watchset.Host{Address: address, Serving: h.watched && h.serving(now), Watched: h.watched}
	switch {
	case h.watched:
		host.WatchedFor = now.Sub(h.since)
	case !h.since.IsZero():
		host.Tried, host.LastTried = true, now.Sub(h.since)
	}
	return host
}

// servingFirst sorts hosts so that those with contact to a quorum come first.
func (w *watchedHosts) servingFirst(hosts []string, now time.Time) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	slices.SortStableFunc(hosts, func(a, b string) int {
		return compare.Bool(!w.serves(a, now), !w.serves(b, now))
	})
	return hosts
}

// serves reports whether a host is known to have contact to a quorum. The caller holds the
// mutex.
func (w *watchedHosts) serves(address string, now time.Time) bool {
	h := w.hosts[address]
	return h != nil && h.watched && h.serving(now)
}

func (h *watchedHost) serving(now time.Time) bool {
	return !h.lastQuorum.IsZero() && now.Sub(h.lastQuorum) <= servingTimeout
}

func (h *watchedHost) setWatched(watched bool, now time.Time) {
	if h.watched != watched {
		h.watched, h.since = watched, now
	}
}
