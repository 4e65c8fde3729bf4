package wal

import (
	"fmt"
	"path/filepath"

	"ibistray.example/ibistray/proto/raftpb"
)

// track records what a durable batch changed. It reports whether segments may
// have become removable.
func (l *Log) track(batch []*request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	covered := false
	current := l.segments[len(l.segments)-1]
	for _, req := range batch {
		for i := range req.updates {
			covered = l.trackUpdate(current, &req.updates[i]) || covered
		}
	}
	return covered
}

func (l *Log) trackUpdate(current *segment, u *Update) bool {
	if u.Remove {
		delete(l.groups, u.Group)
		return true
	}
	m := l.groups[u.Group]
	if m == nil {
		m = &marker{hardState: new(raftpb.HardState), snapshot: new(raftpb.SnapshotMeta)}
		l.groups[u.Group] = m
	}
	if u.HardState != nil {
		m.hardState = u.HardState
	}
	if n := len(u.Entries); n > 0 {
		current.last[u.Group] = max(current.last[u.Group], u.Entries[n-1].GetIndex())
	}
	m.bindings = append(m.bindings, u.Bindings...)
	if !replaces(u.Snapshot, m.snapshot) {
		return false
	}
	m.snapshot = u.Snapshot
	return true
}

// removeCovered removes the oldest segments as long as snapshots cover their
// entries. Each removal is durable before the next one, so that a crash leaves no
// gap in the numbers. A segment that cannot be removed is tried again later.
func (l *Log) removeCovered() error {
	for {
		number, ok := l.oldestCovered()
		if !ok {
			return nil
		}
		if err := l.opts.FS.Remove(filepath.Join(l.dir, segmentName(number))); err != nil {
			l.opts.Logger.Warn("segment not removed", "segment", segmentName(number), "error", err)
			return nil
		}
		if err := l.opts.FS.SyncDir(l.dir); err != nil {
			return fmt.Errorf("sync folder: %w", err)
		}
		l.dropOldest()
	}
}

func (l *Log) oldestCovered() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.segments) < 2 {
		return 0, false
	}
	oldest := l.segments[0]
	return oldest.number, len(l.uncovered(oldest)) == 0
}

// uncovered returns the groups that need entries of a segment. The caller holds
// the mutex.
func (l *Log) uncovered(s *segment) []uint64 {
	var groups []uint64
	for group, last := range s.last {
		m := l.groups[group]
		if m != nil && m.snapshot.GetIndex() < last {
			groups = append(groups, group)
		}
	}
	return groups
}

func (l *Log) dropOldest() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.segments = l.segments[1:]
	l.metrics.segments.Set(float64(len(l.segments)))
}

// GroupsRetainingSegments returns the groups whose entries keep the log from shrinking to
// maxSegments segments. A snapshot of each of them releases the segments.
func (l *Log) GroupsRetainingSegments(maxSegments int) []uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := make(map[uint64]bool)
	var groups []uint64
	for i := 0; i < len(l.segments)-maxSegments; i++ {
		for _, group := range l.uncovered(l.segments[i]) {
			if !seen[group] {
				seen[group] = true
				groups = append(groups, group)
			}
		}
	}
	return groups
}
