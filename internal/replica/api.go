// Package replica runs the replicas of many groups on one host: it drives the
// raft core of each group, keeps their entries in one write-ahead log and
// applies committed entries to state machines.
package replica

import (
	"context"
	"errors"
	"io"

	"ibistray.example/ibistray/proto/raftpb"
)

// Errors of this package. A caller may retry after ErrNotLeader and
// ErrUnavailable; after ErrUncertain the command may have been applied, so only
// an idempotent command may be proposed again.
var (
	ErrNotLeader    = errors.New("replica: this host does not lead the group")
	ErrUnavailable  = errors.New("replica: the group has no leader with a quorum")
	ErrUncertain    = errors.New("replica: the outcome of the proposal is not known")
	ErrUnknownGroup = errors.New("replica: the group has no replica on this host")
	ErrStopped      = errors.New("replica: the host is stopped")
)

// StateMachine is the state of one group. Calls are made from one goroutine at
// a time. Apply must be deterministic: the same entries in the same order give
// the same state and results on each replica.
type StateMachine interface {
	// Apply applies a committed command and returns its result, which is
	// handed to the proposer on the leader and dropped elsewhere.
	Apply(index uint64, data []byte) any
	// Snapshot writes the whole state. It must not change it.
	Snapshot(w io.Writer) error
	// Restore replaces the state by one that Snapshot wrote.
	Restore(r io.Reader) error
}

// Applied is the outcome of a proposal.
type Applied struct {
	Index  uint64 // log index of the command
	Result any    // what StateMachine.Apply returned
}

// Log is the view that the rest of the system has of the replicated groups.
type Log interface {
	// Propose appends a command to the group's log and returns when it is
	// durable on a quorum and applied here. Errors: ErrNotLeader,
	// ErrUnavailable, ErrUncertain, ErrUnknownGroup, ErrStopped and the
	// context's, which leaves the outcome as uncertain as ErrUncertain does.
	Propose(ctx context.Context, group uint64, data []byte) (Applied, error)
	// ReadBarrier returns when reads of the state machine on this host see
	// each command that was acknowledged before the call. It returns
	// ErrNotLeader on a host that does not lead the group with a valid lease.
	ReadBarrier(ctx context.Context, group uint64) error
	// Leader returns the address of the group's leader as last known, or "".
	Leader(group uint64) string
}

// Transport carries messages between hosts. Send never blocks: messages may be
// dropped, duplicated by reconnects and reordered.
type Transport interface {
	Send(address string, batch *raftpb.MessageBatch)
	// SendSnapshot streams a snapshot; msg is the MESSAGE_KIND_SNAPSHOT message.
	SendSnapshot(ctx context.Context, address string, msg *raftpb.Message, data io.Reader) error
}
