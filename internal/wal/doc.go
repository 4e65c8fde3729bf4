// Package wal is the write-ahead log of one host. All groups of the host share
// it, so one fsync covers the changes of many groups.
//
// # Format
//
// The log is a row of segment files. A segment is a row of frames; a frame is
// what one write and one fsync put into the log. A frame has a header
// (magic, length, sequence number, checksums) and a payload of records; a
// record belongs to one group and holds a hard state, an entry, a snapshot
// marker or the removal of the group. A frame is recovered whole or not at all.
// At most one frame is written and not yet synced, because the next frame is
// written after the fsync of the one before.
//
// The first frame of a segment repeats the hard state and the snapshot marker of
// each group. An older segment can therefore be removed as soon as the snapshots
// cover the entries in it.
//
// # Guarantees
//
// An append is acknowledged after its frame was synced. After a crash Open
// returns each acknowledged change. Open removes a damaged end of the last
// segment only when the damage is that of an interrupted write: the last frame
// is cut off by the end of the file or has zero-filled sectors that the writer
// did not write as zeros, and no valid frame follows. Each other damage is
// reported as ErrCorrupt, and the replicas of the host have to be rebuilt from
// their peers.
//
// After a failed write or fsync the log accepts nothing more: the state of the
// file is not known any longer, and a second fsync may report success for data
// that was dropped.
package wal
