package wal

import "io"

// FS is the part of a file system that the log and the snapshots need. Tests use an
// implementation that drops unsynced data and injects errors.
type FS interface {
	// MkdirAll creates a directory and its missing parents. The entry of the directory
	// in its parent is durable when it returns.
	MkdirAll(dir string) error
	// Create opens an empty file for appending. It truncates an existing file.
	Create(name string) (File, error)
	// Open opens a file for reading.
	Open(name string) (File, error)
	// Rename renames a file and replaces an existing newName. The change is durable
	// after SyncDir.
	Rename(oldName, newName string) error
	// Remove removes a file. The change is durable after SyncDir.
	Remove(name string) error
	// Truncate cuts a file off after size bytes. The change is durable after a Sync of the file.
	Truncate(name string, size int64) error
	// List returns the sorted names of the files in a directory.
	List(dir string) ([]string, error)
	// SyncDir makes creations, renames and removals in a directory durable.
	SyncDir(dir string) error
	// Lock takes an exclusive file lock, which is held until the result is closed. It
	// returns an error that wraps ErrLocked when another process holds the lock.
	Lock(name string) (io.Closer, error)
}

// File is an open file of FS.
type File interface {
	io.Reader
	io.Writer
	io.Closer
	// Sync makes the written data and the file size durable.
	Sync() error
}
