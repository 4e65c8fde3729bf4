package shard

// maxWatchers is how many programs are watched at a time. One more closes all
// channels, so that programs that never change do not fill the memory.
const maxWatchers = 16384

// Watch returns a channel that is closed at the program's next change, or
// earlier without one. A caller that waits for a condition takes the channel
// first, then checks, and starts again when the channel is closed.
func (s *State) Watch(customer, program string) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := programID{customer: customer, program: program}
	ch, ok := s.watchers[id]
	if ok {
		return ch
	}
	if len(s.watchers) >= maxWatchers {
		s.notifyAll()
	}
	ch = make(chan struct{})
	s.watchers[id] = ch
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
