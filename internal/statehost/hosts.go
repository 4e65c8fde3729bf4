package statehost

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"ibistray.example/ibistray/proto/fleetpb"
)

// hostRetention is how long a silent control host stays in the table. Its address
// is still tried meanwhile.
const hostRetention = 60 * time.Second

// hostTable holds the control hosts that announced themselves. It is soft state
// and safe for concurrent use.
type hostTable struct {
	mu    sync.Mutex
	hosts map[string]heardHost // by address between processes
}

type heardHost struct {
	host  *fleetpb.Host
	heard time.Time
}

func newHostTable() *hostTable {
	return &hostTable{hosts: make(map[string]heardHost)}
}

func (t *hostTable) record(host *fleetpb.Host, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts[host.Address] = heardHost{host: host, heard: now}
	for address, h := range t.hosts {
		if !h.heard.IsZero() && now.Sub(h.heard) > hostRetention {
			delete(t.hosts, address)
		}
	}
}

// learn adds the address of a host that was not heard of yet, so that it is
// announced to.
func (t *hostTable) learn(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, found := t.hosts[address]; !found {
		t.hosts[address] = heardHost{host: &fleetpb.Host{Address: address}}
	}
}

// addresses returns the known hosts in order.
func (t *hostTable) addresses() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.hosts))
}

// all returns the known hosts and when they were heard of.
func (t *hostTable) all() []heardHost {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Values(t.hosts))
}

// byName returns the host with a name, nil if it is not known.
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

// digest returns a digest of addresses in order.
func digest(addresses []string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, address := range addresses {
		// Write of a digest returns no error.
		_, _ = d.WriteString(address)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}
