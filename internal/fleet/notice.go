package fleet

import (
	"time"

	"ibistray.example/ibistray/proto/fleetpb"
)

// leavingRetentionPeriod is how long an instance that said in a response that it leaves stays
// in the table after its latest heartbeat. Its heartbeats may say otherwise for long.
const leavingRetentionPeriod = 10 * time.Minute

// Limit is what a backend server said about the rate of requests that it accepts. Limits are
// immutable.
type Limit struct {
	Named             bool          // false: it names no limit any more
	RequestsPerSecond float64       // from all entries together, if Named
	ReceivedAt        time.Duration // when the response arrived, by clock.SinceBoot
	Source            string        // the entry that received it
}

// same reports whether two limits allow the same.
func (l *Limit) same(other *Limit) bool {
	if l == nil || other == nil {
		return l == other
	}
	return l.Named == other.Named && l.RequestsPerSecond == other.RequestsPerSecond
}

// later returns the limit that was received later. nil is earlier than all others.
func (l *Limit) later(other *Limit) *Limit {
	if l == nil || other != nil && other.ReceivedAt > l.ReceivedAt {
		return other
	}
	return l
}

// Limited reports whether the server accepts a limited rate of requests.
func (i *Instance) Limited() bool { return i.Limit != nil && i.Limit.Named }

// Notice is what a backend server said about itself in a response.
type Notice struct {
	ID          string
	Address     string
	StartUnixMs int64
	Leaving     bool
	Limit       *Limit // nil: nothing about a limit
	Source      string // the entry that received the response
}

// Note stores a notice of a server. It changes nothing if the table holds a later start of
// the server, or a later limit. A server that leaves stays draining until it starts anew,
// whatever its heartbeats say. Note returns the report that is now in the table, nil if the
// notice concerns another start, and whether the routing of requests changed.
func (t *Table) Note(n Notice, now time.Time) (*Instance, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.records[n.ID]
	if known == nil {
		// It must not rank as the newest server at its address.
		instance := &Instance{ID: n.ID, Address: n.Address, StartUnixMs: n.StartUnixMs, LastHeartbeat: now.Add(-goneRetentionPeriod)}
		if !n.Leaving || instance.checkNames() != nil {
			return nil, false
		}
		known = &record{instance: instance}
	}
	current := known.instance
	if current.StartUnixMs != n.StartUnixMs || current.Address != n.Address {
		return nil, false
	}
	next := *current
	next.Limit = current.Limit.later(n.Limit)
	if n.Leaving && next.State == fleetpb.State_STATE_READY {
		next.State, next.LeavingSource = fleetpb.State_STATE_DRAINING, n.Source
	}
	changed := !sameRouting(&next, current)
	t.put(&next, known)
	return &next, changed
}

// withNotices returns a copy of i that also has the notices of other, an earlier or later
// report about the same start.
func (i *Instance) withNotices(other *Instance) *Instance {
	next := *i
	next.Limit = i.Limit.later(other.Limit)
	if next.LeavingSource == "" {
		next.LeavingSource = other.LeavingSource
	}
	return &next
}

// retentionPeriod returns how long the instance stays in a table after its latest heartbeat.
func (i *Instance) retentionPeriod() time.Duration {
	if i.LeavingSource != "" {
		return leavingRetentionPeriod
	}
	return goneRetentionPeriod
}
