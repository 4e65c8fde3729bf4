package raft

import (
	"errors"
	"fmt"

	"ibistray.example/ibistray/proto/raftpb"
)

// Errors of this package.
var (
	// ErrInvalidConfig reports an invalid Config or InitialState.
	ErrInvalidConfig = errors.New("raft: invalid configuration")
	// ErrNotLeader reports that this replica does not lead the group. The
	// request was not taken.
	ErrNotLeader = errors.New("raft: not the leader")
	// ErrTransferring reports that leadership is being handed over. The request
	// was not taken.
	ErrTransferring = errors.New("raft: leadership transfer in progress")
	// ErrTooManyUncommitted reports that MaxUncommitted entries wait for a quorum. The request
	// was not taken.
	ErrTooManyUncommitted = errors.New("raft: too many uncommitted entries")
	// ErrChangePending reports that an earlier membership change is not yet
	// committed, or that the leader has not yet committed an entry of its term.
	ErrChangePending = errors.New("raft: membership change pending")
	// ErrInvalidChange reports a membership change that does not fit the
	// current membership.
	ErrInvalidChange = errors.New("raft: invalid membership change")
	// ErrReplicaIDReused reports that a replica ID was given out before.
	ErrReplicaIDReused = errors.New("raft: replica ID was used before")
	// ErrLearnerBehind reports that a learner has not caught up durably.
	ErrLearnerBehind = errors.New("raft: learner has not caught up")
	// ErrRemoveLeader reports that the leader was asked to remove itself.
	ErrRemoveLeader = errors.New("raft: leader cannot remove itself")
	// ErrQuorumAtRisk reports that too few voters of the changed membership
	// answer at present to form a quorum.
	ErrQuorumAtRisk = errors.New("raft: change would leave the group without a quorum")
	// ErrInvalidTarget reports a transfer target that is not another voter.
	ErrInvalidTarget = errors.New("raft: transfer target is not another voter")
	// ErrWrongReplica reports a message for another group or replica ID.
	ErrWrongReplica = errors.New("raft: message for another replica")
	// ErrInvalidMessage reports a message that no correct replica sends.
	ErrInvalidMessage = errors.New("raft: invalid message")
	// ErrCompacted reports an index that the log no longer holds.
	ErrCompacted = errors.New("raft: index is compacted")
	// ErrNotApplied reports an index that is not yet applied.
	ErrNotApplied = errors.New("raft: index is not yet applied")
)

// Defaults of Config. Times are in ticks.
const (
	DefaultElectionTicks        = 10
	DefaultHeartbeatTicks       = 2
	DefaultLeaseTicks           = 6
	DefaultMaxEntriesPerMessage = 64
	DefaultMaxBytesPerMessage   = 1 << 20
	DefaultMaxInflight          = 16
	DefaultMaxUncommitted       = 4096
)

// Config holds the settings of a Node. Zero values of the optional fields stand
// for the defaults.
type Config struct {
	Group uint64 // group ID, carried by each message
	ID    uint64 // replica ID, not 0, never reused within the group
	Seed  uint64 // seed of the election timeouts

	ElectionTicks  int // least ticks without a leader before an election; the timeout is drawn from [ElectionTicks, 2*ElectionTicks)
	HeartbeatTicks int // ticks between heartbeat rounds
	LeaseTicks     int // ticks for which an acknowledged round gives the lease; at most ElectionTicks-1

	// QuorumTicks is how long a leader that hears no quorum keeps its leadership; by
	// default ElectionTicks, and at least these. A larger value rides out packets that
	// are sent again; others may be elected meanwhile, and the lease does not last longer.
	QuorumTicks int

	MaxEntriesPerMessage int // entries in one append message
	MaxBytesPerMessage   int // bytes of entry data in one append message; one entry may exceed it
	MaxInflight          int // append messages to one member that wait for a reply
	MaxUncommitted       int // uncommitted entries in the log of the leader

	QuiesceTicks   int  // ticks without a request after which an idle group quiesces; 2*ElectionTicks by default
	DisableQuiesce bool // keep heartbeats going in an idle group
}

// InitialState is what a replica finds on its disk when it starts.
type InitialState struct {
	HardState    *raftpb.HardState    // nil: none was persisted
	Snapshot     *raftpb.SnapshotMeta // nil: none; else the base of the log
	Entries      []*raftpb.Entry      // entries after the snapshot, or from an earlier index if some were retained
	AppliedIndex uint64               // index up to which the state machine holds the log; at least that of the snapshot
}

// Bootstrap returns the initial state of a replica of a new group with the given
// members. Each first member must start from the same membership, and the host
// must persist Snapshot (index 0) before it calls New.
func Bootstrap(m *raftpb.Membership) InitialState {
	return InitialState{Snapshot: &raftpb.SnapshotMeta{Membership: normalize(m)}}
}

// withDefaults returns the configuration with defaults filled in, or ErrInvalidConfig.
func (c Config) withDefaults() (Config, error) {
	setDefault(&c.ElectionTicks, DefaultElectionTicks)
	setDefault(&c.HeartbeatTicks, DefaultHeartbeatTicks)
	setDefault(&c.LeaseTicks, max(1, (c.ElectionTicks-1)*2/3))
	setDefault(&c.QuiesceTicks, 2*c.ElectionTicks)
	setDefault(&c.QuorumTicks, c.ElectionTicks)
	setDefault(&c.MaxEntriesPerMessage, DefaultMaxEntriesPerMessage)
	setDefault(&c.MaxBytesPerMessage, DefaultMaxBytesPerMessage)
	setDefault(&c.MaxInflight, DefaultMaxInflight)
	setDefault(&c.MaxUncommitted, DefaultMaxUncommitted)
	switch {
	case c.ID == 0:
		return c, fmt.Errorf("%w: replica ID is 0", ErrInvalidConfig)
	case c.HeartbeatTicks >= c.ElectionTicks:
		return c, fmt.Errorf("%w: heartbeat interval %d is not below the election timeout %d", ErrInvalidConfig, c.HeartbeatTicks, c.ElectionTicks)
	case c.QuorumTicks < c.ElectionTicks:
		return c, fmt.Errorf("%w: quorum timeout %d is below the election timeout %d", ErrInvalidConfig, c.QuorumTicks, c.ElectionTicks)
	case c.LeaseTicks >= c.ElectionTicks:
		return c, fmt.Errorf("%w: lease %d is not below the election timeout %d", ErrInvalidConfig, c.LeaseTicks, c.ElectionTicks)
	}
	return c, nil
}

func setDefault(v *int, def int) {
	if *v <= 0 {
		*v = def
	}
}
