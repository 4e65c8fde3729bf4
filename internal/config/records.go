package config

import (
	"maps"
	"slices"
	"strings"

	"ibistray.example/ibistray/proto/configpb"
)

// MaxTombstones is how many deletions are remembered at least for ChangesSince.
// A copy that is older than that gets the whole configuration.
const MaxTombstones = 4096

// deletionSlack is how many more deletions are kept, so that the older ones are
// looked for once in so many changes.
const deletionSlack = 512

// put creates or replaces a record.
func (s *State) put(op *configpb.Put) *configpb.Result {
	key := keyOf(op.GetRecord())
	if refusal := s.checkVersion(key, op.GetExpectedVersion()); refusal != nil {
		return &configpb.Result{Refusal: refusal}
	}
	if s.live(key) == nil && s.counts[kindOf(key)] >= limits[kindOf(key)] {
		return refused(configpb.Reason_REASON_TABLE_FULL, "there are %d records of kind %q", s.counts[kindOf(key)], kindOf(key))
	}
	s.beginChange()
	record := &configpb.Record{Key: key, Value: op.GetRecord().GetValue()}
	s.stamp(record)
	s.store(record)
	if record.GetQuarantine() != nil {
		s.drop(SuspectKey(record.GetQuarantine().GetFingerprint()))
	}
	return s.changeResult()
}

// stamp sets what the group decides in a record's value.
func (s *State) stamp(record *configpb.Record) {
	switch v := record.GetValue().(type) {
	case *configpb.Record_Stop:
		v.Stop.AnnouncedMs = s.nowMs
	case *configpb.Record_Quarantine:
		v.Quarantine.SinceMs = s.nowMs
	case *configpb.Record_EngineOrder:
		v.EngineOrder.Fence = s.version
	}
}

// remove deletes a record.
func (s *State) remove(op *configpb.Delete) *configpb.Result {
	if refusal := s.checkVersion(op.GetKey(), op.GetExpectedVersion()); refusal != nil {
		return &configpb.Result{Refusal: refusal}
	}
	if s.live(op.GetKey()) == nil {
		return refused(configpb.Reason_REASON_INVALID, "there is no record %q", op.GetKey())
	}
	s.beginChange()
	s.drop(op.GetKey())
	return s.changeResult()
}

// checkVersion lets exactly one of two changes with equal expected versions
// through.
func (s *State) checkVersion(key string, expected uint64) *configpb.Refusal {
	current := s.live(key)
	if expected == current.GetVersion() {
		return nil
	}
	refusal := refuse(configpb.Reason_REASON_VERSION_CONFLICT,
		"expected version %d of %q, version %d is in force", expected, key, current.GetVersion())
	refusal.Winner = current
	return refusal
}

// live returns the record of a key, or nil when there is none.
func (s *State) live(key string) *configpb.Record {
	record := s.records[key]
	if record.GetDeleted() {
		return nil
	}
	return record
}

// beginChange gives the command its version.
func (s *State) beginChange() {
	s.version++
	s.touched = nil
}

// changeResult ends the change and returns its records.
func (s *State) changeResult() *configpb.Result {
	s.endChange()
	return &configpb.Result{Records: s.touched}
}

// endChange forgets old deletions and wakes watchers.
func (s *State) endChange() {
	s.forgetDeletions()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *State) store(record *configpb.Record) {
	record.Version = s.version
	if s.live(record.GetKey()) == nil {
		s.counts[kindOf(record.GetKey())]++
	}
	s.set(record)
}

func (s *State) set(record *configpb.Record) {
	s.records[record.GetKey()] = record
	s.touched = append(s.touched, record)
}

// drop replaces a record by its deletion.
func (s *State) drop(key string) {
	if s.live(key) == nil {
		return
	}
	s.counts[kindOf(key)]--
	s.set(&configpb.Record{Key: key, Version: s.version, Deleted: true})
}

// forgetDeletions keeps the newest MaxDeletions deletions, once there are
// deletionSlack more.
func (s *State) forgetDeletions() {
	excess := len(s.records) - s.liveCount() - MaxTombstones
	if excess <= deletionSlack {
		return
	}
	for _, record := range sorted(s.records) {
		if excess > 0 && record.GetDeleted() {
			delete(s.records, record.GetKey())
			s.forgotten = max(s.forgotten, record.GetVersion())
			excess--
		}
	}
}

func (s *State) liveCount() int {
	n := 0
	for _, count := range s.counts {
		n += count
	}
	return n
}

// since returns the records that changed after a version, with deletions.
func (s *State) since(version uint64) []*configpb.Record {
	changed := make(map[string]*configpb.Record)
	for key, record := range s.records {
		if record.GetVersion() > version {
			changed[key] = record
		}
	}
	return sorted(changed)
}

// sorted returns records by version and key.
func sorted(records map[string]*configpb.Record) []*configpb.Record {
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
