// Package blackboard provides versioned values that controllers share. Readers load the
// current snapshot of a Cell without a lock; writers replace the whole value (copy on
// write).
package blackboard

import (
	"sync"
	"sync/atomic"
)

// Snapshot is the state of a cell at one version. It is immutable: nothing that Value
// refers to may be changed.
type Snapshot[T any] struct {
	Value   T
	Version uint64 // 1 for the initial value, incremented by each update

	superseded chan struct{}
}

// Superseded returns a channel that is closed when the cell has a newer snapshot.
func (s *Snapshot[T]) Superseded() <-chan struct{} {
	return s.superseded
}

// Cell holds a versioned value. It is safe for concurrent use and must be created with
// NewCell.
type Cell[T any] struct {
	current  atomic.Pointer[Snapshot[T]]
	updateMu sync.Mutex // serializes updates; readers do not take it
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

// Snapshot returns the current snapshot: a value, its version, and a channel to wait for
// the next version.
func (c *Cell[T]) Snapshot() *Snapshot[T] {
	return c.current.Load()
}

// Store replaces the value and returns the new version.
func (c *Cell[T]) Store(value T) uint64 {
	return c.Update(func(T) T { return value })
}

// Update replaces the value with the result of fn and returns the new version. It calls
// fn exactly once and serializes concurrent updates, so none is lost. fn must not change
// what the old value refers to, and must not update the same cell, which would deadlock.
func (c *Cell[T]) Update(fn func(old T) T) uint64 {
	c.updateMu.Lock()
	defer c.updateMu.Unlock()
	old := c.current.Load()
	next := newSnapshot(fn(old.Value), old.Version+1)
	c.current.Store(next)
	close(old.superseded)
	return next.Version
}

// Watch returns the current version and a channel that is closed when there is a newer
// one. A slow watcher may miss versions in between, but it always sees the latest.
func (c *Cell[T]) Watch() (version uint64, changed <-chan struct{}) {
	s := c.current.Load()
	return s.Version, s.superseded
}
