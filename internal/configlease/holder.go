package configlease

import (
	"encoding/hex"
	"time"

	"ibistray.example/ibistray/internal/blackboard"
	"ibistray.example/ibistray/proto/configpb"
	"ibistray.example/ibistray/proto/rpcpb"
)

// View is a copy of the configuration. It is immutable.
type View struct {
	Version uint64
	Records map[string]*configpb.Record // by key, without deleted ones

	stops       map[stopKey]bool
	quarantined map[string]bool // by fingerprint in hex
	suspects    map[string]bool
}

type stopKey struct {
	scope configpb.StopScope
	name  string
}

// Stopped reports whether a planned stop names the server or its failure domain.
func (v *View) Stopped(server, host, failureDomain string) bool {
	return v.stops[stopKey{configpb.StopScope_STOP_SCOPE_SERVER, server}] ||
		v.stops[stopKey{configpb.StopScope_STOP_SCOPE_HOST, host}] ||
		v.stops[stopKey{configpb.StopScope_STOP_SCOPE_FAILURE_DOMAIN, failureDomain}]
}

// Quarantined reports whether a request must not run anywhere.
func (v *View) Quarantined(fingerprint []byte) bool {
	return len(v.quarantined) > 0 && v.quarantined[hex.EncodeToString(fingerprint)]
}

// Suspect reports whether a request must run alone.
func (v *View) Suspect(fingerprint []byte) bool {
	return len(v.suspects) > 0 && v.suspects[hex.EncodeToString(fingerprint)]
}

// Holder is the copy of one process and its lease. It is safe for concurrent
// use.
type Holder struct {
	view    *blackboard.Cell[*View]
	expires *blackboard.Cell[time.Time]
}

// NewHolder returns an empty copy without a lease.
func NewHolder() *Holder {
	return &Holder{
		view:    blackboard.NewCell(newView(0, nil)),
		expires: blackboard.NewCell(time.Time{}),
	}
}

// View returns the current copy.
func (h *Holder) View() *View {
	return h.view.Load()
}

// Changed returns a channel that is closed at the next change of the copy.
func (h *Holder) Changed() <-chan struct{} {
	return h.view.Snapshot().Superseded()
}

// Valid reports whether the lease holds: no change is in force that the copy
// does not have.
func (h *Holder) Valid(now time.Time) bool {
	return now.Before(h.expires.Load())
}

// Remaining returns how long the lease still holds, negative after its end.
func (h *Holder) Remaining(now time.Time) time.Duration {
	return h.expires.Load().Sub(now)
}

// Renew takes the answer to a message that was sent at the given time. An answer
// that is older than the copy changes nothing.
func (h *Holder) Renew(c *rpcpb.Configuration, sent time.Time) {
	if c == nil || c.Changes == nil {
		return
	}
	h.view.Update(func(old *View) *View { return merge(old, c.Changes) })
	if !c.Fresh || h.View().Version < c.Changes.Version {
		return
	}
	h.expires.Update(func(old time.Time) time.Time { return later(old, sent.Add(HolderLease)) })
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// merge applies changes that lead to a higher version.
func merge(old *View, changes *configpb.Changes) *View {
	if changes.Version <= old.Version {
		return old
	}
	records := make(map[string]*configpb.Record, len(old.Records)+len(changes.Records))
	if !changes.Full {
		for key, record := range old.Records {
			records[key] = record
		}
	}
	for _, record := range changes.Records {
		if record.Deleted {
			delete(records, record.Key)
			continue
		}
		records[record.Key] = record
	}
	return newView(changes.Version, records)
}

func newView(version uint64, records map[string]*configpb.Record) *View {
	v := &View{
		Version:     version,
		Records:     records,
		stops:       make(map[stopKey]bool),
		quarantined: make(map[string]bool),
		suspects:    make(map[string]bool),
	}
	for _, record := range records {
		switch value := record.GetValue().(type) {
		case *configpb.Record_Stop:
			v.stops[stopKey{value.Stop.Scope, value.Stop.Name}] = true
		case *configpb.Record_Quarantine:
			v.quarantined[hex.EncodeToString(value.Quarantine.Fingerprint)] = true
		case *configpb.Record_Suspect:
			v.suspects[hex.EncodeToString(value.Suspect.Fingerprint)] = true
		}
	}
	return v
}
