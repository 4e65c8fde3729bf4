package shard

// NextExpiry returns when the next time limit is due, in milliseconds since the
// Unix epoch; ok is false while there is none. Until then Expire has nothing to
// do.
func (s *State) NextExpiry() (ms int64, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	p := s.due.first()
	if p == nil {
		return 0, false
	}
	return p.dueMs, true
}
