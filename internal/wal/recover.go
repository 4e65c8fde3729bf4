package wal

import (
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"ibistray.example/ibistray/proto/raftpb"
)

const (
	segmentSuffix     = ".wal"
	segmentNameDigits = 16
)

// GroupState is what the log holds of a group.
type GroupState struct {
	HardState *raftpb.HardState    // never nil
	Snapshot  *raftpb.SnapshotMeta // never nil; index 0 when there is no snapshot
	Entries   []*raftpb.Entry      // without gaps, from Snapshot.Index+1 on
	Bindings  []Binding            // disks of the replicas, as far as they are known
}

// segment is a file of the log.
type segment struct {
	number uint64
	// last holds the highest entry index in the segment by group.
	last map[uint64]uint64
}

func segmentName(number uint64) string {
	return fmt.Sprintf("%0*x%s", segmentNameDigits, number, segmentSuffix)
}

func parseSegmentName(name string) (uint64, bool) {
	digits, found := strings.CutSuffix(name, segmentSuffix)
	if !found || len(digits) != segmentNameDigits {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 16, 64)
	return number, err == nil
}

// recovery reads the segments of a folder.
type recovery struct {
	fs       FS
	dir      string
	segments []*segment
	groups   map[uint64]*GroupState
	sequence uint64 // of the last frame, 0: none
}

// recoverLog reads all segments, and cuts off an interrupted write at the end of
// the last one.
func recoverLog(fs FS, dir string) (*recovery, error) {
	r := &recovery{fs: fs, dir: dir, groups: make(map[uint64]*GroupState)}
	numbers, err := r.listSegments()
	if err != nil {
		return nil, err
	}
	for i, number := range numbers {
		last := i == len(numbers)-1
		if err := r.readSegment(number, last); err != nil {
			return nil, err
		}
	}
	return r, r.verify()
}

func (r *recovery) listSegments() ([]uint64, error) {
	names, err := r.fs.List(r.dir)
	if err != nil {
		return nil, fmt.Errorf("wal: list segments: %w", err)
	}
	var numbers []uint64
	for _, name := range names {
		number, ok := parseSegmentName(name)
		if !ok {
			continue
		}
		if n := len(numbers); n > 0 && numbers[n-1]+1 != number {
			return nil, &CorruptError{Segment: name, Reason: "the segment before it is missing"}
		}
		numbers = append(numbers, number)
	}
	return numbers, nil
}

func (r *recovery) readSegment(number uint64, last bool) error {
	data, err := readFile(r.fs, filepath.Join(r.dir, segmentName(number)))
	if err != nil {
		return fmt.Errorf("wal: read segment: %w", err)
	}
	seg := &segment{number: number, last: make(map[uint64]uint64)}
	size, err := r.readFrames(seg, data, last)
	if err != nil {
		return err
	}
	if size == 0 {
		return r.removeEmpty(number, last)
	}
	r.segments = append(r.segments, seg)
	if last {
		return r.rewrite(number, data[:size])
	}
	return nil
}

// rewrite makes the valid part of the last segment durable, without an
// interrupted write at its end. The part may be in the page cache only, also
// when an earlier fsync failed, so it is written anew and not just synced.
func (r *recovery) rewrite(number uint64, data []byte) error {
	name := filepath.Join(r.dir, segmentName(number))
	return WriteFileAtomic(r.fs, name, func(w io.Writer) error {
		_, err := w.Write(data)
		return err
	})
}

// removeEmpty removes the last segment when the write of its first frame was
// interrupted.
func (r *recovery) removeEmpty(number uint64, last bool) error {
	if !last {
		return &CorruptError{Segment: segmentName(number), Reason: "empty segment"}
	}
	if err := r.fs.Remove(filepath.Join(r.dir, segmentName(number))); err != nil {
		return fmt.Errorf("wal: remove empty segment: %w", err)
	}
	return r.fs.SyncDir(r.dir)
}

// readFrames replays the frames of a segment and returns the bytes they take.
func (r *recovery) readFrames(seg *segment, data []byte, last bool) (int64, error) {
	var offset int64
	for offset < int64(len(data)) {
		h, payload, ok := parseFrame(data[offset:])
		if !ok {
			if last && isTorn(data, offset) {
				return offset, nil
			}
			return 0, corrupt(seg, offset, "damaged frame")
		}
		if r.sequence != 0 && h.sequence != r.sequence+1 {
			return 0, corrupt(seg, offset, fmt.Sprintf("frame %d follows frame %d", h.sequence, r.sequence))
		}
		r.sequence = h.sequence
		err := decodePayload(payload, func(u Update) error { return r.replay(seg, u) })
		if err != nil {
			return 0, corrupt(seg, offset, err.Error())
		}
		offset += h.size()
	}
	return offset, nil
}

func corrupt(seg *segment, offset int64, reason string) error {
	return &CorruptError{Segment: segmentName(seg.number), Offset: offset, Reason: reason}
}

func (r *recovery) replay(seg *segment, u Update) error {
	if u.Remove {
		delete(r.groups, u.Group)
		return nil
	}
	state := r.groups[u.Group]
	if state == nil {
		state = &GroupState{HardState: new(raftpb.HardState), Snapshot: new(raftpb.SnapshotMeta)}
		r.groups[u.Group] = state
	}
	if u.HardState != nil {
		state.HardState = u.HardState
	}
	if u.Snapshot != nil {
		state.applySnapshot(u.Snapshot)
	}
	for _, binding := range u.Bindings {
		state.addBinding(binding)
	}
	for _, entry := range u.Entries {
		seg.last[u.Group] = max(seg.last[u.Group], entry.GetIndex())
		state.applyEntry(entry)
	}
	return nil
}

// applySnapshot drops the entries that the snapshot covers, and all entries
// when they do not continue the snapshot.
func (s *GroupState) applySnapshot(meta *raftpb.SnapshotMeta) {
	if !replaces(meta, s.Snapshot) {
		return
	}
	s.Snapshot = meta
	if len(s.Entries) == 0 {
		return
	}
	first := s.Entries[0].GetIndex()
	switch {
	case first > meta.GetIndex():
		return
	case s.continues(meta):
		s.Entries = s.Entries[meta.GetIndex()-first+1:]
	default:
		s.Entries = nil
	}
}

// replaces reports whether next is newer than the known snapshot. The first
// snapshot of a group has index 0 and a membership.
func replaces(next, known *raftpb.SnapshotMeta) bool {
	if next == nil {
		return false
	}
	if known.GetMembership() == nil && next.GetMembership() != nil {
		return true
	}
	return next.GetIndex() > known.GetIndex()
}

// addBinding adds a binding unless it is known; new segments repeat bindings.
func (s *GroupState) addBinding(binding Binding) {
	if !slices.Contains(s.Bindings, binding) {
		s.Bindings = append(s.Bindings, binding)
	}
}

// continues reports whether the entries hold the last entry of the snapshot.
func (s *GroupState) continues(meta *raftpb.SnapshotMeta) bool {
	first := s.Entries[0].GetIndex()
	last := first + uint64(len(s.Entries)) - 1
	if last < meta.GetIndex() {
		return false
	}
	return s.Entries[meta.GetIndex()-first].GetTerm() == meta.GetTerm()
}

// applyEntry replaces the entries from the index of entry on. A gap is allowed
// here: the entries in it were in a removed segment, and a later snapshot marker
// covers them. verify checks that.
func (s *GroupState) applyEntry(entry *raftpb.Entry) {
	index := entry.GetIndex()
	if index <= s.Snapshot.GetIndex() {
		return
	}
	if len(s.Entries) == 0 {
		s.Entries = append(s.Entries, entry)
		return
	}
	first := s.Entries[0].GetIndex()
	if index < first || index > first+uint64(len(s.Entries)) {
		s.Entries = []*raftpb.Entry{entry}
		return
	}
	s.Entries = append(s.Entries[:index-first], entry)
}

// verify checks that the entries of each group continue its snapshot and reach
// its commit index.
func (r *recovery) verify() error {
	for group, state := range r.groups {
		last := state.Snapshot.GetIndex()
		if len(state.Entries) > 0 {
			if first := state.Entries[0].GetIndex(); first != last+1 {
				return fmt.Errorf("%w: group %d: entries start at %d, the snapshot ends at %d", ErrCorrupt, group, first, last)
			}
			last += uint64(len(state.Entries))
		}
		if commit := state.HardState.GetCommit(); commit > last {
			return fmt.Errorf("%w: group %d: commit index %d is behind the last entry %d", ErrCorrupt, group, commit, last)
		}
	}
	return nil
}

func readFile(fs FS, name string) ([]byte, error) {
	f, err := fs.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(f)
}
