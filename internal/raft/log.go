package raft

import (
	"fmt"
	"slices"

	"ibistray.example/ibistray/proto/raftpb"
)

// entryLog holds the entries of a replica after a compacted prefix.
// Slices of entries that it hands out are never written to again.
type entryLog struct {
	baseIndex uint64          // last compacted index
	baseTerm  uint64          // its term
	entries   []*raftpb.Entry // entries[i].Index is baseIndex+1+i

	commit   uint64 // known to be committed
	stable   uint64 // known to be durable here
	unsaved  uint64 // first index not yet handed out to be persisted
	released uint64 // last index handed out to be applied
	applied  uint64 // last index that the state machine holds

	seq      uint64 // number of the next receipt
	validSeq uint64 // receipts before this one are older than the last truncation
}

// newEntryLog returns a log whose entries are all durable.
func newEntryLog(base *raftpb.SnapshotMeta, entries []*raftpb.Entry) entryLog {
	l := entryLog{baseIndex: base.Index, baseTerm: base.Term, entries: entries, commit: base.Index}
	l.stable = l.last()
	l.unsaved = l.last() + 1
	return l
}

func (l *entryLog) first() uint64 { return l.baseIndex + 1 }

func (l *entryLog) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index, and false if the log does not
// hold the index.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.last():
		return 0, false
	}
	return l.entries[index-l.first()].Term, true
}

// matches tells whether the log holds an entry with this index and term.
func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// upToDate tells whether a log that ends with this index and term holds at least
// as much as this one, in the sense of an election.
func (l *entryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}

// slice returns the entries in [lo, hi).
func (l *entryLog) slice(lo, hi uint64) []*raftpb.Entry {
	if lo >= hi {
		return nil
	}
	from, to := lo-l.first(), hi-l.first()
	return l.entries[from:to:to]
}

// batch returns entries from lo on, limited in number and bytes but for the first.
func (l *entryLog) batch(lo uint64, maxEntries, maxBytes int) []*raftpb.Entry {
	hi := min(l.last()+1, lo+uint64(maxEntries))
	entries := l.slice(lo, hi)
	size := 0
	for i, e := range entries {
		size += len(e.Data)
		if i > 0 && size > maxBytes {
			return entries[:i:i]
		}
	}
	return entries
}

// append adds entries that follow the last one.
func (l *entryLog) append(entries ...*raftpb.Entry) {
	l.entries = append(l.entries, entries...)
}

// newEntries returns the part of entries that the log does not hold yet: from
// the first index that is missing or has another term.
func (l *entryLog) newEntries(entries []*raftpb.Entry) []*raftpb.Entry {
	for i, e := range entries {
		if !l.matches(e.Index, e.Term) {
			return entries[i:]
		}
	}
	return nil
}

// truncate drops the entries from index on. Committed entries are never dropped.
func (l *entryLog) truncate(index uint64) {
	if index > l.last() {
		return
	}
	if index <= l.commit {
		panic(fmt.Sprintf("raft: truncation at %d would drop committed entries (commit %d)", index, l.commit))
	}
	l.entries = slices.Clone(l.entries[:index-l.first()])
	l.stable = min(l.stable, index-1)
	l.unsaved = min(l.unsaved, index)
	l.validSeq = l.seq
}

// conflictHint returns the last index up to index whose term is at most term:
// the two logs cannot agree on a later one.
func (l *entryLog) conflictHint(index, term uint64) (hintIndex, hintTerm uint64) {
	for i := min(index, l.last()); i > l.baseIndex; i-- {
		if t, _ := l.term(i); t <= term {
			return i, t
		}
	}
	return l.baseIndex, l.baseTerm
}

// commitTo raises the commit index.
func (l *entryLog) commitTo(index uint64) {
	if index > l.last() {
		panic(fmt.Sprintf("raft: commit index %d is beyond the last index %d", index, l.last()))
	}
	l.commit = max(l.commit, index)
}

// takeUnsaved hands out the entries that are to be persisted.
func (l *entryLog) takeUnsaved() []*raftpb.Entry {
	entries := l.slice(l.unsaved, l.last()+1)
	l.unsaved = l.last() + 1
	return entries
}

// takeCommitted hands out the entries that are committed and durable here.
func (l *entryLog) takeCommitted() []*raftpb.Entry {
	hi := l.releasable()
	entries := l.slice(l.released+1, hi+1)
	l.released = max(l.released, hi)
	return entries
}

func (l *entryLog) releasable() uint64 { return min(l.commit, l.stable) }

// persisted takes in a receipt, unless the log was truncated after it was issued;
// a later receipt then covers the same entries.
func (l *entryLog) persisted(seq, index uint64) {
	if seq >= l.validSeq {
		l.stable = max(l.stable, index)
	}
}

// restore replaces the log by a snapshot that is not yet durable.
func (l *entryLog) restore(meta *raftpb.SnapshotMeta) {
	l.baseIndex, l.baseTerm = meta.Index, meta.Term
	l.entries = nil
	l.commit = meta.Index
	l.stable = 0
	l.unsaved = meta.Index + 1
	l.released = meta.Index
	l.validSeq = l.seq
}

// compact drops the entries up to index.
func (l *entryLog) compact(index uint64) {
	if index <= l.baseIndex {
		return
	}
	term, _ := l.term(index)
	l.entries = slices.Clone(l.entries[index-l.baseIndex:])
	l.baseIndex, l.baseTerm = index, term
}
