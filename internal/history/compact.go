package history

import (
	"maps"
	"slices"
)

// Compact reclaims the disk space of dropped bodies: for each inactive segment in which
// live records take up less than half of the space, it copies these records to the
// active segment and removes the file. The caller must ensure that no local snapshot
// that may still be restored refers to a dropped body. Reads and writes continue during
// compaction.
func (s *Store) Compact() error {
	s.syncMu.Lock()
	defer s.syncMu.Unlock()
	for _, seg := range s.segmentsToCompact() {
		if err := s.rewriteSegment(seg); err != nil {
			return err
		}
	}
	return nil
}

// segmentsToCompact returns the inactive segments whose live share is below
// compactThresholdPercent, oldest first.
func (s *Store) segmentsToCompact() []*segment {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var selected []*segment
	for _, number := range slices.Sorted(maps.Keys(s.segments)) {
		seg := s.segments[number]
		if seg != s.active && seg.liveBytes*100 < seg.size*compactThresholdPercent {
			selected = append(selected, seg)
		}
	}
	return selected
}

// rewriteSegment copies the live bodies of a segment to the active one. It removes the
// old file only after the copies are durable.
func (s *Store) rewriteSegment(seg *segment) error {
	for _, id := range s.idsInSegment(seg) {
		if err := s.moveBody(id, seg); err != nil {
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
	return syncDirectory(s.dir)
}

func (s *Store) idsInSegment(seg *segment) []uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var ids []uint64
	for id, loc := range s.index {
		if loc.segment == seg.number {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// moveBody copies a body to the active segment, unless it was dropped or replaced since
// the segment's IDs were listed.
func (s *Store) moveBody(id uint64, seg *segment) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	loc, ok := s.index[id]
	if !ok || loc.segment != seg.number {
		return nil
	}
	body, err := seg.read(id, loc)
	if err != nil {
		return err
	}
	return s.append(id, body)
}
