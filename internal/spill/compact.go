package spill

import (
	"time"

	"ibistray.example/ibistray/internal/panics"
)

const (
	// Segments in which less than this share is referred to are rewritten.
	minLivePercent = 50
	// compactionInterval is the time between scans for such segments.
	compactionInterval = time.Second
	// panicRetryDelay is the time until a compaction is tried again that has panicked.
	panicRetryDelay = 30 * time.Second
)

// startCompaction rewrites segments in the background, unless it has been tried just now.
func (s *Store) startCompaction() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.closed || s.compacting || now.Before(s.nextCompaction) {
		return
	}
	s.compacting, s.nextCompaction = true, now.Add(compactionInterval)
	s.compaction.Go(func() {
		panicked := panics.Contain(nil, "spill", s.compact)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.compacting = false
		if panicked != nil {
			s.nextCompaction = time.Now().Add(panicRetryDelay)
		}
	})
}

// compact moves the bodies of segments that hold few to the active one, until a body cannot be
// moved.
func (s *Store) compact() {
	for _, seg := range s.sparseSegments() {
		for _, r := range s.recordsIn(seg) {
			if !s.move(r, seg) {
				return
			}
		}
	}
}

func (s *Store) sparseSegments() []*segment {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sparse []*segment
	for seg := range s.segments {
		if seg != s.active && seg.live*100 < seg.size*minLivePercent {
			sparse = append(sparse, seg)
		}
	}
	return sparse
}

func (s *Store) recordsIn(seg *segment) []*record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*record(nil), seg.records...)
}

// move moves a body out of a segment, unless it was dropped. It reports whether the next one can
// be moved. A body that cannot be read stays where it is.
func (s *Store) move(r *record, from *segment) bool {
	if !s.holds(from, r) {
		return true
	}
	content, err := s.read(r)
	if err != nil {
		return false
	}
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	to, offset, err := s.write(r, [][]byte{content})
	if err != nil {
		return false
	}
	if s.relocate(r, from, to, offset) {
		from.remove()
	}
	return true
}

// relocate records where a body was moved to, unless it was dropped, and reports whether the caller
// must remove the file that it was in.
func (s *Store) relocate(r *record, from, to *segment, offset int64) (unused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.holdsLocked(from, r) {
		return false
	}
	s.displace(r)
	s.place(r, to, offset)
	return s.detachIfUnused(from)
}

func (s *Store) holds(seg *segment, r *record) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holdsLocked(seg, r)
}

func (s *Store) holdsLocked(seg *segment, r *record) bool {
	return int(r.position) < len(seg.records) && seg.records[r.position] == r
}
