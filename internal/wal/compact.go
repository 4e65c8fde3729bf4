package wal

import (
	"fmt"
	"path/filepath"

	"ibistray.example/ibistray/proto/raftpb"
)

// recordBatch updates the checkpoints and the segment index after a batch became
// durable. It reports whether segments may have become removable.
func (l *Log) recordBatch(batch []*appendRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	removable := false
	current := l.segments[len(l.segments)-1]
	for _, req := range batch {
		for i := range req.updates {
			removable = l.recordUpdate(current, &req.updates[i]) || removable
		}
	}
	return removable
}

func (l *Log) recordUpdate(current *segment, u *Update) bool {
	if u.Remove {
		delete(l.groups, u.Group)
		return true
	}
	checkpoint := l.groups[u.Group]
	if checkpoint == nil {
		checkpoint = &groupCheckpoint{hardState: new(raftpb.HardState), snapshot: new(raftpb.SnapshotMeta)}
		l.groups[u.Group] = checkpoint
	}
	if u.HardState != nil {
		checkpoint.hardState = u.HardState
	}
	if n := len(u.Entries); n > 0 {
		current.lastIndex[u.Group] = max(current.lastIndex[u.Group], u.Entries[n-1].GetIndex())
	}
	checkpoint.bindings = append(checkpoint.bindings, u.Bindings...)
	if !isNewerSnapshot(u.Snapshot, checkpoint.snapshot) {
		return false
	}
	checkpoint.snapshot = u.Snapshot
	return true
}

// removeCoveredSegments removes the oldest segments as long as snapshots cover all
// entries in them. Each removal is durable before the next one, so that a crash
// leaves no gap in the segment numbers. If a segment cannot be removed, a later call
// tries again.
func (l *Log) removeCoveredSegments() error {
	for {
		number, ok := l.coveredOldestSegment()
		if !ok {
			return nil
		}
		if err := l.opts.FS.Remove(filepath.Join(l.segmentDir, segmentName(number))); err != nil {
			l.opts.Logger.Warn("segment not removed", "segment", segmentName(number), "error", err)
			return nil
		}
		if err := l.opts.FS.SyncDir(l.segmentDir); err != nil {
			return fmt.Errorf("sync directory %s: %w", l.segmentDir, err)
		}
		l.dropOldestSegment()
	}
}

// coveredOldestSegment returns the number of the oldest segment. It returns false
// when a snapshot does not cover its entries or when it is the only segment.
func (l *Log) coveredOldestSegment() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.segments) < 2 {
		return 0, false
	}
	oldest := l.segments[0]
	return oldest.number, len(l.groupsNeeding(oldest)) == 0
}

// groupsNeeding returns the groups with entries in a segment that their snapshots do
// not cover. The caller must hold l.mu.
func (l *Log) groupsNeeding(s *segment) []uint64 {
	var groups []uint64
	for group, last := range s.lastIndex {
		checkpoint := l.groups[group]
		if checkpoint != nil && checkpoint.snapshot.GetIndex() < last {
			groups = append(groups, group)
		}
	}
	return groups
}

func (l *Log) dropOldestSegment() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.segments = l.segments[1:]
	l.metrics.segments.Set(float64(len(l.segments)))
}

// GroupsRetainingSegments returns the groups whose entries prevent the removal of
// segments beyond the newest maxSegments. The segments can be removed once each of
// these groups has taken a snapshot.
func (l *Log) GroupsRetainingSegments(maxSegments int) []uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := make(map[uint64]bool)
	var groups []uint64
	for i := 0; i < len(l.segments)-maxSegments; i++ {
		for _, group := range l.groupsNeeding(l.segments[i]) {
			if !seen[group] {
				seen[group] = true
				groups = append(groups, group)
			}
		}
	}
	return groups
}
