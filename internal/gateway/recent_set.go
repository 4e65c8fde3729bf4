package gateway

import (
	"sync"
	"time"
)

// recentSet is a set whose keys expire between one and three periods after they were
// added. It is safe for concurrent use.
type recentSet struct {
	period time.Duration

	mu       sync.Mutex
	rotated  time.Time           // start of the current period
	current  map[string]struct{} // keys added in the current period
	previous map[string]struct{} // keys added in the period before
}

func newRecentSet(period time.Duration) *recentSet {
	return &recentSet{period: period, current: make(map[string]struct{})}
}

func (s *recentSet) add(key string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	s.current[key] = struct{}{}
}

func (s *recentSet) has(key string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	_, inCurrent := s.current[key]
	_, inPrevious := s.previous[key]
	return inCurrent || inPrevious
}

// rotate starts a new period if the current one has elapsed, and drops expired keys.
// The caller holds the mutex.
func (s *recentSet) rotate(now time.Time) {
	elapsed := now.Sub(s.rotated)
	if elapsed < s.period {
		return
	}
	s.previous = s.current
	if elapsed >= 2*s.period {
		s.previous = nil
	}
	s.current = make(map[string]struct{})
	s.rotated = now
}
