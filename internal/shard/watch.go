package shard

// maxWatchers limits how many programs are watched at a time. One more closes all
// channels, so that channels of programs that never change do not accumulate.
const maxWatchers = 16384

// Watch returns a channel that is closed at the program's next change, and
// possibly earlier. A caller that waits for a condition calls Watch first, then
// checks the condition, and repeats both when the channel is closed.
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

// notify closes the channel of a program, if it is watched.
func (s *State) notify(id programID) {
	ch, ok := s.watchers[id]
	if !ok {
		return
	}
	delete(s.watchers, id)
	close(ch)
}

// notifyAll closes the channels of all watched programs.
func (s *State) notifyAll() {
	for id := range s.watchers {
		s.notify(id)
	}
}
