// Package wal implements the write-ahead log of one host. All Raft groups of the
// host share the log, so that one fsync covers the changes of many groups.
//
// # Format
//
// The log is a sequence of segment files, and a segment is a sequence of frames.
// A frame is written with one write and one fsync. It has a header (magic, length,
// sequence number, checksums) and a payload of records. A record belongs to one
// group and holds a hard state, an entry, snapshot metadata, the disk of a replica
// or the removal of the group. A frame is recovered whole or not at all. At most one
// frame is written and not yet synced, because the next frame is written after the
// fsync of the previous one.
//
// The first frame of a segment is a checkpoint: it repeats the hard state, the
// snapshot metadata and the replica disks of each group. An older segment can
// therefore be removed as soon as snapshots cover the entries in it.
//
// # Guarantees
//
// An append is acknowledged after its frame was synced. After a crash, Open returns
// all acknowledged changes. Open truncates the last segment only when its end is a
// torn write: the last frame is cut off by the end of the file or has zero-filled
// sectors that the writer did not write as zeros, and no valid frame follows. Any
// other damage is reported as ErrCorrupt, and the replicas of the host have to be
// rebuilt from their peers.
//
// After a failed write or fsync the log refuses all appends: the content of the file
// is no longer known, and a second fsync may report success for data that the
// operating system dropped.
package wal
