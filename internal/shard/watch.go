package shard

// Watch returns a channel that is closed at the program's next change. A
// caller that waits for a condition takes the channel first and then checks.
func (s *State) Watch(customer, program string) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := programID{customer: customer, program: program}
	ch, ok := s.watchers[id]
	if !ok {
		ch = make(chan struct{})
		s.watchers[id] = ch
	}
	return ch
}

func (s *State) notify(id programID) {
	ch, ok := s.watchers[id]
	if !ok {
		return
	}
	delete(s.watchers, id)
	close(ch)
}

// notifyAll wakes each watcher after the state was replaced.
func (s *State) notifyAll() {
	for id := range s.watchers {
		s.notify(id)
	}
}
