// Package waltest has a file system in memory for tests. It keeps apart what was
// written and what was synced, and returns the errors that a test asks for.
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
	"time"

	"ibistray.example/ibistray/internal/wal"
)

// Errors that the file system returns when a test asks for them.
var (
	ErrSync    = errors.New("waltest: input/output error")
	ErrNoSpace = errors.New("waltest: no space left on device")
)

// FS is a file system in memory that implements wal.FS. Changes of files are
// durable after File.Sync, and changes of folders after SyncDir.
type FS struct {
	mu      sync.Mutex
	names   map[string]*content // as processes see it
	durable map[string]*content // after SyncDir
	locked  map[string]bool
	fault   Fault
	syncs   int
}

// Fault says which errors the file system returns.
type Fault struct {
	FailSync  bool          // File.Sync returns ErrSync
	NoSpace   bool          // File.Write writes half of the data and returns ErrNoSpace
	SyncDelay time.Duration // how long File.Sync takes
}

// content is the data of a file.
type content struct {
	data   []byte
	synced int // bytes at the start of data
}

// New returns an empty file system.
func New() *FS {
	return &FS{
		names:   make(map[string]*content),
		durable: make(map[string]*content),
		locked:  make(map[string]bool),
	}
}

// SetFault replaces the errors that the file system returns.
func (f *FS) SetFault(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// SyncCount returns how often a file was synced.
func (f *FS) SyncCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.syncs
}

// PersistFunc decides which bytes of a file remain after a crash. It gets the synced
// and the written data and returns what is on the disk.
type PersistFunc func(name string, synced, written []byte) []byte

// LoseUnsynced is a PersistFunc that keeps only the synced data.
func LoseUnsynced(_ string, synced, _ []byte) []byte {
	return synced
}

// Crash returns the file system that is found after a power failure. The
// original stays usable for the processes that still hold it.
func (f *FS) Crash(tear PersistFunc) *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	after := New()
	for name, c := range f.durable {
		data := bytes.Clone(tear(name, c.data[:c.synced], c.data))
		file := &content{data: data, synced: len(data)}
		after.names[name] = file
		after.durable[name] = file
	}
	return after
}

// ModifyFile replaces the data of a file, durably, as damage does.
func (f *FS) ModifyFile(name string, change func([]byte) []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.names[name]
	c.data = change(bytes.Clone(c.data))
	c.synced = len(c.data)
}

// Files returns the sorted names of all files that end in suffix.
func (f *FS) Files(suffix string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name := range f.names {
		if strings.HasSuffix(name, suffix) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// MkdirAll does nothing: folders exist.
func (f *FS) MkdirAll(string) error {
	return nil
}

// Create implements wal.FS.
func (f *FS) Create(name string) (wal.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := new(content)
	f.names[name] = c
	return &file{fs: f, content: c}, nil
}

// Open implements wal.FS.
func (f *FS) Open(name string) (wal.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, found := f.names[name]
	if !found {
		return nil, fmt.Errorf("waltest: open %s: %w", name, fs.ErrNotExist)
	}
	return &file{fs: f, content: c}, nil
}

// Rename implements wal.FS.
func (f *FS) Rename(oldName, newName string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, found := f.names[oldName]
	if !found {
		return fmt.Errorf("waltest: rename %s: %w", oldName, fs.ErrNotExist)
	}
	delete(f.names, oldName)
	f.names[newName] = c
	return nil
}

// Remove implements wal.FS.
func (f *FS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, found := f.names[name]; !found {
		return fmt.Errorf("waltest: remove %s: %w", name, fs.ErrNotExist)
	}
	delete(f.names, name)
	return nil
}

// List implements wal.FS.
func (f *FS) List(dir string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name := range f.names {
		if filepath.Dir(name) == filepath.Clean(dir) {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

// SyncDir implements wal.FS.
func (f *FS) SyncDir(dir string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fault.FailSync {
		return ErrSync
	}
	dir = filepath.Clean(dir)
	for name := range f.durable {
		if filepath.Dir(name) == dir {
			delete(f.durable, name)
		}
	}
	for name, c := range f.names {
		if filepath.Dir(name) == dir {
			f.durable[name] = c
		}
	}
	return nil
}

// Lock implements wal.FS.
func (f *FS) Lock(name string) (io.Closer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.locked[name] {
		return nil, fmt.Errorf("%w: %s", wal.ErrLocked, name)
	}
	f.locked[name] = true
	return &lock{fs: f, name: name}, nil
}

type lock struct {
	fs   *FS
	name string
}

func (l *lock) Close() error {
	l.fs.mu.Lock()
	defer l.fs.mu.Unlock()
	delete(l.fs.locked, l.name)
	return nil
}

type file struct {
	fs      *FS
	content *content
	offset  int
}

func (f *file) Read(buf []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.offset >= len(f.content.data) {
		return 0, io.EOF
	}
	n := copy(buf, f.content.data[f.offset:])
	f.offset += n
	return n, nil
}

func (f *file) Write(data []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.fs.fault.NoSpace {
		half := len(data) / 2
		f.content.data = append(f.content.data, data[:half]...)
		return half, ErrNoSpace
	}
	f.content.data = append(f.content.data, data...)
	return len(data), nil
}

func (f *file) Sync() error {
	f.fs.mu.Lock()
	duration := f.fs.fault.SyncDelay
	f.fs.mu.Unlock()
	time.Sleep(duration)
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.fs.fault.FailSync {
		return ErrSync
	}
	f.fs.syncs++
	f.content.synced = len(f.content.data)
	return nil
}

func (f *file) Close() error {
	return nil
}
