package statehost

import (
	"maps"
	"slices"
	"sync"
	"time"

	"ibistray.example/ibistray/proto/fleetpb"
)

// hostRetentionPeriod is how long a silent state host stays in the table. Until then this host
// continues to watch it.
const hostRetentionPeriod = 60 * time.Second

// hostTable holds the known state hosts: those that described themselves and those that
// other hosts named. It is kept in memory only and is safe for concurrent use.
type hostTable struct {
	mu       sync.Mutex
	hosts    map[string]knownHost // by address for calls between processes
	retiring map[string]bool      // by address
}

// knownHost is a state host with the time of its last update.
type knownHost struct {
	host       *fleetpb.Host
	firstHeard time.Time // zero: the host has not described itself yet
	lastHeard  time.Time // zero: the host has not described itself yet
}

func newHostTable() *hostTable {
	return &hostTable{hosts: make(map[string]knownHost), retiring: make(map[string]bool)}
}

// record stores the description of a host and removes hosts that have been silent for longer than
// hostRetentionPeriod. It reports whether the host was not known before.
func (t *hostTable) record(host *fleetpb.Host, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, known := t.hosts[host.Address]
	firstHeard := t.hosts[host.Address].firstHeard
	if firstHeard.IsZero() {
		firstHeard = now
	}
	t.hosts[host.Address] = knownHost{host: host, firstHeard: firstHeard, lastHeard: now}
	for address, h := range t.hosts {
		if !h.lastHeard.IsZero() && now.Sub(h.lastHeard) > hostRetentionPeriod {
			delete(t.hosts, address)
		}
	}
	return !known
}

// addAddresses adds the addresses of hosts that are not known yet, so that this host
// watches them, and reports whether there were any.
func (t *hostTable) addAddresses(addresses []string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	added := false
	for _, address := range addresses {
		if _, found := t.hosts[address]; !found {
			t.hosts[address] = knownHost{host: &fleetpb.Host{Address: address}}
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

// byName returns the host with the name, or nil if it is not known.
func (t *hostTable) byName(name string) *fleetpb.Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range t.hosts {
		if h.host.Name == name {
			return h.host
		}
	}
	return nil
}
