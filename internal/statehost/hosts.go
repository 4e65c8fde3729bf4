package statehost

import (
	"maps"
	"slices"
	"sync"
	"time"

	"ibistray.example/ibistray/proto/fleetpb"
)

const (
	// hostRetentionPeriod is how long a silent state host stays in the table. Until then
	// this host continues to watch it.
	hostRetentionPeriod = 60 * time.Second
	// hostRemovalPeriod is how long a removed host is not added again because another host
	// names it. The others remove it at other times, and would pass it on for ever.
	hostRemovalPeriod = 2 * hostRetentionPeriod
)

// hostTable holds the known state hosts: those that described themselves and those that
// other hosts named. It is kept in memory only and is safe for concurrent use.
type hostTable struct {
	mu       sync.Mutex
	hosts    map[string]knownHost // by address for calls between processes
	retiring map[string]bool      // by address
	removed  map[string]time.Time // by address: time of the removal for silence
}

// knownHost is a state host with the time of its last update.
type knownHost struct {
	host       *fleetpb.Host
	added      time.Time
	firstHeard time.Time // zero: the host has not described itself yet
	lastHeard  time.Time // zero: the host has not described itself yet
}

// silentSince returns the time of the last update, or of the addition without any.
func (h knownHost) silentSince() time.Time {
	if h.lastHeard.IsZero() {
		return h.added
	}
	return h.lastHeard
}

func newHostTable() *hostTable {
	return &hostTable{hosts: make(map[string]knownHost), retiring: make(map[string]bool), removed: make(map[string]time.Time)}
}

// record stores the description of a host and removes hosts that have been silent for
// longer than hostRetentionPeriod. It reports whether the host was not known before.
func (t *hostTable) record(host *fleetpb.Host, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry, known := t.hosts[host.Address]
	if !known {
		entry.added = now
	}
	if entry.firstHeard.IsZero() {
		entry.firstHeard = now
	}
	entry.host, entry.lastHeard = host, now
	t.hosts[host.Address] = entry
	delete(t.removed, host.Address)
	t.removeSilent(now)
	return !known
}

// removeSilent removes the hosts that have been silent for longer than
// hostRetentionPeriod. The caller holds the mutex.
func (t *hostTable) removeSilent(now time.Time) {
	for address, h := range t.hosts {
		if now.Sub(h.silentSince()) > hostRetentionPeriod {
			delete(t.hosts, address)
			t.removed[address] = now
		}
	}
	for address, at := range t.removed {
		if now.Sub(at) > hostRemovalPeriod {
			delete(t.removed, address)
		}
	}
}

// addAddresses adds the addresses of hosts that are neither known nor were removed lately,
// so that this host watches them, and reports whether there were any.
func (t *hostTable) addAddresses(addresses []string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	added := false
	for _, address := range addresses {
		_, known := t.hosts[address]
		_, removed := t.removed[address]
		if !known && !removed {
			t.hosts[address] = knownHost{host: &fleetpb.Host{Address: address}, added: now}
			added = true
		}
	}
	return added
}

// addRetirements records hosts that were asked to retire. A retirement is never withdrawn.
func (t *hostTable) addRetirements(retirements []*fleetpb.Retirement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range retirements {
		t.retiring[r.Address] = true
	}
}

// isRetiring reports whether addRetirements recorded the host at the address.
func (t *hostTable) isRetiring(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.retiring[address]
}

// addresses returns the addresses of the known hosts in sorted order.
func (t *hostTable) addresses() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.hosts))
}

// all returns the known hosts in no particular order.
func (t *hostTable) all() []knownHost {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Values(t.hosts))
}

// replicasOf returns the replicas that the host at the address holds.
func (t *hostTable) replicasOf(address string) []*fleetpb.Replica {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hosts[address].host.GetReplicas()
}

// byName returns the host with the name, or nil if it is not known. Of several, as when a host was
// replaced under its name, it returns the one that was added last.
func (t *hostTable) byName(name string) *fleetpb.Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	var latest knownHost
	for _, h := range t.hosts {
		if h.host.GetName() == name && (latest.host == nil || h.added.After(latest.added)) {
			latest = h
		}
	}
	return latest.host
}
