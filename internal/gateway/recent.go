package gateway

import (
	"sync"
	"time"
)

// recentSet remembers keys for at least a period and at most two. It is safe for
// concurrent use.
type recentSet struct {
	period time.Duration

	mu       sync.Mutex
	begun    time.Time // of the young keys
	young    map[string]struct{}
	previous map[string]struct{}
}

func newRecentSet(period time.Duration) *recentSet {
	return &recentSet{period: period, young: make(map[string]struct{})}
}

func (s *recentSet) add(key string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.age(now)
	s.young[key] = struct{}{}
}

func (s *recentSet) has(key string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.age(now)
	_, young := s.young[key]
	_, previous := s.previous[key]
	return young || previous
}

// age drops the keys of the period before the last one.
func (s *recentSet) age(now time.Time) {
	elapsed := now.Sub(s.begun)
	if elapsed < s.period {
		return
	}
	s.previous = s.young
	if elapsed >= 2*s.period {
		s.previous = nil
	}
	s.young = make(map[string]struct{})
	s.begun = now
}
