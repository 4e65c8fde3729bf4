package config

import (
	"ibistray.example/ibistray/proto/configpb"
)

// Version returns the current version of the configuration.
func (s *State) Version() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.version
}

// Changed returns a channel that is closed at the next change. A caller that waits
// for a condition must get the channel before it checks the condition.
func (s *State) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// Get returns the record of a key, or nil when there is none.
func (s *State) Get(key string) *configpb.Record {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.find(key)
}

// ChangesSince returns the changes that bring a view of the given version to the
// current one: the changed records, or all records when the view is empty or older
// than the stored tombstones. For a view that is newer than this state it returns
// no records and the older version.
func (s *State) ChangesSince(version uint64) *configpb.Changes {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if version >= s.version {
		return &configpb.Changes{Version: s.version}
	}
	full := version < s.prunedVersion || version == 0
	if full {
		version = 0
	}
	changes := &configpb.Changes{Version: s.version, Full: full}
	for _, record := range s.changedSince(version) {
		if full && record.GetDeleted() {
			continue
		}
		changes.Records = append(changes.Records, record)
	}
	return changes
}
