package wal

import "io"

// FS is the part of a file system that the log and the snapshots need. Tests
// replace it to lose unsynced data and to return errors.
type FS interface {
	// MkdirAll creates a folder and its parents and makes them durable.
	MkdirAll(dir string) error
	// Create creates an empty file for appending. An existing file is emptied.
	Create(name string) (File, error)
	// Open opens a file for reading.
	Open(name string) (File, error)
	// Rename replaces newName by oldName. SyncDir makes it durable.
	Rename(oldName, newName string) error
	// Remove removes a file. SyncDir makes it durable.
	Remove(name string) error
	// List returns the sorted names of the files in a folder.
	List(dir string) ([]string, error)
	// SyncDir makes creations, renames and removals in a folder durable.
	SyncDir(dir string) error
	// Lock takes an exclusive lock until the result is closed. It returns an
	// error that wraps ErrLocked when another process holds it.
	Lock(name string) (io.Closer, error)
}

// File is an open file of FS.
type File interface {
	io.Reader
	io.Writer
	io.Closer
	// Sync makes the written data and the size durable.
	Sync() error
}
