// Package fleet keeps the backend servers that announced themselves: soft state,
// merged from heartbeats and from other hosts, and ordered by start and sequence
// so that late reports change nothing.
package fleet

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"ibistray.example/ibistray/proto/fleetpb"
)

const (
	// goneRetention is how long a server that left or fell silent is remembered,
	// so that late heartbeats do not bring it back.
	goneRetention = 60 * time.Second
)

// ErrInvalid says that a heartbeat names no server that could be used.
var ErrInvalid = errors.New("fleet: invalid heartbeat")

// Instance is one start of a backend server. It is not changed after it was made.
type Instance struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	State         fleetpb.State
	StartUnixMs   int64     // Unix ms of its start, 0: not known
	Sequence      uint64    // of the latest heartbeat
	LastHeartbeat time.Time // when the latest heartbeat was received by any host
	ColdUntil     time.Time // until which it is slow after its start
	Silent        bool      // no heartbeat for some time
}

// Validate returns ErrInvalid for an instance that cannot be used.
func (i *Instance) Validate() error {
	if i.ID == "" || i.Service == "" {
		return fmt.Errorf("%w: no ID or service", ErrInvalid)
	}
	if _, err := netip.ParseAddrPort(i.Address); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return nil
}

// newer reports whether i is a later report than other about the same ID.
func (i *Instance) newer(other *Instance) bool {
	return cmp.Or(cmp.Compare(i.StartUnixMs, other.StartUnixMs), cmp.Compare(i.Sequence, other.Sequence)) > 0
}

// Table holds the latest report of each instance. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	revision uint64
	records  map[string]*record
	beats    chan struct{} // closed and replaced at each heartbeat
	changes  chan struct{} // closed and replaced at each change beyond heartbeats
}

type record struct {
	instance *Instance
	beat     uint64 // revision of the latest heartbeat
	change   uint64 // revision of the latest change beyond the heartbeat
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: make(map[string]*record), beats: make(chan struct{}), changes: make(chan struct{})}
}

// Merge takes a report and reports whether it was news.
func (t *Table) Merge(i *Instance) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.records[i.ID]
	if known == nil {
		t.store(i, &record{})
		return true
	}
	switch {
	case i.newer(known.instance):
	case i.Silent && !known.instance.Silent && !known.instance.newer(i):
	default:
		return false
	}
	if sameStart(i, known.instance) && known.instance.State > i.State {
		// A server does not take back that it leaves.
		i = withState(i, known.instance.State)
	}
	t.store(i, known)
	return true
}

func sameStart(a, b *Instance) bool {
	return a.StartUnixMs == b.StartUnixMs && a.Address == b.Address
}

func withState(i *Instance, state fleetpb.State) *Instance {
	next := *i
	next.State = state
	return &next
}

// store puts an instance in force. The caller holds the mutex.
func (t *Table) store(i *Instance, r *record) {
	t.revision++
	r.beat = t.revision
	if r.instance == nil || !sameView(i, r.instance) {
		r.change = t.revision
		close(t.changes)
		t.changes = make(chan struct{})
	}
	r.instance = i
	t.records[i.ID] = r
	close(t.beats)
	t.beats = make(chan struct{})
}

// sameView reports whether two reports differ in nothing that decides about
// requests.
func sameView(a, b *Instance) bool {
	return sameStart(a, b) && a.State == b.State && a.Service == b.Service && a.Slots == b.Slots && a.Silent == b.Silent
}

// MarkSilent marks the instances without a heartbeat for limit and returns them.
func (t *Table) MarkSilent(now time.Time, limit time.Duration) []*Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*Instance
	for _, r := range t.records {
		if r.instance.Silent || r.instance.State == fleetpb.State_STATE_GONE || now.Sub(r.instance.LastHeartbeat) <= limit {
			continue
		}
		next := *r.instance
		next.Silent = true
		t.store(&next, r)
		list = append(list, &next)
	}
	return list
}

// MarkGone records that an instance leaves. A born of 0 names the latest start. It
// reports whether the instance was known.
func (t *Table) MarkGone(id string, born int64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.records[id]
	if known == nil || born != 0 && born != known.instance.StartUnixMs {
		return known != nil
	}
	if known.instance.State == fleetpb.State_STATE_GONE {
		return true
	}
	next := withState(known.instance, fleetpb.State_STATE_GONE)
	next.Sequence++
	next.LastHeartbeat = now
	t.store(next, known)
	return true
}

// ChangedSince returns the instances that changed after a revision, and the present
// revision. With beats, each heartbeat counts as a change.
func (t *Table) ChangedSince(revision uint64, beats bool) ([]*Instance, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*Instance
	for _, r := range t.records {
		if r.change > revision || beats && r.beat > revision {
			list = append(list, r.instance)
		}
	}
	slices.SortFunc(list, func(a, b *Instance) int { return cmp.Compare(a.ID, b.ID) })
	return list, t.revision
}

// Changed returns a channel that is closed at the next change, with beats also at
// the next heartbeat.
func (t *Table) Changed(beats bool) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if beats {
		return t.beats
	}
	return t.changes
}

// Sweep forgets instances that were not heard of for goneRetention.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.records {
		if now.Sub(r.instance.LastHeartbeat) > goneRetention {
			delete(t.records, id)
		}
	}
}

// NewestByAddress returns the instances, the newest start at each address only.
func (t *Table) NewestByAddress() []*Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	newest := make(map[string]*Instance, len(t.records))
	for _, r := range t.records {
		other := newest[r.instance.Address]
		if other == nil || newerStart(r.instance, other) {
			newest[r.instance.Address] = r.instance
		}
	}
	list := make([]*Instance, 0, len(newest))
	for _, i := range newest {
		list = append(list, i)
	}
	slices.SortFunc(list, func(a, b *Instance) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// newerStart orders two instances at one address.
func newerStart(a, b *Instance) bool {
	return cmp.Or(cmp.Compare(a.StartUnixMs, b.StartUnixMs), a.LastHeartbeat.Compare(b.LastHeartbeat)) > 0
}
