// Package fleet keeps a table of the backend servers that announced themselves. The
// table is soft state that is merged from heartbeats and from the tables of other
// hosts. Reports are ordered by start time and sequence number, so that outdated ones
// are ignored.
package fleet

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"ibistray.example/ibistray/proto/fleetpb"
)

const (
	// goneRetentionPeriod is how long an instance stays in the table after its latest heartbeat,
	// so that a delayed heartbeat does not re-add an instance that has left or is silent.
	goneRetentionPeriod = 60 * time.Second
)

// Instance is a report about one run of a backend server process. A restarted server
// may keep its ID. Instances are immutable.
type Instance struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	Version       string // of its software; the output of two versions does not fit together
	State         fleetpb.State
	StartUnixMs   int64     // start time, 0 if unknown
	Sequence      uint64    // of the latest heartbeat
	LastHeartbeat time.Time // when any host received the latest heartbeat
	ColdUntil     time.Time // end of the warm-up in which it is slow
	Silent        bool      // its heartbeats have stopped
	Limit         *Limit    // what its responses said about the rate that it accepts, nil: nothing
	LeavingSource string    // the entry to which it said that it leaves, "": its heartbeats said so, or nothing did
}

// newerThan reports whether i is a later report than other about the same ID.
func (i *Instance) newerThan(other *Instance) bool {
	return cmp.Or(cmp.Compare(i.StartUnixMs, other.StartUnixMs), cmp.Compare(i.Sequence, other.Sequence)) > 0
}

// Table holds the latest report for each instance ID. It holds none whose names are
// unreadable, whichever host sent it: updates could not carry it. It is safe for concurrent
// use.
type Table struct {
	mu       sync.Mutex
	revision uint64             // incremented by each stored report
	records  map[string]*record // by instance ID
	received chan struct{}      // closed and replaced by changes and by reports to Receive
	changes  chan struct{}      // closed and replaced by reports that affect routing
}

// record is the latest report for an ID with the revisions at which it changed.
type record struct {
	instance         *Instance
	receivedRevision uint64 // of the latest report that other hosts may lack
	changeRevision   uint64 // of the latest report that affects routing
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: make(map[string]*record), received: make(chan struct{}), changes: make(chan struct{})}
}

// Receive stores the heartbeat of an instance, like Merge. This host is the only one that
// has received it.
func (t *Table) Receive(i *Instance) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.merge(i) {
		return false
	}
	t.markReceived(t.records[i.ID])
	return true
}

// Merge stores a report of another host unless a later one about the same instance is
// known. The same report replaces the known one if it adds that the instance is silent.
// Merge reports whether the report was stored. One with unreadable names is not.
func (t *Table) Merge(i *Instance) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.merge(i)
}

// Resend marks the report of an instance as one that other hosts may lack, if it is later
// than i. Hosts receive each heartbeat from the one that received it, so that a host that
// lost contact to that one takes the instance for silent.
func (t *Table) Resend(i *Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.records[i.ID]
	if known == nil || known.instance.Silent || !known.instance.newerThan(i) {
		return
	}
	t.revision++
	t.markReceived(known)
}

// markReceived marks the latest report of an instance as one that other hosts may lack.
// The caller holds the mutex.
func (t *Table) markReceived(r *record) {
	r.receivedRevision = t.revision
	close(t.received)
	t.received = make(chan struct{})
}

// merge stores a report if it is later than the known one. The caller holds the mutex.
func (t *Table) merge(i *Instance) bool {
	if i.checkNames() != nil {
		return false
	}
	known := t.records[i.ID]
	if known == nil {
		t.put(i, &record{})
		return true
	}
	switch {
	case i.newerThan(known.instance):
	case i.Silent && !known.instance.Silent && !known.instance.newerThan(i):
	default:
		return t.mergeNotices(i, known)
	}
	if i.Address == "" {
		i = known.instance.withEnd(i)
	}
	if sameStart(i, known.instance) && known.instance.State > i.State {
		// The state only advances (ready, draining, gone) until the server restarts.
		i = withState(i, known.instance.State)
	}
	if sameStart(i, known.instance) {
		i = i.withNotices(known.instance)
	}
	t.put(i, known)
	return true
}

// mergeNotices stores the notices of a report whose heartbeat is not later than the known
// one, and reports whether that changed the routing of requests. The caller holds the mutex.
func (t *Table) mergeNotices(i *Instance, known *record) bool {
	if !sameStart(i, known.instance) {
		return false
	}
	next := known.instance.withNotices(i)
	if i.LeavingSource != "" {
		next.State = max(next.State, i.State)
	}
	changed := !sameRouting(next, known.instance)
	t.put(next, known)
	return changed
}

// withEnd returns a copy of i with the end that a tombstone records, so that its address
// stays known. A tombstone of another start is returned unchanged.
func (i *Instance) withEnd(end *Instance) *Instance {
	if i.StartUnixMs != end.StartUnixMs {
		return end
	}
	next := withState(i, end.State)
	next.Sequence, next.LastHeartbeat = end.Sequence, end.LastHeartbeat
	return next
}

func sameStart(a, b *Instance) bool {
	return a.StartUnixMs == b.StartUnixMs && a.Address == b.Address
}

func withState(i *Instance, state fleetpb.State) *Instance {
	next := *i
	next.State = state
	return &next
}

// put stores a report and wakes the goroutines that wait for changes. The caller holds
// the mutex.
func (t *Table) put(i *Instance, r *record) {
	t.revision++
	if r.instance == nil || !sameRouting(i, r.instance) {
		r.changeRevision = t.revision
		close(t.changes)
		t.changes = make(chan struct{})
		t.markReceived(r)
	}
	r.instance = i
	t.records[i.ID] = r
}

// sameRouting reports whether two reports of an instance agree in everything that
// affects the routing of requests.
func sameRouting(a, b *Instance) bool {
	return sameStart(a, b) && a.State == b.State && a.Service == b.Service && a.Slots == b.Slots && a.Version == b.Version &&
		a.Silent == b.Silent && a.Limit.same(b.Limit)
}

// MarkSilent marks the instances that sent no heartbeat for longer than limit and
// returns those that were not marked before.
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
		t.put(&next, r)
		list = append(list, &next)
	}
	return list
}

// MarkGone records that an instance has left. startUnixMs is its start, 0 for the latest
// one that is known. It changes nothing if a later start of the ID is known. A start that is
// not known is recorded too: its heartbeats went to another host, or come after its
// deregistration. MarkGone reports whether the start was known. It ignores an ID that
// ValidateID refuses.
func (t *Table) MarkGone(id string, startUnixMs int64, now time.Time) bool {
	if ValidateID(id) != nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.records[id]
	if known == nil || startUnixMs > known.instance.StartUnixMs {
		t.put(tombstone(id, startUnixMs, now), cmp.Or(known, &record{}))
		return false
	}
	if startUnixMs != 0 && startUnixMs < known.instance.StartUnixMs || known.instance.State == fleetpb.State_STATE_GONE {
		return true
	}
	t.put(known.instance.withEnd(tombstone(id, known.instance.StartUnixMs, now)), known)
	return true
}

// endSequence is the sequence number of the end of a start. It is later than that of each
// heartbeat, since other hosts may hold heartbeats that this one has not received.
const endSequence = math.MaxUint64

// tombstone returns the record of an instance of which nothing but its end is known.
func tombstone(id string, startUnixMs int64, now time.Time) *Instance {
	return &Instance{ID: id, State: fleetpb.State_STATE_GONE, StartUnixMs: startUnixMs, Sequence: endSequence, LastHeartbeat: now}
}

// ChangedSince returns the instances that changed after a revision, ordered by ID, and
// the current revision. A heartbeat that this host received counts as a change if
// includeReceived is set. One that another host received does not: that host sends it.
func (t *Table) ChangedSince(revision uint64, includeReceived bool) ([]*Instance, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*Instance
	for _, r := range t.records {
		if r.changeRevision > revision || includeReceived && r.receivedRevision > revision {
			list = append(list, r.instance)
		}
	}
	slices.SortFunc(list, func(a, b *Instance) int { return cmp.Compare(a.ID, b.ID) })
	return list, t.revision
}

// Changed returns a channel that is closed at the next change, see ChangedSince.
func (t *Table) Changed(includeReceived bool) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if includeReceived {
		return t.received
	}
	return t.changes
}

// Sweep removes instances that sent no heartbeat for longer than their retention period.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.records {
		if now.Sub(r.instance.LastHeartbeat) > r.instance.retentionPeriod() {
			delete(t.records, id)
		}
	}
}

// NewestByAddress returns the most recently started instance of each address, ordered
// by ID. Instances of services for which named returns false count only at addresses without
// others: such reports come from writers that are no servers here. A nil named accepts all.
func (t *Table) NewestByAddress(named func(service string) bool) []*Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	newest := make(map[string]*Instance, len(t.records))
	for _, r := range t.records {
		other := newest[r.instance.Address]
		if other == nil || replaces(r.instance, other, named) {
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

// replaces reports whether a rather than b is the server at their address.
func replaces(a, b *Instance, named func(service string) bool) bool {
	if named != nil && named(a.Service) != named(b.Service) {
		return named(a.Service)
	}
	return startedLater(a, b)
}

// startedLater reports whether a started after b. Equal start times are decided by the
// latest heartbeat.
func startedLater(a, b *Instance) bool {
	return cmp.Or(cmp.Compare(a.StartUnixMs, b.StartUnixMs), a.LastHeartbeat.Compare(b.LastHeartbeat)) > 0
}
