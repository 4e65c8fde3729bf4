package history

import (
	"maps"
	"slices"
)

// Compact rewrites segments of which less than half is in use and removes their
// files. Its caller must know that no local snapshot that may still be restored
// refers to a dropped body. Reads and writes go on meanwhile.
func (s *Store) Compact() error {
	s.syncMu.Lock()
	defer s.syncMu.Unlock()
	for _, seg := range s.sparseSegments() {
		if err := s.rewrite(seg); err != nil {
			return err
		}
	}
	return nil
}

// sparseSegments returns the segments to rewrite, oldest first.
func (s *Store) sparseSegments() []*segment {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var sparse []*segment
	for _, number := range slices.Sorted(maps.Keys(s.segments)) {
		seg := s.segments[number]
		if seg != s.active && seg.live*100 < seg.size*compactBelow {
			sparse = append(sparse, seg)
		}
	}
	return sparse
}

// rewrite appends the bodies of a segment to the active one, makes them durable
// and only then removes the file.
func (s *Store) rewrite(seg *segment) error {
	for _, id := range s.idsIn(seg) {
		if err := s.move(id, seg); err != nil {
			return err
		}
	}
	if err := s.syncDirty(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.removeSegment(seg); err != nil {
		return err
	}
	return syncFolder(s.dir)
}

func (s *Store) idsIn(seg *segment) []uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var ids []uint64
	for id, at := range s.index {
		if at.segment == seg.number {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// move appends a body again, unless it left the segment in the meantime.
func (s *Store) move(id uint64, seg *segment) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.index[id]
	if !ok || at.segment != seg.number {
		return nil
	}
	body, err := seg.read(id, at)
	if err != nil {
		return err
	}
	return s.append(id, body)
}
