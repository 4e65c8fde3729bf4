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

// GroupState is the state of a group that Open recovered from the log.
type GroupState struct {
	HardState *raftpb.HardState    // never nil
	Snapshot  *raftpb.SnapshotMeta // never nil; its index is 0 when there is no snapshot
	Entries   []*raftpb.Entry      // contiguous, starting at Snapshot.Index+1
	Bindings  []Binding            // known disks of the replicas
}

// segment is a file of the log. The numbers of the segments are consecutive.
type segment struct {
	number uint64
	// lastIndex maps a group to the highest index of its entries in the segment.
	lastIndex map[uint64]uint64
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

// recovery collects the state of the groups from the segments in a directory.
type recovery struct {
	fs           FS
	dir          string
	segments     []*segment
	groups       map[uint64]*GroupState
	lastSequence uint64 // sequence number of the last valid frame; 0: none
	lastData     []byte // valid data of the last segment; nil: it was empty and is removed
	torn         bool   // a torn write follows lastData
}

// recoverLog reads all segments up to a torn write at the end of the last one.
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
	return r, r.verifyGroups()
}

func (r *recovery) listSegments() ([]uint64, error) {
	names, err := r.fs.List(r.dir)
	if err != nil {
		return nil, fmt.Errorf("wal: list segments in %s: %w", r.dir, err)
	}
	var numbers []uint64
	for _, name := range names {
		number, ok := parseSegmentName(name)
		if !ok {
			continue
		}
		if n := len(numbers); n > 0 && numbers[n-1]+1 != number {
			return nil, &CorruptError{Segment: name, Reason: "the preceding segment is missing"}
		}
		numbers = append(numbers, number)
	}
	return numbers, nil
}

func (r *recovery) readSegment(number uint64, last bool) error {
	data, err := readFile(r.fs, filepath.Join(r.dir, segmentName(number)))
	if err != nil {
		return fmt.Errorf("wal: read segment %s: %w", segmentName(number), err)
	}
	seg := &segment{number: number, lastIndex: make(map[uint64]uint64)}
	size, err := r.readFrames(seg, data, last)
	if err != nil {
		return err
	}
	if size == 0 {
		return r.removeEmptySegment(number, last)
	}
	r.segments = append(r.segments, seg)
	if last {
		r.lastData, r.torn = data[:size], size < int64(len(data))
	}
	return nil
}

// rewriteLastSegment replaces the last segment by its valid data, without a torn write, and
// makes it durable. The data may be only in the page cache, also after a failed fsync, and another
// fsync of the same file could report success without writing it. The data is
// therefore written to a new file.
func (r *recovery) rewriteLastSegment() error {
	if r.lastData == nil {
		return nil
	}
	name := filepath.Join(r.dir, segmentName(r.segments[len(r.segments)-1].number))
	if r.torn {
		// The torn write may have taken the room that the new file needs.
		if err := r.fs.Truncate(name, int64(len(r.lastData))); err != nil {
			return fmt.Errorf("wal: truncate torn write in %s: %w", name, err)
		}
	}
	return WriteFileAtomic(r.fs, name, func(w io.Writer) error {
		_, err := w.Write(r.lastData)
		return err
	})
}

// removeEmptySegment removes a segment without a valid frame. The last segment has
// none when the write of its first frame was interrupted; any other segment is
// corrupt.
func (r *recovery) removeEmptySegment(number uint64, last bool) error {
	if !last {
		return &CorruptError{Segment: segmentName(number), Reason: "segment has no valid frame"}
	}
	if err := r.fs.Remove(filepath.Join(r.dir, segmentName(number))); err != nil {
		return fmt.Errorf("wal: remove empty segment %s: %w", segmentName(number), err)
	}
	return r.fs.SyncDir(r.dir)
}

// readFrames applies the frames of a segment and returns their total size in bytes. In
// the last segment it stops at a torn write.
func (r *recovery) readFrames(seg *segment, data []byte, last bool) (int64, error) {
	var offset int64
	for offset < int64(len(data)) {
		h, payload, ok := parseFrame(data[offset:])
		if !ok {
			if last && isTornWrite(data, offset) {
				return offset, nil
			}
			return 0, newCorruptError(seg, offset, "damaged frame")
		}
		if r.lastSequence != 0 && h.sequence != r.lastSequence+1 {
			return 0, newCorruptError(seg, offset, fmt.Sprintf("frame has sequence number %d, the previous frame has %d", h.sequence, r.lastSequence))
		}
		r.lastSequence = h.sequence
		err := decodePayload(payload, func(u Update) error { return r.applyUpdate(seg, u) })
		if err != nil {
			return 0, newCorruptError(seg, offset, err.Error())
		}
		offset += h.size()
	}
	return offset, nil
}

func newCorruptError(seg *segment, offset int64, reason string) error {
	return &CorruptError{Segment: segmentName(seg.number), Offset: offset, Reason: reason}
}

func (r *recovery) applyUpdate(seg *segment, u Update) error {
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
		seg.lastIndex[u.Group] = max(seg.lastIndex[u.Group], entry.GetIndex())
		state.applyEntry(entry)
	}
	return nil
}

// applySnapshot removes the entries that the snapshot covers. It removes all entries
// when they conflict with the snapshot. It ignores a snapshot that is not newer than
// the current one.
func (s *GroupState) applySnapshot(meta *raftpb.SnapshotMeta) {
	if !isNewerSnapshot(meta, s.Snapshot) {
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
	case s.containsLastEntryOf(meta):
		s.Entries = s.Entries[meta.GetIndex()-first+1:]
	default:
		s.Entries = nil
	}
}

// isNewerSnapshot reports whether candidate is newer than the current snapshot. The
// first snapshot of a group has index 0 and a membership, and replaces an empty one.
func isNewerSnapshot(candidate, current *raftpb.SnapshotMeta) bool {
	if candidate == nil {
		return false
	}
	if current.GetMembership() == nil && candidate.GetMembership() != nil {
		return true
	}
	return candidate.GetIndex() > current.GetIndex()
}

// addBinding adds a binding unless it is present: each new segment repeats all
// bindings.
func (s *GroupState) addBinding(binding Binding) {
	if !slices.Contains(s.Bindings, binding) {
		s.Bindings = append(s.Bindings, binding)
	}
}

// containsLastEntryOf reports whether the entries contain the last entry that the
// snapshot covers, with the same term. s.Entries must not be empty and must not
// start after that entry.
func (s *GroupState) containsLastEntryOf(meta *raftpb.SnapshotMeta) bool {
	first := s.Entries[0].GetIndex()
	last := first + uint64(len(s.Entries)) - 1
	if last < meta.GetIndex() {
		return false
	}
	return s.Entries[meta.GetIndex()-first].GetTerm() == meta.GetTerm()
}

// applyEntry replaces the stored entries from the index of entry on. A gap before the
// entry is allowed here: the missing entries were in a removed segment, and a later
// snapshot record covers them. verifyGroups checks this.
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

// verifyGroups checks that the entries of each group follow its snapshot without a gap
// and reach at least its commit index. Otherwise it returns ErrCorrupt.
func (r *recovery) verifyGroups() error {
	for group, state := range r.groups {
		last := state.Snapshot.GetIndex()
		if len(state.Entries) > 0 {
			if first := state.Entries[0].GetIndex(); first != last+1 {
				return fmt.Errorf("%w: group %d: entries start at index %d, the snapshot ends at index %d", ErrCorrupt, group, first, last)
			}
			last += uint64(len(state.Entries))
		}
		if commit := state.HardState.GetCommit(); commit > last {
			return fmt.Errorf("%w: group %d: commit index %d is beyond the last entry %d", ErrCorrupt, group, commit, last)
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
