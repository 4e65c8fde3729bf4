package replica

import (
	"fmt"
	"io"
	"math"
	"path/filepath"
	"strings"
	"sync/atomic"

	"ibistray.example/ibistray/internal/wal"
)

const (
	snapshotSuffix = ".snap"
	// noSnapshotIndex is behind each index that a snapshot can have.
	noSnapshotIndex = math.MaxUint64
)

// snapshotStore keeps the snapshot files of all groups. The metadata of the
// current snapshot of a group stands in the write-ahead log; a file that is not
// named there is not used.
type snapshotStore struct {
	fs      wal.FS
	dir     string
	writers atomic.Uint64 // numbers temporary files
}

// open creates the folder and removes files that are not complete.
func (s *snapshotStore) open() error {
	if err := s.fs.MkdirAll(s.dir); err != nil {
		return fmt.Errorf("%w: %w", ErrStorage, err)
	}
	names, err := s.fs.List(s.dir)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrStorage, err)
	}
	for _, name := range names {
		if !strings.HasSuffix(name, wal.TempSuffix) {
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

// parseSnapshotName returns group and index of a snapshot file.
func parseSnapshotName(name string) (group, index uint64, ok bool) {
	n, err := fmt.Sscanf(name, "%16x-%16x"+snapshotSuffix, &group, &index)
	return group, index, err == nil && n == 2 && strings.HasSuffix(name, snapshotSuffix)
}

// write stores a snapshot durably.
func (s *snapshotStore) write(group, index uint64, write func(io.Writer) error) error {
	path := s.path(group, index)
	temp := fmt.Sprintf("%s.%d%s", path, s.writers.Add(1), wal.TempSuffix)
	if err := wal.WriteFileAtomicWithTemp(s.fs, path, temp, write); err != nil {
		return fmt.Errorf("%w: snapshot of group %d at %d: %w", ErrStorage, group, index, err)
	}
	return nil
}

// take writes the state of a state machine.
func (s *snapshotStore) take(group, index uint64, sm StateMachine) error {
	return s.write(group, index, func(w io.Writer) error {
		chunks := newChunkWriter(w)
		if err := sm.Snapshot(chunks); err != nil {
			return err
		}
		return chunks.Close()
	})
}

// receive stores a snapshot that another host sends. It checks each chunk.
func (s *snapshotStore) receive(group, index uint64, r io.Reader) error {
	return s.write(group, index, func(w io.Writer) error {
		chunks := newChunkWriter(w)
		if _, err := io.Copy(chunks, newChunkReader(r)); err != nil {
			return err
		}
		return chunks.Close()
	})
}

// open returns the file of a snapshot.
func (s *snapshotStore) openFile(group, index uint64) (wal.File, error) {
	file, err := s.fs.Open(s.path(group, index))
	if err != nil {
		return nil, fmt.Errorf("%w: snapshot of group %d at %d: %w", ErrStorage, group, index, err)
	}
	return file, nil
}

// restore replaces the state of a state machine by a snapshot.
func (s *snapshotStore) restore(group, index uint64, sm StateMachine) error {
	file, err := s.openFile(group, index)
	if err != nil {
		return err
	}
	defer file.Close()
	chunks := newChunkReader(file)
	if err := sm.Restore(chunks); err != nil {
		return fmt.Errorf("%w: restore group %d from %d: %w", ErrStorage, group, index, err)
	}
	// A state machine may stop before the end mark.
	if _, err := io.Copy(io.Discard, chunks); err != nil {
		return fmt.Errorf("%w: restore group %d from %d: %w", ErrStorage, group, index, err)
	}
	return nil
}

// removeBefore removes the snapshots of a group that are older than index.
func (s *snapshotStore) removeBefore(group, index uint64) error {
	names, err := s.fs.List(s.dir)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrStorage, err)
	}
	for _, name := range names {
		fileGroup, fileIndex, ok := parseSnapshotName(name)
		if !ok || fileGroup != group || fileIndex >= index {
			continue
		}
		if err := s.fs.Remove(filepath.Join(s.dir, name)); err != nil {
			return fmt.Errorf("%w: %w", ErrStorage, err)
		}
	}
	return nil
}
