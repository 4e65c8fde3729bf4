package replica

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math"
	"path/filepath"
	"strings"
	"sync/atomic"

	"ibistray.example/ibistray/internal/wal"
)

const (
	snapshotSuffix = ".snap"
	// maxSnapshotIndex is above the index of any snapshot.
	maxSnapshotIndex = math.MaxUint64
)

// snapshotStore stores the snapshot files of all groups. The write-ahead log holds
// the metadata of the current snapshot of each group; files that do not match it
// are ignored.
type snapshotStore struct {
	fs        wal.FS
	dir       string
	tempFiles atomic.Uint64 // counter for unique names of temporary files
}

// open creates the directory and removes what takes room without being needed: incomplete files,
// and snapshots newer than the one that the log names, which a host leaves whose disk fills up
// in between. An older snapshot may still be needed, because the log may not be durable yet.
func (s *snapshotStore) open(recovered map[uint64]*wal.GroupState) error {
	if err := s.fs.MkdirAll(s.dir); err != nil {
		return fmt.Errorf("%w: %w", ErrStorage, err)
	}
	return s.removeFiles(func(name string) bool {
		group, index, ok := parseSnapshotName(name)
		recorded := recordedSnapshot(recovered, group)
		return strings.HasSuffix(name, wal.TempSuffix) || ok && recorded > 0 && index > recorded
	})
}

// removeUnused removes all snapshots but those that the log names. The log must be durable.
func (s *snapshotStore) removeUnused(recovered map[uint64]*wal.GroupState) error {
	return s.removeFiles(func(name string) bool {
		group, index, ok := parseSnapshotName(name)
		return ok && index != recordedSnapshot(recovered, group)
	})
}

// recordedSnapshot returns the index of the snapshot of a group that the log names; 0: none.
func recordedSnapshot(recovered map[uint64]*wal.GroupState, group uint64) uint64 {
	if state := recovered[group]; state != nil {
		return state.Snapshot.GetIndex()
	}
	return 0
}

// removeFiles removes the files of the directory that a function selects by their names.
func (s *snapshotStore) removeFiles(unneeded func(name string) bool) error {
	names, err := s.fs.List(s.dir)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrStorage, err)
	}
	for _, name := range names {
		if !unneeded(name) {
			continue
		}
		if err := s.fs.Remove(filepath.Join(s.dir, name)); err != nil {
			return fmt.Errorf("%w: %w", ErrStorage, err)
		}
	}
	return nil
}

func (s *snapshotStore) path(group, index uint64) string {
	return filepath.Join(s.dir, fmt.Sprintf("%016x-%016x%s", group, index, snapshotSuffix))
}

// parseSnapshotName returns the group and the index in the name of a snapshot file.
func parseSnapshotName(name string) (group, index uint64, ok bool) {
	n, err := fmt.Sscanf(name, "%16x-%16x"+snapshotSuffix, &group, &index)
	return group, index, err == nil && n == 2 && strings.HasSuffix(name, snapshotSuffix)
}

// syncBytes of a snapshot are made durable at a time. One sync of a large file at its end would
// hold up those of the write-ahead log, on which every request waits.
const syncBytes = 512 << 10

// syncedWriter makes a file durable part by part.
type syncedWriter struct {
	file     wal.File
	unsynced int // bytes
}

func (s *syncedWriter) Write(data []byte) (int, error) {
	n, err := s.file.Write(data)
	s.unsynced += n
	if err != nil || s.unsynced < syncBytes {
		return n, err
	}
	s.unsynced = 0
	return n, s.file.Sync()
}

// write stores the snapshot that the given function writes, durably and atomically.
func (s *snapshotStore) write(group, index uint64, write func(io.Writer) error) error {
	path := s.path(group, index)
	temp := fmt.Sprintf("%s.%d%s", path, s.tempFiles.Add(1), wal.TempSuffix)
	writeParts := func(file wal.File) error { return write(&syncedWriter{file: file}) }
	if err := wal.WriteFileAtomicWithTemp(s.fs, path, temp, writeParts); err != nil {
		return fmt.Errorf("%w: snapshot of group %d at index %d: %w", ErrStorage, group, index, err)
	}
	return nil
}

// errSnapshotSource means that a state machine could not write its snapshot for another reason than
// an error of the snapshot file. It may have failed to make durable what the snapshot refers to,
// which cannot be tried again: the next fsync could report success without writing it.
var errSnapshotSource = errors.New("replica: the state machine wrote no snapshot")

// fileWriter records whether a write of a snapshot file has failed.
type fileWriter struct {
	io.Writer
	failed bool
}

func (w *fileWriter) Write(data []byte) (int, error) {
	n, err := w.Writer.Write(data)
	w.failed = w.failed || err != nil
	return n, err
}

// save stores the snapshot of a state machine that a function writes, and returns its size in
// bytes. Error besides ErrStorage: errSnapshotSource.
func (s *snapshotStore) save(group, index uint64, snapshot func(io.Writer) error) (size int64, err error) {
	err = s.write(group, index, func(w io.Writer) error {
		file := &fileWriter{Writer: w}
		chunks := newChunkWriter(file)
		if err := snapshot(chunks); err != nil {
			if !file.failed {
				err = fmt.Errorf("%w: %w", errSnapshotSource, err)
			}
			return err
		}
		size = chunks.size()
		return chunks.Close()
	})
	return size, err
}

// receive stores a snapshot from another host. It returns ErrInvalidSnapshot if a chunk
// is truncated or corrupt.
func (s *snapshotStore) receive(group, index uint64, r io.Reader) error {
	return s.write(group, index, func(w io.Writer) error {
		chunks := newChunkWriter(w)
		if _, err := io.Copy(chunks, newChunkReader(r)); err != nil {
			return err
		}
		return chunks.Close()
	})
}

// openFile opens the file of a snapshot.
func (s *snapshotStore) openFile(group, index uint64) (wal.File, error) {
	file, err := s.fs.Open(s.path(group, index))
	if err != nil {
		return nil, fmt.Errorf("%w: snapshot of group %d at index %d: %w", ErrStorage, group, index, err)
	}
	return file, nil
}

// restore replaces the state of a state machine with a stored snapshot, which the log names, and
// returns the size of the snapshot in bytes. Error besides ErrStorage: wal.ErrCorrupt, if the file is
// missing, truncated or fails a checksum. A state machine that cannot decode intact data is not
// such a case: another copy of the data would be no better.
func (s *snapshotStore) restore(group, index uint64, sm StateMachine) (size int64, err error) {
	file, err := s.openFile(group, index)
	if errors.Is(err, fs.ErrNotExist) {
		err = fmt.Errorf("%w: %w", wal.ErrCorrupt, err)
	}
	if err != nil {
		return 0, err
	}
	defer file.Close()
	chunks := newChunkReader(file)
	err = sm.Restore(chunks)
	if err == nil {
		// Verify the chunks that the state machine has not read, up to the end marker.
		_, err = io.Copy(io.Discard, chunks)
	}
	if chunks.damaged {
		err = fmt.Errorf("%w: %w", wal.ErrCorrupt, err)
	}
	if err != nil {
		return 0, fmt.Errorf("%w: restore group %d from snapshot at index %d: %w", ErrStorage, group, index, err)
	}
	return chunks.size, nil
}

// removeBefore removes the snapshots of a group that are older than index.
func (s *snapshotStore) removeBefore(group, index uint64) error {
	return s.removeFiles(func(name string) bool {
		fileGroup, fileIndex, ok := parseSnapshotName(name)
		return ok && fileGroup == group && fileIndex < index
	})
}
