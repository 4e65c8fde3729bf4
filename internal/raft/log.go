package raft

import (
	"fmt"
	"slices"

	"ibistray.example/ibistray/proto/raftpb"
)

// entryLog holds the log entries of a replica after a compacted prefix. Slices of
// entries that its methods return are not modified later.
type entryLog struct {
	baseIndex uint64          // last compacted index
	baseTerm  uint64          // term of the entry at baseIndex
	entries   []*raftpb.Entry // entries[i] has the index baseIndex+1+i

	commit        uint64 // last index known to be committed
	stable        uint64 // last index known to be durable on this replica
	nextToPersist uint64 // first index not yet returned in Ready.Entries
	applying      uint64 // last index returned in Ready.Committed
	applied       uint64 // last index applied to the state machine

	nextReceipt     uint64 // sequence number of the next Receipt
	minValidReceipt uint64 // lower sequence numbers were issued before the last truncation
}

// newEntryLog returns a log with the given durable entries after base.
func newEntryLog(base *raftpb.SnapshotMeta, entries []*raftpb.Entry) entryLog {
	l := entryLog{baseIndex: base.Index, baseTerm: base.Term, entries: entries, commit: base.Index}
	l.stable = l.last()
	l.nextToPersist = l.last() + 1
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

// matches reports whether the log holds an entry with this index and term.
func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// upToDate reports whether a candidate's log whose last entry has this index and
// term is at least as up to date as this one.
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

// batch returns entries from lo on, at most maxEntries with at most maxBytes of
// data. The first entry may exceed maxBytes.
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

// newEntries returns the entries from the first one on that the log does not hold
// or holds with another term.
func (l *entryLog) newEntries(entries []*raftpb.Entry) []*raftpb.Entry {
	for i, e := range entries {
		if !l.matches(e.Index, e.Term) {
			return entries[i:]
		}
	}
	return nil
}

// truncate drops the entries from index on. It panics if one of them is committed.
func (l *entryLog) truncate(index uint64) {
	if index > l.last() {
		return
	}
	if index <= l.commit {
		panic(fmt.Sprintf("raft: truncating the log at index %d would drop committed entries (commit index %d)", index, l.commit))
	}
	l.entries = slices.Clone(l.entries[:index-l.first()])
	l.stable = min(l.stable, index-1)
	l.nextToPersist = min(l.nextToPersist, index)
	l.minValidReceipt = l.nextReceipt
}

// conflictHint returns the last index up to index whose term is at most term, and
// the term there. Another log whose entry at index has the given term may agree
// with this one at the returned index, but at no later one up to index.
func (l *entryLog) conflictHint(index, term uint64) (hintIndex, hintTerm uint64) {
	for i := min(index, l.last()); i > l.baseIndex; i-- {
		if t, _ := l.term(i); t <= term {
			return i, t
		}
	}
	return l.baseIndex, l.baseTerm
}

// commitTo raises the commit index to index, if it is lower. It panics if the log
// does not reach that far.
func (l *entryLog) commitTo(index uint64) {
	if index > l.last() {
		panic(fmt.Sprintf("raft: commit index %d is beyond the last index %d", index, l.last()))
	}
	l.commit = max(l.commit, index)
}

// takeUnpersisted returns the entries to persist that it has not returned before.
func (l *entryLog) takeUnpersisted() []*raftpb.Entry {
	entries := l.slice(l.nextToPersist, l.last()+1)
	l.nextToPersist = l.last() + 1
	return entries
}

// takeCommitted returns the entries that are committed and durable on this replica,
// except those that it has returned before.
func (l *entryLog) takeCommitted() []*raftpb.Entry {
	hi := l.maxAppliable()
	entries := l.slice(l.applying+1, hi+1)
	l.applying = max(l.applying, hi)
	return entries
}

func (l *entryLog) maxAppliable() uint64 { return min(l.commit, l.stable) }

// markPersisted records that the log up to index is durable. It ignores a receipt
// that was issued before the last truncation, because the entries may have been
// replaced since; a later receipt covers the index again.
func (l *entryLog) markPersisted(seq, index uint64) {
	if seq >= l.minValidReceipt {
		l.stable = max(l.stable, index)
	}
}

// restore replaces the log by a snapshot, which is not yet durable.
func (l *entryLog) restore(meta *raftpb.SnapshotMeta) {
	l.baseIndex, l.baseTerm = meta.Index, meta.Term
	l.entries = nil
	l.commit = meta.Index
	l.stable = 0
	l.nextToPersist = meta.Index + 1
	l.applying = meta.Index
	l.minValidReceipt = l.nextReceipt
}

// lastOutside returns the index of the last entry up to index that the retention does not cover.
func (l *entryLog) lastOutside(index uint64, retention Retention) uint64 {
	bytes := 0
	for i := index; i > l.baseIndex; i-- {
		bytes += len(l.entries[i-l.first()].Data)
		if index-i >= retention.Entries || bytes > retention.Bytes {
			return i
		}
	}
	return l.baseIndex
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
