// Package spill moves bodies that do not fit the memory to files on the local disk. The files are
// not a durable copy: they are never synced, and those of an earlier store are not read.
// Bodies are removed from the disk once the garbage collector finds that nothing refers to them.
package spill

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"ibistray.example/ibistray/internal/panics"
)

// Errors of this package.
var (
	// ErrUnreadable is returned for a body that cannot be read or differs from what was written.
	ErrUnreadable = errors.New("spill: body is unreadable")
	// ErrFull is returned for a body that exceeds the limit of the store.
	ErrFull = errors.New("spill: limit reached")
	// ErrClosed is returned after Close.
	ErrClosed = errors.New("spill: store is closed")

	errChecksum = errors.New("checksum differs")
)

const (
	segmentBytes = 4 << 20 // size at which a segment is full
	// A store whose disk refuses a write does not write again within retryDelay.
	retryDelay = time.Second
	dirMode    = 0o700
	fileMode   = 0o600
)

// Store holds bodies in the files of one directory. It is safe for concurrent use.
type Store struct {
	dir          string
	limit        int64 // of the size of all files, in bytes
	maxLimit     int64 // for PutBeyond
	segmentBytes int64

	// writeMu serializes writes to the active segment. It is locked before mu.
	writeMu    sync.Mutex
	retryAfter time.Time // no write is tried before; guarded by writeMu

	mu       sync.Mutex // guards what follows and the locations of records; never held during reads and writes
	active   *segment   // takes new records; nil until the first one
	segments map[*segment]struct{}
	last     uint64 // number of the newest segment
	bodies   int
	live     int64 // bytes of the bodies
	size     int64 // bytes of all segments
	failures int64
	closed   bool

	compaction     sync.WaitGroup
	compacting     bool // guarded by mu
	nextCompaction time.Time
}

// Body is a body on disk. It never changes.
type Body struct {
	store  *Store
	record *record
}

// record is the location of a body, which compaction changes.
type record struct {
	segment  *segment
	offset   int64
	checksum uint64
	length   uint32
	position uint32 // in the records of the segment
}

// RemoveFiles removes the files that an earlier store has left in a directory, which need not exist.
func RemoveFiles(dir string) error {
	entries, err := os.ReadDir(dir)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("spill: list files: %w", err)
	}
	for _, entry := range entries {
		if err := os.Remove(filepath.Join(dir, entry.Name())); err != nil {
			return fmt.Errorf("spill: remove files: %w", err)
		}
	}
	return nil
}

// New returns an empty store in a directory, which is created with the first body. Its files have
// at most limit bytes and replace those of an earlier store.
func New(dir string, limit int64) *Store { return NewWithReserve(dir, limit, 0) }

// NewWithReserve is like New for a store whose files may exceed the limit by a reserve, in bytes, for
// PutBeyond.
func NewWithReserve(dir string, limit, reserve int64) *Store {
	return &Store{dir: dir, limit: limit, maxLimit: limit + reserve, segmentBytes: min(segmentBytes, max(limit/8, 1)), segments: make(map[*segment]struct{})}
}

// Put writes a body, which is the concatenation of the parts. Errors: ErrFull, ErrClosed and those
// of the file system, after which nothing is written for a while. They are counted.
func (s *Store) Put(parts ...[]byte) (*Body, error) { return s.putWithin(s.limit, parts) }

// PutBeyond is like Put, but takes the reserve too.
func (s *Store) PutBeyond(parts ...[]byte) (*Body, error) { return s.putWithin(s.maxLimit, parts) }

func (s *Store) putWithin(limit int64, parts [][]byte) (*Body, error) {
	hash := xxhash.New()
	length := 0
	for _, part := range parts {
		_, _ = hash.Write(part) // never fails
		length += len(part)
	}
	r := &record{checksum: hash.Sum64(), length: uint32(length)}
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if err := s.put(r, limit, parts); err != nil {
		s.mu.Lock()
		s.failures++
		s.mu.Unlock()
		return nil, err
	}
	b := &Body{store: s, record: r}
	runtime.AddCleanup(b, func(r *record) { _ = panics.Contain(nil, "spill", func() { s.drop(r) }) }, r)
	return b, nil
}

func (s *Store) put(r *record, limit int64, parts [][]byte) error {
	if !time.Now().After(s.retryAfter) {
		return fmt.Errorf("%w: the disk has refused a write", ErrFull)
	}
	if size := s.Stats().DiskBytes; size+int64(r.length) > limit {
		s.startCompaction()
		return fmt.Errorf("%w: %d of %d bytes are in use", ErrFull, size, limit)
	}
	seg, offset, err := s.write(r, parts)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bodies++
	s.live += int64(r.length)
	s.place(r, seg, offset)
	return nil
}

// write writes a body to the active segment. The caller holds writeMu.
func (s *Store) write(r *record, parts [][]byte) (*segment, int64, error) {
	seg, err := s.segmentFor(int64(r.length))
	if err != nil {
		s.retryAfter = time.Now().Add(retryDelay)
		return nil, 0, err
	}
	offset, err := seg.append(parts)
	if err != nil {
		s.retryAfter = time.Now().Add(retryDelay)
		s.seal()
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	seg.size += int64(r.length)
	s.size += int64(r.length)
	return seg, offset, nil
}

// place records where a body is. The caller holds mu.
func (s *Store) place(r *record, seg *segment, offset int64) {
	r.segment, r.offset, r.position = seg, offset, uint32(len(seg.records))
	seg.records = append(seg.records, r)
	seg.live += int64(r.length)
}

// displace removes a body from its segment. The caller holds mu.
func (s *Store) displace(r *record) {
	seg := r.segment
	last := seg.records[len(seg.records)-1]
	seg.records[r.position], last.position = last, r.position
	seg.records[len(seg.records)-1] = nil
	seg.records = seg.records[:len(seg.records)-1]
	seg.live -= int64(r.length)
}

// segmentFor returns the active segment, a new one if the active one has no room. The caller holds
// writeMu.
func (s *Store) segmentFor(length int64) (*segment, error) {
	s.mu.Lock()
	seg, closed, number := s.active, s.closed, s.last+1
	s.mu.Unlock()
	if closed {
		return nil, ErrClosed
	}
	if seg != nil && (seg.size == 0 || seg.size+length <= s.segmentBytes) {
		return seg, nil
	}
	s.seal()
	s.startCompaction()
	if err := os.MkdirAll(s.dir, dirMode); err != nil {
		return nil, fmt.Errorf("spill: create directory: %w", err)
	}
	seg, err := createSegment(filepath.Join(s.dir, fmt.Sprintf("%016x", number)))
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active, s.last = seg, number
	s.segments[seg] = struct{}{}
	return seg, nil
}

// seal ends the writing to the active segment.
func (s *Store) seal() {
	s.mu.Lock()
	seg := s.active
	s.active = nil
	unused := seg != nil && s.detachIfUnused(seg)
	s.mu.Unlock()
	if unused {
		seg.remove()
	}
}

// detachIfUnused forgets a segment without bodies that takes no further ones, and reports whether
// the caller must remove its file. The caller holds mu.
func (s *Store) detachIfUnused(seg *segment) bool {
	if _, found := s.segments[seg]; !found || seg == s.active || len(seg.records) > 0 {
		return false
	}
	delete(s.segments, seg)
	s.size -= seg.size
	return true
}

// drop removes a body that nothing refers to.
func (s *Store) drop(r *record) {
	if seg := s.forget(r); seg != nil {
		seg.remove()
	}
}

// forget removes a body and returns the segment whose file the caller must remove, or nil.
func (s *Store) forget(r *record) *segment {
	s.mu.Lock()
	defer s.mu.Unlock()
	seg := r.segment
	s.displace(r)
	s.bodies--
	s.live -= int64(r.length)
	if s.detachIfUnused(seg) {
		return seg
	}
	return nil
}

// Len returns the length of a body in bytes.
func (b *Body) Len() int { return int(b.record.length) }

// Checksum returns the xxhash of a body as it was put.
func (b *Body) Checksum() uint64 { return b.record.checksum }

// Read returns a body. Errors: ErrUnreadable, ErrClosed.
func (b *Body) Read() ([]byte, error) {
	defer runtime.KeepAlive(b)
	return b.store.read(b.record)
}

func (s *Store) read(r *record) ([]byte, error) {
	for {
		s.mu.Lock()
		seg, offset, closed := r.segment, r.offset, s.closed
		s.mu.Unlock()
		if closed {
			return nil, ErrClosed
		}
		content, err := seg.read(offset, int(r.length))
		if err == nil && xxhash.Sum64(content) != r.checksum {
			err = errChecksum
		}
		if err == nil {
			return content, nil
		}
		if s.isAt(r, seg) {
			return nil, fmt.Errorf("%w: %d bytes at %d in %s: %w", ErrUnreadable, r.length, offset, seg.path, err)
		}
		// Compaction has moved the body.
	}
}

// isAt reports whether a body is still in a segment.
func (s *Store) isAt(r *record, seg *segment) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.segment == seg && !s.closed
}

// Stats describes the contents of a store.
type Stats struct {
	Bodies    int
	LiveBytes int64 // of the bodies
	DiskBytes int64 // of the files
	Failures  int64 // bodies that were not written
}

// Stats returns the current contents of the store.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{Bodies: s.bodies, LiveBytes: s.live, DiskBytes: s.size, Failures: s.failures}
}

// Close ends reads and writes and removes the files.
func (s *Store) Close() {
	s.writeMu.Lock()
	s.mu.Lock()
	s.closed = true
	segments := s.segments
	s.segments, s.active = make(map[*segment]struct{}), nil
	s.mu.Unlock()
	s.writeMu.Unlock()
	s.compaction.Wait()
	for seg := range segments {
		seg.remove()
	}
}
