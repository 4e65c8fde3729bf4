// Package blackboard holds the snapshots that controllers share. A Cell keeps
// one value with a version. Readers take the current snapshot without a lock
// and never wait; writers replace the whole value (copy on write).
package blackboard

import (
	"sync"
	"sync/atomic"
)

// Snapshot is one state of a cell. It is immutable: neither the cell nor its
// readers change what Value refers to.
type Snapshot[T any] struct {
	Value   T
	Version uint64 // 1 for the initial value, +1 for each update

	superseded chan struct{}
}

// Superseded returns a channel that is closed once a newer snapshot is in place.
func (s *Snapshot[T]) Superseded() <-chan struct{} {
	return s.superseded
}

// Cell is a typed, versioned value. It is safe for concurrent use and must be
// made by NewCell.
type Cell[T any] struct {
	current atomic.Pointer[Snapshot[T]]
	writers sync.Mutex // serialises updates; readers never take it
}

// NewCell returns a cell that holds initial as version 1.
func NewCell[T any](initial T) *Cell[T] {
	c := &Cell[T]{}
	c.current.Store(newSnapshot(initial, 1))
	return c
}

func newSnapshot[T any](value T, version uint64) *Snapshot[T] {
	return &Snapshot[T]{
		Value:      value,
		Version:    version,
		superseded: make(chan struct{}),
	}
}

// Load returns the current value. The caller must not change what it refers to.
func (c *Cell[T]) Load() T {
	return c.current.Load().Value
}

// Version returns the version of the current value.
func (c *Cell[T]) Version() uint64 {
	return c.current.Load().Version
}

// Snapshot returns the current value, its version and the means to wait for
// the next one, all of the same state.
func (c *Cell[T]) Snapshot() *Snapshot[T] {
	return c.current.Load()
}

// Store replaces the value and returns the new version.
func (c *Cell[T]) Store(value T) uint64 {
	return c.Update(func(T) T { return value })
}

// Update replaces the value by what fn returns and returns the new version. No
// update is lost: concurrent calls run one after the other, and fn is called
// exactly once. fn must not change what the old value refers to and must not
// update the same cell.
func (c *Cell[T]) Update(fn func(old T) T) uint64 {
	c.writers.Lock()
	defer c.writers.Unlock()
	old := c.current.Load()
	next := newSnapshot(fn(old.Value), old.Version+1)
	c.current.Store(next)
	close(old.superseded)
	return next.Version
}

// Watch returns the current version and a channel that is closed once a newer
// one is in place. A watcher that is slow sees the newest value and may miss
// those between.
func (c *Cell[T]) Watch() (version uint64, changed <-chan struct{}) {
	s := c.current.Load()
	return s.Version, s.superseded
}
