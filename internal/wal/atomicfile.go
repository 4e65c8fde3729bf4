package wal

import (
	"fmt"
	"io"
	"path/filepath"
)

// TempSuffix ends the names of files that are not complete. They can be removed
// at start.
const TempSuffix = ".tmp"

// WriteFileAtomic replaces a file durably: after a crash it holds either the old
// or the new content. The folder must exist.
func WriteFileAtomic(fs FS, name string, write func(io.Writer) error) error {
	return WriteFileAtomicWithTemp(fs, name, name+TempSuffix, write)
}

// WriteFileAtomicWithTemp is WriteFileAtomic with the name of the temporary file, for
// writers of the same file that may run at the same time.
func WriteFileAtomicWithTemp(fs FS, name, temp string, write func(io.Writer) error) error {
	if err := writeSynced(fs, temp, write); err != nil {
		_ = fs.Remove(temp) // the next start removes it otherwise
		return fmt.Errorf("wal: write %s: %w", temp, err)
	}
	if err := fs.Rename(temp, name); err != nil {
		return fmt.Errorf("wal: rename %s: %w", temp, err)
	}
	if err := fs.SyncDir(filepath.Dir(name)); err != nil {
		return fmt.Errorf("wal: sync folder of %s: %w", name, err)
	}
	return nil
}

func writeSynced(fs FS, name string, write func(io.Writer) error) error {
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
