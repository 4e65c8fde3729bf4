// Package waltest provides an in-memory file system for tests. It tracks which data is
// synced, simulates power failures and injects errors.
package waltest

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"ibistray.example/ibistray/internal/wal"
)

// Errors that a Fault injects.
var (
	ErrSync    = errors.New("waltest: input/output error")
	ErrNoSpace = fmt.Errorf("waltest: %w", syscall.ENOSPC)
)

// FS is an in-memory implementation of wal.FS. Written data is durable after File.Sync;
// created, renamed and removed files are durable after SyncDir. It is safe for
// concurrent use.
type FS struct {
	mu           sync.Mutex
	files        map[string]*fileData // by name, as processes see them
	durableFiles map[string]*fileData // by name, as of the last SyncDir
	locks        map[string]bool
	fault        Fault
	syncCount    int
	openFiles    int
}

// Fault selects the errors and delays that the file system injects.
type Fault struct {
	FailSync  bool          // File.Sync and SyncDir return ErrSync
	NoSpace   bool          // File.Write writes half of the data and returns ErrNoSpace
	Full      Op            // these operations change nothing and return ErrNoSpace
	Capacity  int           // bytes of all files above which File.Write is cut short and returns ErrNoSpace; 0: no limit
	SyncDelay time.Duration // duration of File.Sync
	// FullAfterRename is the suffix of a name: once a file has been renamed to such a name,
	// File.Write fails as with NoSpace. Empty: none.
	FullAfterRename string
	// NoSpaceFor is the suffix of the names of files for which File.Write fails as with NoSpace,
	// while others still fit. Empty: none.
	NoSpaceFor string
	// Err is the error of the operations that the other fields make fail for want of room; nil:
	// ErrNoSpace.
	Err error
	// Hang delays all operations on files and directories until it is closed. nil: none.
	Hang <-chan struct{}
}

// wait returns once operations no longer hang.
func (f *FS) wait() {
	f.mu.Lock()
	hang := f.fault.Hang
	f.mu.Unlock()
	if hang != nil {
		<-hang
	}
}

// noSpace returns the error of an operation that needs room. The caller holds f.mu.
func (f *FS) noSpace() error {
	if f.fault.Err != nil {
		return fmt.Errorf("waltest: %w", f.fault.Err)
	}
	return ErrNoSpace
}

// Op is a set of operations.
type Op uint8

// Operations that need room on the disk.
const (
	OpCreate Op = 1 << iota
	OpWrite
	OpSync
	OpSyncDir
	OpRename
	OpRemove // on file systems that copy on write
)

// fileData is the content of a file.
type fileData struct {
	data      []byte
	syncedLen int // length of the durable prefix of data
}

// New returns an empty file system.
func New() *FS {
	return &FS{
		files:        make(map[string]*fileData),
		durableFiles: make(map[string]*fileData),
		locks:        make(map[string]bool),
	}
}

// SetFault replaces the injected faults. The zero Fault injects none.
func (f *FS) SetFault(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// SyncCount returns the number of successful calls of File.Sync.
func (f *FS) SyncCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.syncCount
}

// OpenFiles returns the number of files that were opened or created and not closed.
func (f *FS) OpenFiles() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.openFiles
}

// PersistFunc returns the content of a file after a power failure. synced is the
// durable prefix of written.
type PersistFunc func(name string, synced, written []byte) []byte

// LoseUnsynced is a PersistFunc that keeps only the synced data.
func LoseUnsynced(_ string, synced, _ []byte) []byte {
	return synced
}

// Crash returns the file system as it is after a power failure. The original stays
// usable for processes that still have it open.
func (f *FS) Crash(persist PersistFunc) *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	after := New()
	for name, c := range f.durableFiles {
		data := bytes.Clone(persist(name, c.data[:c.syncedLen], c.data))
		file := &fileData{data: data, syncedLen: len(data)}
		after.files[name] = file
		after.durableFiles[name] = file
	}
	return after
}

// ModifyFile durably replaces the content of a file by the result of change. Tests use
// it to damage files and to inspect them. The file must exist.
func (f *FS) ModifyFile(name string, change func([]byte) []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.files[name]
	c.data = change(bytes.Clone(c.data))
	c.syncedLen = len(c.data)
}

// Files returns the sorted names of all files with the suffix.
func (f *FS) Files(suffix string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name := range f.files {
		if strings.HasSuffix(name, suffix) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// MkdirAll does nothing: all directories exist.
func (f *FS) MkdirAll(string) error {
	return nil
}

// Create implements wal.FS.
func (f *FS) Create(name string) (wal.File, error) {
	f.wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fault.Full&OpCreate != 0 {
		return nil, f.noSpace()
	}
	c := new(fileData)
	f.files[name] = c
	f.openFiles++
	return &openFile{fs: f, name: name, content: c}, nil
}

// Open implements wal.FS.
func (f *FS) Open(name string) (wal.File, error) {
	f.wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	c, found := f.files[name]
	if !found {
		return nil, fmt.Errorf("waltest: open %s: %w", name, fs.ErrNotExist)
	}
	f.openFiles++
	return &openFile{fs: f, name: name, content: c}, nil
}

// Rename implements wal.FS.
func (f *FS) Rename(oldName, newName string) error {
	f.wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	c, found := f.files[oldName]
	if !found {
		return fmt.Errorf("waltest: rename %s: %w", oldName, fs.ErrNotExist)
	}
	if f.fault.Full&OpRename != 0 {
		return f.noSpace()
	}
	delete(f.files, oldName)
	f.files[newName] = c
	if suffix := f.fault.FullAfterRename; suffix != "" && strings.HasSuffix(newName, suffix) {
		f.fault.NoSpace = true
	}
	return nil
}

// Remove implements wal.FS.
func (f *FS) Remove(name string) error {
	f.wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, found := f.files[name]; !found {
		return fmt.Errorf("waltest: remove %s: %w", name, fs.ErrNotExist)
	}
	if f.fault.Full&OpRemove != 0 {
		return f.noSpace()
	}
	delete(f.files, name)
	return nil
}

// Truncate implements wal.FS.
func (f *FS) Truncate(name string, size int64) error {
	f.wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	c, found := f.files[name]
	if !found || size > int64(len(c.data)) {
		return fmt.Errorf("waltest: truncate %s: %w", name, fs.ErrInvalid)
	}
	c.data = c.data[:size:size]
	c.syncedLen = min(c.syncedLen, len(c.data))
	return nil
}

// List implements wal.FS.
func (f *FS) List(dir string) ([]string, error) {
	f.wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name := range f.files {
		if filepath.Dir(name) == filepath.Clean(dir) {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

// SyncDir implements wal.FS.
func (f *FS) SyncDir(dir string) error {
	f.wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fault.FailSync {
		return ErrSync
	}
	if f.fault.Full&OpSyncDir != 0 {
		return f.noSpace()
	}
	dir = filepath.Clean(dir)
	for name := range f.durableFiles {
		if filepath.Dir(name) == dir {
			delete(f.durableFiles, name)
		}
	}
	for name, c := range f.files {
		if filepath.Dir(name) == dir {
			f.durableFiles[name] = c
		}
	}
	return nil
}

// Lock implements wal.FS.
func (f *FS) Lock(name string) (io.Closer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.locks[name] {
		return nil, fmt.Errorf("%w: %s", wal.ErrLocked, name)
	}
	f.locks[name] = true
	return &fileLock{fs: f, name: name}, nil
}

type fileLock struct {
	fs   *FS
	name string
}

func (l *fileLock) Close() error {
	l.fs.mu.Lock()
	defer l.fs.mu.Unlock()
	delete(l.fs.locks, l.name)
	return nil
}

type openFile struct {
	fs      *FS
	name    string // when it was opened
	content *fileData
	offset  int
	closed  bool
}

func (f *openFile) Read(buf []byte) (int, error) {
	f.fs.wait()
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.offset >= len(f.content.data) {
		return 0, io.EOF
	}
	n := copy(buf, f.content.data[f.offset:])
	f.offset += n
	return n, nil
}

func (f *openFile) Write(data []byte) (int, error) {
	f.fs.wait()
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	written := f.fs.room(f.name, len(data))
	if written < len(data) {
		f.content.data = append(f.content.data, data[:written]...)
		return written, f.fs.noSpace()
	}
	f.content.data = append(f.content.data, data...)
	return len(data), nil
}

// room returns how many of size bytes can be written to a file. The caller holds f.mu.
func (f *FS) room(name string, size int) int {
	suffix := f.fault.NoSpaceFor
	switch {
	case f.fault.Full&OpWrite != 0:
		return 0
	case f.fault.NoSpace || suffix != "" && strings.HasSuffix(name, suffix):
		return size / 2
	case f.fault.Capacity > 0:
		return max(0, min(size, f.fault.Capacity-f.used()))
	}
	return size
}

// Used returns the bytes of all files.
func (f *FS) Used() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.used()
}

func (f *FS) used() int {
	total := 0
	for _, c := range f.files {
		total += len(c.data)
	}
	return total
}

func (f *openFile) Sync() error {
	f.fs.wait()
	f.fs.mu.Lock()
	duration := f.fs.fault.SyncDelay
	f.fs.mu.Unlock()
	time.Sleep(duration)
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.fs.fault.FailSync {
		return ErrSync
	}
	if f.fs.fault.Full&OpSync != 0 {
		return f.fs.noSpace()
	}
	f.fs.syncCount++
	f.content.syncedLen = len(f.content.data)
	return nil
}

func (f *openFile) Close() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if !f.closed {
		f.closed = true
		f.fs.openFiles--
	}
	return nil
}
