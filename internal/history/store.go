// Package history stores the bodies of calls and answers in append-only segment
// files, with an index in memory. A body is durable once a Sync that was called
// after its Put has returned. Compact reclaims the disk space of dropped bodies.
package history

import (
	"errors"
	"fmt"
	"os"
	"sync"

	"ibistray.example/ibistray/internal/shard"
)

// Errors of this package.
var (
	ErrCorrupt = errors.New("history: damaged record")
	ErrClosed  = errors.New("history: store is closed")
)

const (
	segmentBytes            = 64 << 20 // size at which a segment is full
	compactThresholdPercent = 50       // share of live bytes below which Compact rewrites a segment
	directoryMode           = 0o750
	fileMode                = 0o640
)

// Store keeps the bodies of one shard in one directory. It implements
// shard.BodyStore and is safe for concurrent use.
type Store struct {
	dir          string
	segmentLimit int64 // size in bytes at which a segment is full

	// syncMu serializes Sync, Compact, Reset and Close, so that none of them closes a
	// segment file that another one uses. It is locked before mu.
	syncMu sync.Mutex
	// syncErr is the error of the first file that could not be synced. Another fsync of that file
	// could report success without writing it. Guarded by syncMu.
	syncErr error

	mu       sync.RWMutex
	index    map[uint64]location
	segments map[uint32]*segment
	active   *segment // takes new records; nil until the first record
	closed   bool
}

// location is the position of a body on disk.
type location struct {
	segment uint32
	offset  uint32 // of the record, in bytes
	length  uint32 // of the body, in bytes
}

var _ shard.BodyStore = (*Store)(nil)

// Open opens the store in a directory, which it creates if needed. It reads all
// records to rebuild the index, and truncates a torn write at the end of the newest
// segment. It returns ErrCorrupt if an older segment has an invalid record, and
// errors of the file system.
func Open(dir string) (*Store, error) {
	return open(dir, segmentBytes)
}

func open(dir string, segmentLimit int64) (*Store, error) {
	if err := os.MkdirAll(dir, directoryMode); err != nil {
		return nil, fmt.Errorf("history: create directory: %w", err)
	}
	s := &Store{dir: dir, segmentLimit: segmentLimit, index: make(map[uint64]location), segments: make(map[uint32]*segment)}
	if err := s.load(); err != nil {
		s.closeFiles()
		return nil, err
	}
	return s, nil
}

// Put appends a body. It replaces an earlier body of the same ID. The body is durable
// only after Sync.
func (s *Store) Put(id uint64, body []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.append(id, body)
}

func (s *Store) append(id uint64, body []byte) error {
	if s.closed {
		return ErrClosed
	}
	if s.active == nil || s.active.size >= s.segmentLimit {
		if err := s.startSegment(); err != nil {
			return err
		}
	}
	offset, err := s.active.append(id, body)
	if err != nil {
		return fmt.Errorf("history: append body %d: %w", id, err)
	}
	s.setLocation(id, location{segment: s.active.number, offset: offset, length: uint32(len(body))}) // at most maxBodyBytes, checked by append
	return nil
}

// setLocation makes the index refer to the newest record of a body and updates the
// live bytes of the segments.
func (s *Store) setLocation(id uint64, loc location) {
	s.clearLocation(id)
	s.index[id] = loc
	s.segments[loc.segment].liveBytes += recordBytes(loc.length)
}

func (s *Store) clearLocation(id uint64) {
	loc, ok := s.index[id]
	if !ok {
		return
	}
	s.segments[loc.segment].liveBytes -= recordBytes(loc.length)
	delete(s.index, id)
}

// Get reads a body and verifies its checksum. It returns shard.ErrNoBody if the store
// has no such body, ErrCorrupt if the record is invalid, and ErrClosed.
func (s *Store) Get(id uint64) ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.closed {
		return nil, ErrClosed
	}
	loc, ok := s.index[id]
	if !ok {
		return nil, fmt.Errorf("history: body %d: %w", id, shard.ErrNoBody)
	}
	return s.segments[loc.segment].read(id, loc)
}

// Drop removes a body from the index. Its record stays on disk until Compact removes
// it. A body that does not exist is ignored.
func (s *Store) Drop(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clearLocation(id)
}

// Retain removes all bodies but the given ones from the index, as needed after a
// restore from a local snapshot. If one of them does not exist, it removes nothing
// and returns shard.ErrNoBody.
func (s *Store) Retain(ids []uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	keep := make(map[uint64]bool, len(ids))
	for _, id := range ids {
		if _, ok := s.index[id]; !ok {
			return fmt.Errorf("history: body %d: %w", id, shard.ErrNoBody)
		}
		keep[id] = true
	}
	for id := range s.index {
		if !keep[id] {
			s.clearLocation(id)
		}
	}
	return nil
}

// Sync makes all bodies durable that were put before the call. Once a file could not be synced, it
// returns that error until Reset: the caller must open the store again and put the bodies again.
func (s *Store) Sync() error {
	s.syncMu.Lock()
	defer s.syncMu.Unlock()
	return s.syncDirty()
}

// syncDirty syncs all segments with unsynced records. It does not hold mu meanwhile, so
// that reads and writes continue. The caller holds syncMu.
func (s *Store) syncDirty() error {
	if s.syncErr != nil {
		return s.syncErr
	}
	dirty := s.takeDirty()
	for i, seg := range dirty {
		if err := seg.file.Sync(); err != nil {
			s.markDirty(dirty[i:])
			s.syncErr = fmt.Errorf("history: sync segment %d: %w", seg.number, err)
			return s.syncErr
		}
	}
	if len(dirty) == 0 {
		return nil
	}
	if err := syncDirectory(s.dir); err != nil {
		s.markDirty(dirty)
		return err
	}
	return nil
}

func (s *Store) takeDirty() []*segment {
	s.mu.Lock()
	defer s.mu.Unlock()
	var dirty []*segment
	for _, seg := range s.segments {
		if seg.dirty {
			seg.dirty = false
			dirty = append(dirty, seg)
		}
	}
	return dirty
}

func (s *Store) markDirty(segments []*segment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, seg := range segments {
		seg.dirty = true
	}
}

// Reset removes all bodies and deletes their files.
func (s *Store) Reset() error {
	s.syncMu.Lock()
	defer s.syncMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index = make(map[uint64]location)
	s.active, s.syncErr = nil, nil
	for _, seg := range s.segments {
		if err := s.removeSegment(seg); err != nil {
			return err
		}
	}
	return syncDirectory(s.dir)
}

// Close closes the files without syncing them.
func (s *Store) Close() {
	s.syncMu.Lock()
	defer s.syncMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.closeFiles()
}

func (s *Store) closeFiles() {
	for _, seg := range s.segments {
		seg.file.Close()
	}
}

// Stats describes the size of a store.
type Stats struct {
	Bodies    int
	LiveBytes int64 // size of the records that the index refers to
	DiskBytes int64 // size of all segment files
	Segments  int
}

// Stats returns the current size of the store.
func (s *Store) Stats() Stats {
	s.mu.RLock()
	defer s.mu.RUnlock()
	stats := Stats{Bodies: len(s.index), Segments: len(s.segments)}
	for _, seg := range s.segments {
		stats.LiveBytes += seg.liveBytes
		stats.DiskBytes += seg.size
	}
	return stats
}
