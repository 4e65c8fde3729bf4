package wal

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

const (
	filePerm = 0o640
	dirPerm  = 0o750
)

// OS returns the file system of the operating system.
func OS() FS {
	return osFS{}
}

type osFS struct{}

func (fs osFS) MkdirAll(dir string) error {
	if err := os.MkdirAll(dir, dirPerm); err != nil {
		return err
	}
	return fs.SyncDir(filepath.Dir(dir))
}

func (osFS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, filePerm)
}

func (osFS) Open(name string) (File, error) {
	return os.Open(name)
}

func (osFS) Rename(oldName, newName string) error {
	return os.Rename(oldName, newName)
}

func (osFS) Remove(name string) error {
	return os.Remove(name)
}

func (osFS) Truncate(name string, size int64) error {
	return os.Truncate(name, size)
}

func (osFS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, entry := range entries {
		if !entry.IsDir() {
			names = append(names, entry.Name())
		}
	}
	return names, nil
}

func (osFS) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

func (osFS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, filePerm)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("%w: %s: %w", ErrLocked, name, err)
		}
		return nil, fmt.Errorf("wal: lock %s: %w", name, err)
	}
	return f, nil
}
