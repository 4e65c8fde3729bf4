package shard

// NextExpiry returns when the next time limit is due, in milliseconds since the
// Unix epoch; ok is false if there is none. Before that time, an Expire does not
// change any program.
func (s *State) NextExpiry() (ms int64, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	p := s.due.peek()
	if p == nil {
		return 0, false
	}
	return p.dueMs, true
}
