package wal

import (
	"fmt"
	"io"
	"path/filepath"
)

// TempSuffix is the suffix of the names of incomplete files. Files that are left
// over from a crash can be removed at start.
const TempSuffix = ".tmp"

// WriteFileAtomic replaces a file durably: after a crash it holds either the old
// or the new content. The directory must exist. It writes to a temporary file next
// to the target, so at most one writer of a file may run at a time.
func WriteFileAtomic(fs FS, name string, write func(io.Writer) error) error {
	return WriteFileAtomicWithTemp(fs, name, name+TempSuffix, func(f File) error { return write(f) })
}

// WriteFileAtomicWithTemp is like WriteFileAtomic and takes the name of the temporary
// file. Concurrent writers of the same file must use different temporary files. The function
// may sync what it has written so far; the rest is synced after it.
func WriteFileAtomicWithTemp(fs FS, name, temp string, write func(File) error) error {
	if err := writeSynced(fs, temp, write); err != nil {
		_ = fs.Remove(temp) // if this fails, the next start removes the file
		return fmt.Errorf("wal: write %s: %w", temp, err)
	}
	if err := fs.Rename(temp, name); err != nil {
		_ = fs.Remove(temp)
		return fmt.Errorf("wal: rename %s to %s: %w", temp, name, err)
	}
	if err := fs.SyncDir(filepath.Dir(name)); err != nil {
		return fmt.Errorf("wal: sync directory of %s: %w", name, err)
	}
	return nil
}

func writeSynced(fs FS, name string, write func(File) error) error {
	f, err := fs.Create(name)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := write(f); err != nil {
		return err
	}
	return f.Sync()
}
