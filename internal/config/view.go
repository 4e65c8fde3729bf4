package config

import (
	"ibistray.example/ibistray/proto/configpb"
)

// Version returns the version of the configuration.
func (s *State) Version() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.version
}

// Changed returns a channel that is closed at the next change. A caller that
// waits for a condition takes the channel first and then checks.
func (s *State) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// Get returns the record of a key, or nil.
func (s *State) Get(key string) *configpb.Record {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.live(key)
}

// ChangesSince returns what brings a copy of the given version to the current
// one: the changed records, or all of them when the copy is new or too old. A
// copy that is newer than this state gets no records and the older version.
func (s *State) ChangesSince(version uint64) *configpb.Changes {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if version >= s.version {
		return &configpb.Changes{Version: s.version}
	}
	full := version < s.forgotten || version == 0
	if full {
		version = 0
	}
	changes := &configpb.Changes{Version: s.version, Full: full}
	for _, record := range s.since(version) {
		if full && record.GetDeleted() {
			continue
		}
		changes.Records = append(changes.Records, record)
	}
	return changes
}
