// Package replica runs the replicas of many raft groups on one host: it drives
// the raft core of each group, stores the entries of all groups in one
// write-ahead log and applies committed entries to state machines.
package replica

import (
	"context"
	"errors"
	"io"

	"ibistray.example/ibistray/proto/raftpb"
)

// Errors of proposals and reads. A caller may retry after ErrNotLeader and
// ErrUnavailable. After ErrUncertain the command may have been applied, so only
// an idempotent command may be proposed again.
var (
	ErrNotLeader    = errors.New("replica: this host does not lead the group")
	ErrUnavailable  = errors.New("replica: the group has no leader with a quorum")
	ErrUncertain    = errors.New("replica: the outcome of the proposal is not known")
	ErrUnknownGroup = errors.New("replica: the group has no replica on this host")
	ErrStopped      = errors.New("replica: the host is stopped")
)

// StateMachine holds the state of one group. Its methods are called from one
// goroutine at a time. Apply must be deterministic: the same entries in the same
// order produce the same state and results on each replica.
type StateMachine interface {
	// Apply applies a committed command and returns its result, which the
	// leader passes to the proposer and the other replicas discard.
	Apply(index uint64, data []byte) any
	// Snapshot writes the whole state without changing it.
	Snapshot(w io.Writer) error
	// Restore replaces the state with one that Snapshot wrote.
	Restore(r io.Reader) error
}

// SnapshotCapturer is a StateMachine whose snapshots are written while it applies further
// commands.
type SnapshotCapturer interface {
	// CaptureSnapshot returns a function that writes the state as it is now, like Snapshot.
	// The function is called at most once, from another goroutine, while Apply is called.
	CaptureSnapshot() func(w io.Writer) error
}

// Applied is the outcome of a proposal.
type Applied struct {
	Index  uint64 // log index of the command
	Result any    // returned by StateMachine.Apply
}

// Log is the interface through which other packages use replicated groups.
type Log interface {
	// Propose appends a command to the group's log and returns when it is
	// durable on a quorum and applied on this host. Errors: ErrNotLeader,
	// ErrUnavailable, ErrUncertain, ErrUnknownGroup, ErrStopped and the error
	// of ctx, after which the outcome is as unknown as after ErrUncertain.
	Propose(ctx context.Context, group uint64, data []byte) (Applied, error)
	// ReadBarrier returns when reads of the state machine on this host see
	// each command that was acknowledged before the call. It returns
	// ErrNotLeader on a host that does not lead the group.
	ReadBarrier(ctx context.Context, group uint64) error
	// Leader returns the last known address of the group's leader, or "".
	Leader(group uint64) string
}

// Transport carries messages between hosts. Messages may be dropped, reordered
// and, by reconnects, duplicated.
type Transport interface {
	// Send queues a batch for a host without blocking.
	Send(address string, batch *raftpb.MessageBatch)
	// SendSnapshot sends a snapshot and returns when the receiver has stored it;
	// msg is its MESSAGE_KIND_SNAPSHOT message and data its content.
	SendSnapshot(ctx context.Context, address string, msg *raftpb.Message, data io.Reader) error
}
