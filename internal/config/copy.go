package config

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"ibistray.example/ibistray/proto/configpb"
)

// ErrStaleChanges says that changes would take a copy back to an older version.
var ErrStaleChanges = errors.New("config: the changes are older than the copy")

// View is an immutable copy of the configuration, as entries and sidecars hold
// it. The zero value is the copy of version 0.
type View struct {
	version uint64
	records map[string]*configpb.Record
}

// WithChanges returns the copy after the changes. It returns ErrStaleChanges when that would
// be an older version, and the copy itself when nothing changed.
func (c *View) WithChanges(changes *configpb.Changes) (*View, error) {
	if changes.GetVersion() < c.version {
		return nil, fmt.Errorf("%w: version %d, the copy has %d", ErrStaleChanges, changes.GetVersion(), c.version)
	}
	if changes.GetVersion() == c.version {
		return c, nil
	}
	records := make(map[string]*configpb.Record)
	if !changes.GetFull() {
		maps.Copy(records, c.records)
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

// Version returns the version of the copy.
func (c *View) Version() uint64 { return c.version }

// Get returns the record of a key, or nil.
func (c *View) Get(key string) *configpb.Record { return c.records[key] }

// Quarantined reports whether a request must not run.
func (c *View) Quarantined(fingerprint []byte) bool {
	return c.records[QuarantineKey(fingerprint)] != nil
}

// Suspected reports whether a request must run alone.
func (c *View) Suspected(fingerprint []byte) bool {
	return c.records[SuspectKey(fingerprint)] != nil
}

// PlannedStop returns the planned stop that names a backend server, its host or its
// failure domain, or nil.
func (c *View) PlannedStop(server, host, failureDomain string) *configpb.Record {
	for _, key := range []string{
		StopKey(configpb.StopScope_STOP_SCOPE_SERVER, server),
		StopKey(configpb.StopScope_STOP_SCOPE_HOST, host),
		StopKey(configpb.StopScope_STOP_SCOPE_FAILURE_DOMAIN, failureDomain),
	} {
		if record := c.records[key]; record != nil {
			return record
		}
	}
	return nil
}

// Placement returns where a shard's replicas are, or nil.
func (c *View) Placement(shard uint64) *configpb.Placement {
	return c.records[PlacementKey(shard)].GetPlacement()
}

// EngineOrder returns what an engine shall load and do, or nil.
func (c *View) EngineOrder(server string) *configpb.EngineOrder {
	return c.records[EngineOrderKey(server)].GetEngineOrder()
}

// List returns all records whose keys begin with a prefix like "stop/", by key.
func (c *View) List(prefix string) []*configpb.Record {
	var list []*configpb.Record
	for _, key := range slices.Sorted(maps.Keys(c.records)) {
		if strings.HasPrefix(key, prefix) {
			list = append(list, c.records[key])
		}
	}
	return list
}
