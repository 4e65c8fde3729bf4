package raft

import "ibistray.example/ibistray/proto/raftpb"

// Node is one replica of one group. It is not safe for concurrent use.
type Node struct {
	cfg Config
}

// New returns the replica as a follower. It returns ErrConfig if the
// configuration or the state is not consistent.
func New(cfg Config, initial InitialState) (*Node, error) { panic("not built yet") }

// Tick advances the replica's time by one tick. It does nothing while the
// replica is quiesced.
func (n *Node) Tick() { panic("not built yet") }

// Step takes in a message from another replica. It returns ErrWrongReplica or
// ErrInvalidMessage for a message that it does not take; messages that are late
// or duplicates are dropped without an error.
func (n *Node) Step(m *raftpb.Message) error { panic("not built yet") }

// Propose appends a command to the log of the leader and returns its place. The
// command is committed when an entry with this index and term is handed out in
// Ready.Committed; an entry with this index and another term means that it was
// not. Errors: ErrNotLeader, ErrTransferring, ErrBusy; the command was then not
// taken.
func (n *Node) Propose(data []byte) (index, term uint64, err error) { panic("not built yet") }

// ChangeKind is the kind of a membership change.
type ChangeKind uint8

// Kinds of membership changes.
const (
	ChangeAddLearner ChangeKind = iota + 1 // Member with a new ID
	ChangePromote                          // a learner by Member.Id
	ChangeRemove                           // a member by Member.Id
	ChangeAddress                          // Member.Address and FailureDomain of a member by Member.Id
)

// Change is one step from one membership to the next.
type Change struct {
	Kind   ChangeKind
	Member *raftpb.Member
}

// ProposeMembership appends a membership change and returns its place, as
// Propose does. Errors: ErrNotLeader, ErrTransferring, ErrChangePending,
// ErrInvalidChange, ErrReplicaIDReused, ErrLearnerBehind, ErrRemoveLeader; the
// change was then not taken.
func (n *Node) ProposeMembership(c Change) (index, term uint64, err error) { panic("not built yet") }

// TransferLeadership asks another voter to take over. Proposals are refused
// until it has done so or until ElectionTicks have passed. Errors: ErrNotLeader,
// ErrTransferring, ErrInvalidTarget.
func (n *Node) TransferLeadership(id uint64) error { panic("not built yet") }

// ReadIndex asks for a linearizable read. The answer comes as a ReadState with
// the same context: at once under the lease, else after a heartbeat round to a
// quorum. Error: ErrNotLeader.
func (n *Node) ReadIndex(context uint64) error { panic("not built yet") }

// LeaseRead returns the index up to which the state machine must be applied for
// a linearizable read now. ok is false without a valid lease; the host then
// uses ReadIndex.
func (n *Node) LeaseRead() (index uint64, ok bool) { panic("not built yet") }

// LeaseRemaining returns the ticks for which the lease holds from the last Tick
// on, 0 without a lease. A host may take the time of the last Tick plus this
// many ticks as the deadline of reads on other threads.
func (n *Node) LeaseRemaining() int { panic("not built yet") }

// LeaseValid tells whether this replica leads the group under a valid lease.
func (n *Node) LeaseValid() bool { panic("not built yet") }

// Quiesced tells whether the replica needs no ticks.
func (n *Node) Quiesced() bool { panic("not built yet") }

// Wake ends the quiescence of a replica; otherwise it does nothing. elapsed is
// the number of whole ticks for which it was not ticked, rounded down. suspect
// says that the leader's host is suspected to have failed: the replica then
// starts an election without waiting for a full timeout.
func (n *Node) Wake(elapsed int, suspect bool) { panic("not built yet") }

// SnapshotMeta returns the metadata of a snapshot of the state at index, which
// must be applied and not compacted. Errors: ErrUnavailable, ErrCompacted.
func (n *Node) SnapshotMeta(index uint64) (*raftpb.SnapshotMeta, error) { panic("not built yet") }

// Compact records that the host holds a durable snapshot with this metadata and
// drops the entries up to its index from memory, but for the last retain ones,
// which serve members that are a little behind. Errors: ErrUnavailable,
// ErrCompacted (an older snapshot).
func (n *Node) Compact(meta *raftpb.SnapshotMeta, retain uint64) error { panic("not built yet") }

// ReportSnapshot reports the end of the stream of a snapshot to a member. The
// host must call it once for each MESSAGE_KIND_SNAPSHOT message.
func (n *Node) ReportSnapshot(id uint64, ok bool) { panic("not built yet") }

// MemberStatus is the leader's view of one other member.
type MemberStatus struct {
	ID        uint64
	Learner   bool
	Match     uint64 // highest index known to be durable there
	CaughtUp  bool   // a learner that may be promoted
	LostState bool   // it answered with less than it had acknowledged; replace it under a new ID
	SinceAck  int    // ticks since the last acknowledged round was sent; -1: none
}

// Status is a view of a replica for operators and tests.
type Status struct {
	SoftState
	ID         uint64
	Learner    bool
	First      uint64 // first index that the log still holds
	Last       uint64
	Stable     uint64 // durable up to
	Commit     uint64
	Applied    uint64
	Membership *raftpb.Membership
	NextID     uint64         // replica ID for the next new member
	Members    []MemberStatus // on the leader: the others, in order of ID
	Quiesced   bool
}

// Status returns the replica's status.
func (n *Node) Status() Status { panic("not built yet") }

// normalize is replaced with the membership code.
func normalize(m *raftpb.Membership) *raftpb.Membership { return m }
