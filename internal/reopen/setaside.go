package reopen

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"ibistray.example/ibistray/internal/policy/setaside"
)

const (
	// DamagedPrefix is the prefix of the names of directories with damaged data.
	DamagedPrefix = "damaged-"
	dirMode       = 0o700
)

// SetAside moves the contents of a data directory into a new subdirectory whose name starts with
// DamagedPrefix. Earlier such subdirectories stay where they are.
func SetAside(dir string) error {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return fmt.Errorf("reopen: set damaged data aside: %w", err)
	}
	target := filepath.Join(dir, fmt.Sprintf("%s%d", DamagedPrefix, time.Now().UnixMilli()))
	if err := os.Mkdir(target, dirMode); err != nil {
		return fmt.Errorf("reopen: set damaged data aside: %w", err)
	}
	for _, entry := range entries {
		if strings.HasPrefix(entry.Name(), DamagedPrefix) {
			continue
		}
		if err := os.Rename(filepath.Join(dir, entry.Name()), filepath.Join(target, entry.Name())); err != nil {
			return fmt.Errorf("reopen: set damaged data aside: %w", err)
		}
	}
	return nil
}

// WasSetAside reports whether data of a directory was set aside.
func WasSetAside(dir string) bool {
	names, err := filepath.Glob(filepath.Join(dir, DamagedPrefix+"*"))
	return err == nil && len(names) > 0
}

// pruneDamaged removes the subdirectories with damaged data that must not stay on the disk, of the newest
// one only the contents, see WasSetAside. full reports whether the disk has refused a write.
func (c Config) pruneDamaged(full bool) {
	names, err := filepath.Glob(filepath.Join(c.Dir, DamagedPrefix+"*"))
	if err != nil || len(names) == 0 {
		return
	}
	disk := setaside.Disk{Bytes: c.DiskBytes, Full: full}
	if disk.Bytes <= 0 {
		disk.Bytes = fileSystemBytes(c.Dir)
	}
	var copies []setaside.Copy
	newest := names[len(names)-1]
	for _, name := range names {
		if bytes := sizeOf(name); bytes > 0 || name != newest {
			copies = append(copies, setaside.Copy{Name: name, Bytes: bytes})
		}
	}
	for _, removed := range setaside.Remove(copies, disk) {
		remove := os.RemoveAll
		if removed.Name == newest {
			remove = removeContents
		}
		err := remove(removed.Name)
		c.Log.Warn("damaged data that was set aside is removed: it takes too much of the disk", "directory", removed.Name, "bytes", removed.Bytes, "disk_bytes", disk.Bytes, "disk_full", full, "error", err)
	}
}

// removeContents removes what is in a directory.
func removeContents(dir string) error {
	entries, err := os.ReadDir(dir)
	for _, entry := range entries {
		err = errors.Join(err, os.RemoveAll(filepath.Join(dir, entry.Name())))
	}
	return err
}

// fileSystemBytes returns the size of the file system of a directory, 0 if not known.
func fileSystemBytes(dir string) int64 {
	var stat syscall.Statfs_t
	if syscall.Statfs(dir, &stat) != nil {
		return 0
	}
	return int64(stat.Blocks) * stat.Bsize
}

// sizeOf returns the size of the files in a directory that can be read, in bytes.
func sizeOf(dir string) int64 {
	var bytes int64
	_ = filepath.WalkDir(dir, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return nil
		}
		if info, err := entry.Info(); err == nil {
			bytes += info.Size()
		}
		return nil
	})
	return bytes
}
