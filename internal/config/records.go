package config

import (
	"maps"
	"slices"
	"strings"

	"ibistray.example/ibistray/proto/configpb"
)

// RetainedTombstones is how many of the newest deletions are always stored for
// ChangesSince. A view that is older than these gets the whole configuration.
const RetainedTombstones = 4096

// tombstoneSlack is how many more tombstones may accumulate, so that the scan for
// the oldest ones runs only once in so many deletions.
const tombstoneSlack = 512

// put applies a Put: it creates or replaces a record.
func (s *State) put(op *configpb.Put) *configpb.Result {
	key := keyOf(op.GetRecord())
	if refusal := s.checkVersion(key, op.GetExpectedVersion()); refusal != nil {
		return &configpb.Result{Refusal: refusal}
	}
	if s.find(key) == nil && s.counts[kindOf(key)] >= maxRecords[kindOf(key)] {
		return refusedResult(configpb.Reason_REASON_TABLE_FULL, "there are %d records of kind %q", s.counts[kindOf(key)], kindOf(key))
	}
	s.beginChange()
	record := &configpb.Record{Key: key, Value: op.GetRecord().GetValue()}
	s.setAssignedFields(record)
	s.store(record)
	if record.GetQuarantine() != nil {
		s.deleteRecord(SuspectKey(record.GetQuarantine().GetFingerprint()))
	}
	return s.changeResult()
}

// setAssignedFields sets the fields that the state machine assigns, not the caller:
// times and the fencing token.
func (s *State) setAssignedFields(record *configpb.Record) {
	switch v := record.GetValue().(type) {
	case *configpb.Record_Stop:
		v.Stop.AnnouncedMs = s.nowMs
	case *configpb.Record_Quarantine:
		v.Quarantine.SinceMs = s.nowMs
	case *configpb.Record_EngineOrder:
		v.EngineOrder.Fence = s.version
	}
}

// remove applies a Delete.
func (s *State) remove(op *configpb.Delete) *configpb.Result {
	if refusal := s.checkVersion(op.GetKey(), op.GetExpectedVersion()); refusal != nil {
		return &configpb.Result{Refusal: refusal}
	}
	if s.find(op.GetKey()) == nil {
		return refusedResult(configpb.Reason_REASON_INVALID, "there is no record %q", op.GetKey())
	}
	s.beginChange()
	s.deleteRecord(op.GetKey())
	return s.changeResult()
}

// checkVersion refuses a change whose expected version is not the current version
// of the record. Only the first of several concurrent changes is therefore accepted.
func (s *State) checkVersion(key string, expected uint64) *configpb.Refusal {
	current := s.find(key)
	if expected == current.GetVersion() {
		return nil
	}
	refusal := newRefusal(configpb.Reason_REASON_VERSION_CONFLICT,
		"expected version %d of %q, version %d is in force", expected, key, current.GetVersion())
	refusal.Winner = current
	return refusal
}

// find returns the record of a key, or nil when there is none or it was deleted.
func (s *State) find(key string) *configpb.Record {
	record := s.records[key]
	if record.GetDeleted() {
		return nil
	}
	return record
}

// beginChange assigns the next version to the command that is being applied.
func (s *State) beginChange() {
	s.version++
	s.changedRecords = nil
}

// changeResult ends the change and returns a result with the changed records.
func (s *State) changeResult() *configpb.Result {
	s.endChange()
	return &configpb.Result{Records: s.changedRecords}
}

// endChange prunes old tombstones and wakes the waiters of Changed.
func (s *State) endChange() {
	s.pruneTombstones()
	close(s.changed)
	s.changed = make(chan struct{})
}

// store writes a record with the version of the current change.
func (s *State) store(record *configpb.Record) {
	record.Version = s.version
	if s.find(record.GetKey()) == nil {
		s.counts[kindOf(record.GetKey())]++
	}
	s.write(record)
}

// write adds a record to the state and to the changed records of the command.
func (s *State) write(record *configpb.Record) {
	s.records[record.GetKey()] = record
	s.changedRecords = append(s.changedRecords, record)
}

// deleteRecord replaces a record by a tombstone, from which views learn of the
// deletion. It does nothing when there is no record.
func (s *State) deleteRecord(key string) {
	if s.find(key) == nil {
		return
	}
	s.counts[kindOf(key)]--
	s.write(&configpb.Record{Key: key, Version: s.version, Deleted: true})
}

// pruneTombstones deletes all but the newest RetainedTombstones tombstones, once
// there are more than tombstoneSlack others.
func (s *State) pruneTombstones() {
	excess := len(s.records) - s.liveCount() - RetainedTombstones
	if excess <= tombstoneSlack {
		return
	}
	for _, record := range sortedByVersion(s.records) {
		if excess > 0 && record.GetDeleted() {
			delete(s.records, record.GetKey())
			s.prunedVersion = max(s.prunedVersion, record.GetVersion())
			excess--
		}
	}
}

// liveCount returns the number of records without tombstones.
func (s *State) liveCount() int {
	n := 0
	for _, count := range s.counts {
		n += count
	}
	return n
}

// changedSince returns the records that changed after a version, tombstones included.
func (s *State) changedSince(version uint64) []*configpb.Record {
	changed := make(map[string]*configpb.Record)
	for key, record := range s.records {
		if record.GetVersion() > version {
			changed[key] = record
		}
	}
	return sortedByVersion(changed)
}

// sortedByVersion returns the records sorted by version, then by key.
func sortedByVersion(records map[string]*configpb.Record) []*configpb.Record {
	return slices.SortedFunc(maps.Values(records), func(a, b *configpb.Record) int {
		if a.GetVersion() != b.GetVersion() {
			if a.GetVersion() < b.GetVersion() {
				return -1
			}
			return 1
		}
		return strings.Compare(a.GetKey(), b.GetKey())
	})
}
