package history

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
)

// load opens all segments in order of their numbers and rebuilds the index.
func (s *Store) load() error {
	numbers, err := s.segmentNumbers()
	if err != nil {
		return err
	}
	for i, number := range numbers {
		seg, err := s.openSegment(number)
		if err != nil {
			return err
		}
		if err := s.loadSegment(seg, i == len(numbers)-1); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) segmentNumbers() ([]uint32, error) {
	paths, err := filepath.Glob(filepath.Join(s.dir, "*.seg"))
	if err != nil {
		return nil, fmt.Errorf("history: list segments: %w", err)
	}
	var numbers []uint32
	for _, path := range paths {
		var number uint32
		if _, err := fmt.Sscanf(filepath.Base(path), "%08x.seg", &number); err != nil {
			return nil, fmt.Errorf("history: %q is not a segment file name: %w", filepath.Base(path), err)
		}
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	return numbers, nil
}

// loadSegment indexes the records of a segment. The newest segment may end in a torn
// write, which is truncated. If this loses a body to which a local snapshot
// refers, Retain returns shard.ErrNoBody when that snapshot is restored. An invalid
// record in an older segment is reported as ErrCorrupt.
func (s *Store) loadSegment(seg *segment, newest bool) error {
	end, err := seg.scan(s.setLocation)
	if err != nil {
		return err
	}
	if end == seg.size {
		return nil
	}
	if !newest {
		return fmt.Errorf("history: %s at byte %d: %w", segmentName(seg.number), end, ErrCorrupt)
	}
	if err := seg.file.Truncate(end); err != nil {
		return fmt.Errorf("history: truncate torn write in %s at byte %d: %w", segmentName(seg.number), end, err)
	}
	seg.size = end
	seg.dirty = true
	return nil
}

// openSegment opens or creates a segment file and makes it the active segment.
func (s *Store) openSegment(number uint32) (*segment, error) {
	path := filepath.Join(s.dir, segmentName(number))
	file, err := os.OpenFile(filepath.Clean(path), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, fmt.Errorf("history: open segment: %w", err)
	}
	info, err := file.Stat()
	if err != nil {
		file.Close()
		return nil, fmt.Errorf("history: open segment: %w", err)
	}
	seg := &segment{number: number, file: file, size: info.Size()}
	s.segments[number] = seg
	s.active = seg
	return seg, nil
}

// startSegment creates a new segment and makes it the active one.
func (s *Store) startSegment() error {
	var number uint32
	if s.active != nil {
		number = s.active.number + 1
	}
	_, err := s.openSegment(number)
	return err
}

func (s *Store) removeSegment(seg *segment) error {
	seg.file.Close()
	delete(s.segments, seg.number)
	if err := os.Remove(filepath.Join(s.dir, segmentName(seg.number))); err != nil {
		return fmt.Errorf("history: remove segment: %w", err)
	}
	return nil
}
