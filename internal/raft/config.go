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
	// ErrNotLeader reports that this replica is not the leader of the group. The
	// request had no effect.
	ErrNotLeader = errors.New("raft: not the leader")
	// ErrTransferring reports that a leadership transfer is in progress. The
	// request had no effect.
	ErrTransferring = errors.New("raft: leadership transfer in progress")
	// ErrTooManyUncommitted reports that the log of the leader holds
	// MaxUncommitted uncommitted entries. The request had no effect.
	ErrTooManyUncommitted = errors.New("raft: too many uncommitted entries")
	// ErrChangePending reports that an earlier membership change is not yet
	// committed, or that the leader has not yet committed an entry of its term.
	ErrChangePending = errors.New("raft: membership change pending")
	// ErrInvalidChange reports a membership change that cannot be applied to the
	// current membership.
	ErrInvalidChange = errors.New("raft: invalid membership change")
	// ErrReplicaIDReused reports that the ID of a new member was assigned before.
	ErrReplicaIDReused = errors.New("raft: replica ID was used before")
	// ErrLearnerBehind reports that a learner does not yet hold durably all entries
	// that promotion requires.
	ErrLearnerBehind = errors.New("raft: learner has not caught up")
	// ErrRemoveLeader reports that the leader was asked to remove itself.
	ErrRemoveLeader = errors.New("raft: leader cannot remove itself")
	// ErrQuorumAtRisk reports that fewer voters of the changed membership than a
	// quorum have responded recently.
	ErrQuorumAtRisk = errors.New("raft: change would leave the group without a quorum")
	// ErrInvalidTarget reports a leadership transfer to a replica that is not
	// another voter or has lost durable entries.
	ErrInvalidTarget = errors.New("raft: transfer target is not another voter")
	// ErrWrongReplica reports a message for another group or replica ID.
	ErrWrongReplica = errors.New("raft: message for another replica")
	// ErrInvalidMessage reports a malformed message, which no correct replica
	// sends.
	ErrInvalidMessage = errors.New("raft: invalid message")
	// ErrCompacted reports an index before that of the latest snapshot.
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
	DefaultMaxInFlight          = 16
	DefaultMaxUncommitted       = 4096
)

// Config holds the settings of a Node. Durations are in ticks. A number that is
// zero or negative stands for its default; Group, ID and Seed have none.
type Config struct {
	Group uint64 // group ID, sent in each message
	ID    uint64 // replica ID, not 0, never reused within the group
	Seed  uint64 // seed of the election timeouts

	ElectionTicks  int // election timeouts are random in [ElectionTicks, 2*ElectionTicks)
	HeartbeatTicks int // ticks between heartbeat rounds
	LeaseTicks     int // length of the leader lease; at most ElectionTicks-1

	// QuorumTicks is how long a leader without contact with a quorum remains leader.
	// Minimum and default: ElectionTicks. With a larger value, the leader need not
	// step down while lost packets are retransmitted. The lease does not become
	// longer, and the others may elect another leader in the meantime.
	QuorumTicks int

	MaxEntriesPerMessage int // entries in one append message
	MaxBytesPerMessage   int // bytes of entry data in one append message; a larger entry is sent alone
	MaxInFlight          int // append messages to one member without a reply; their bytes are limited to MaxInFlight*MaxBytesPerMessage
	MaxUncommitted       int // uncommitted entries in the log of the leader

	QuiesceTicks   int  // ticks without a request before a group quiesces; default: 2*ElectionTicks
	DisableQuiesce bool // an idle group goes on sending heartbeats
}

// InitialState is the persisted state of a replica when it starts.
type InitialState struct {
	HardState    *raftpb.HardState    // nil: none was persisted
	Snapshot     *raftpb.SnapshotMeta // latest snapshot; nil: none
	Entries      []*raftpb.Entry      // without gaps; may start before the snapshot's index
	AppliedIndex uint64               // last index applied to the state machine; at least that of Snapshot
	// SilentTicks is the number of whole ticks for which this replica has certainly not
	// run before New. A replica that ran later may have promised a leader not to vote.
	SilentTicks int
}

// Bootstrap returns the initial state of a replica of a new group with the given
// members. All of them must start with the same membership, and the host must
// persist the Snapshot (index 0) before it calls New.
func Bootstrap(m *raftpb.Membership) InitialState {
	return InitialState{Snapshot: &raftpb.SnapshotMeta{Membership: normalize(m)}}
}

// withDefaults returns the configuration with defaults for the numbers that are
// not set. Error: ErrInvalidConfig.
func (c Config) withDefaults() (Config, error) {
	setDefault(&c.ElectionTicks, DefaultElectionTicks)
	setDefault(&c.HeartbeatTicks, DefaultHeartbeatTicks)
	setDefault(&c.LeaseTicks, max(1, (c.ElectionTicks-1)*2/3))
	setDefault(&c.QuiesceTicks, 2*c.ElectionTicks)
	setDefault(&c.QuorumTicks, c.ElectionTicks)
	setDefault(&c.MaxEntriesPerMessage, DefaultMaxEntriesPerMessage)
	setDefault(&c.MaxBytesPerMessage, DefaultMaxBytesPerMessage)
	setDefault(&c.MaxInFlight, DefaultMaxInFlight)
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
