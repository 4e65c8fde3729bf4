// Package history keeps the bodies of calls and answers in append-only segment
// files, with an index in memory. A body is durable once Sync returned after
// its Put. Dropped bodies leave the disk when Compact runs.
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
	ErrClosed  = errors.New("history: the store is closed")
)

const (
	segmentBytes  = 64 << 20 // a segment of this size gets no more records
	compactBelow  = 50       // percent of live bytes under which a segment is rewritten
	directoryMode = 0o750
	fileMode      = 0o640
)

// Store keeps the bodies of one shard in one folder. It implements
// shard.BodyStore. All methods may be called from any goroutine.
type Store struct {
	dir   string
	limit int64 // size from which a segment gets no more records

	// syncMu keeps segment files open while Sync, Compact and Reset use them.
	// It is taken before mu.
	syncMu sync.Mutex

	mu       sync.RWMutex
	index    map[uint64]location
	segments map[uint32]*segment
	active   *segment // takes new records; nil before the first one
	closed   bool
}

// location says where a body is.
type location struct {
	segment uint32
	offset  uint32 // of the record
	length  uint32 // of the body
}

var _ shard.BodyStore = (*Store)(nil)

// Open opens the store in a folder, which it creates if needed. It reads all
// records to rebuild the index, and cuts a torn tail off the newest segment.
// Errors: ErrCorrupt for damage in an older segment, and those of the file
// system.
func Open(dir string) (*Store, error) {
	return open(dir, segmentBytes)
}

func open(dir string, limit int64) (*Store, error) {
	if err := os.MkdirAll(dir, directoryMode); err != nil {
		return nil, fmt.Errorf("history: create folder: %w", err)
	}
	s := &Store{dir: dir, limit: limit, index: make(map[uint64]location), segments: make(map[uint32]*segment)}
	if err := s.load(); err != nil {
		s.closeFiles()
		return nil, err
	}
	return s, nil
}

// Put appends a body. A second Put of an ID replaces the first.
func (s *Store) Put(id uint64, body []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.append(id, body)
}

func (s *Store) append(id uint64, body []byte) error {
	if s.closed {
		return ErrClosed
	}
	if s.active == nil || s.active.size >= s.limit {
		if err := s.startSegment(); err != nil {
			return err
		}
	}
	offset, err := s.active.append(id, body)
	if err != nil {
		return fmt.Errorf("history: append body %d: %w", id, err)
	}
	s.place(id, location{segment: s.active.number, offset: offset, length: uint32(len(body))}) // bounded by append
	return nil
}

// place points the index to a body's newest record.
func (s *Store) place(id uint64, at location) {
	s.unplace(id)
	s.index[id] = at
	s.segments[at.segment].live += recordBytes(at.length)
}

func (s *Store) unplace(id uint64) {
	at, ok := s.index[id]
	if !ok {
		return
	}
	s.segments[at.segment].live -= recordBytes(at.length)
	delete(s.index, id)
}

// Get reads a body and checks it. Errors: shard.ErrNoBody, ErrCorrupt.
func (s *Store) Get(id uint64) ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.closed {
		return nil, ErrClosed
	}
	at, ok := s.index[id]
	if !ok {
		return nil, fmt.Errorf("history: body %d: %w", id, shard.ErrNoBody)
	}
	return s.segments[at.segment].read(id, at)
}

// Drop forgets a body. Its record stays on the disk until Compact.
func (s *Store) Drop(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unplace(id)
}

// Retain forgets all bodies but the given ones, as after a restore from a local
// snapshot. It returns shard.ErrNoBody when one of them is missing.
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
			s.unplace(id)
		}
	}
	return nil
}

// Sync returns when all bodies that were put before the call are durable.
func (s *Store) Sync() error {
	s.syncMu.Lock()
	defer s.syncMu.Unlock()
	return s.syncDirty()
}

// syncDirty syncs outside of mu, so that reads and writes go on.
func (s *Store) syncDirty() error {
	dirty := s.takeDirty()
	for _, seg := range dirty {
		if err := seg.file.Sync(); err != nil {
			s.markDirty(seg)
			return fmt.Errorf("history: sync segment %d: %w", seg.number, err)
		}
	}
	if len(dirty) == 0 {
		return nil
	}
	return syncFolder(s.dir)
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

func (s *Store) markDirty(seg *segment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seg.dirty = true
}

// Reset removes all bodies and their files.
func (s *Store) Reset() error {
	s.syncMu.Lock()
	defer s.syncMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index = make(map[uint64]location)
	s.active = nil
	for _, seg := range s.segments {
		if err := s.removeSegment(seg); err != nil {
			return err
		}
	}
	return syncFolder(s.dir)
}

// Close closes the files without a Sync.
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

// Stats are figures of a store for metrics.
type Stats struct {
	Bodies    int
	LiveBytes int64 // records in use
	DiskBytes int64 // all segment files
	Segments  int
}

// Stats returns the store's figures.
func (s *Store) Stats() Stats {
	s.mu.RLock()
	defer s.mu.RUnlock()
	stats := Stats{Bodies: len(s.index), Segments: len(s.segments)}
	for _, seg := range s.segments {
		stats.LiveBytes += seg.live
		stats.DiskBytes += seg.size
	}
	return stats
}
