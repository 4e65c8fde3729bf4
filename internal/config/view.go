package config

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"ibistray.example/ibistray/proto/configpb"
)

// ErrStaleChanges is returned by View.WithChanges when the changes have an older
// version than the view.
var ErrStaleChanges = errors.New("config: the changes are older than the view")

// View is an immutable copy of the configuration at one version, as entries and
// sidecars hold it. The zero value is the empty configuration at version 0.
type View struct {
	version uint64
	records map[string]*configpb.Record
}

// WithChanges returns a view with the changes applied, or the same view when they
// have its version. It returns ErrStaleChanges when their version is older.
func (v *View) WithChanges(changes *configpb.Changes) (*View, error) {
	if changes.GetVersion() < v.version {
		return nil, fmt.Errorf("%w: changes of version %d, view of version %d", ErrStaleChanges, changes.GetVersion(), v.version)
	}
	if changes.GetVersion() == v.version {
		return v, nil
	}
	records := make(map[string]*configpb.Record)
	if !changes.GetFull() {
		maps.Copy(records, v.records)
	}
	for _, record := range changes.GetRecords() {
		if record.GetDeleted() {
			delete(records, record.GetKey())
			continue
		}
		records[record.GetKey()] = record
	}
	return &View{version: changes.GetVersion(), records: records}, nil
}

// Version returns the version of the configuration in the view.
func (v *View) Version() uint64 { return v.version }

// Get returns the record of a key, or nil when there is none.
func (v *View) Get(key string) *configpb.Record { return v.records[key] }

// Quarantined reports whether the request with a fingerprint is quarantined. Such
// a request must not run.
func (v *View) Quarantined(fingerprint []byte) bool {
	return v.records[QuarantineKey(fingerprint)] != nil
}

// Suspected reports whether the request with a fingerprint is a crash suspect.
// Such a request must run alone on its backend server.
func (v *View) Suspected(fingerprint []byte) bool {
	return v.records[SuspectKey(fingerprint)] != nil
}

// PlannedStop returns the record of the planned stop of a backend server, of its
// host or of its failure domain, or nil when none is planned.
func (v *View) PlannedStop(server, host, failureDomain string) *configpb.Record {
	for _, key := range []string{
		StopKey(configpb.StopScope_STOP_SCOPE_SERVER, server),
		StopKey(configpb.StopScope_STOP_SCOPE_HOST, host),
		StopKey(configpb.StopScope_STOP_SCOPE_FAILURE_DOMAIN, failureDomain),
	} {
		if record := v.records[key]; record != nil {
			return record
		}
	}
	return nil
}

// Placement returns the placement of a shard's replicas, or nil when there is none.
func (v *View) Placement(shard uint64) *configpb.Placement {
	return v.records[PlacementKey(shard)].GetPlacement()
}

// EngineOrder returns the models and the role that are assigned to an engine, or
// nil when there is no order.
func (v *View) EngineOrder(server string) *configpb.EngineOrder {
	return v.records[EngineOrderKey(server)].GetEngineOrder()
}

// List returns the records whose keys begin with a prefix like "stop/", sorted by
// key.
func (v *View) List(prefix string) []*configpb.Record {
	var list []*configpb.Record
	for _, key := range slices.Sorted(maps.Keys(v.records)) {
		if strings.HasPrefix(key, prefix) {
			list = append(list, v.records[key])
		}
	}
	return list
}
