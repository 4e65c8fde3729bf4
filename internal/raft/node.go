package raft

import (
	"fmt"
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/proto/raftpb"
)

// Node is one replica of one group. It is not safe for concurrent use.
type Node struct {
	cfg Config
	rng rand.PCG

	// State to persist and how far it is durable.
	term          uint64
	vote          uint64
	durableTerm   uint64            // last term reported as durable
	lastHardState *raftpb.HardState // last HardState returned by Ready
	log           entryLog
	snapshot      *raftpb.SnapshotMeta
	memberships   []indexedMembership // memberships in the log, oldest first, never empty

	// Volatile state of all roles. Durations are in ticks.
	role             Role
	leader           uint64
	tick             uint64 // current tick; 1 at the start
	electionElapsed  int    // time since the election timer was reset
	electionTimeout  int    // random, chosen at each reset
	starting         bool   // no leader was heard since the start, for up to startupTimeouts
	ticksSinceLeader int    // time since the last message from a leader, or since the start
	leaderRound      round  // latest round received from the leader of this term
	quiesced         bool

	// Pre-candidates and candidates.
	ballots []ballot

	// Leaders.
	peers           []*progress // other members, in order of ID
	termStartIndex  uint64      // index of the leader's first entry of this term
	leaderSinceTick uint64      // tick at which leadership began or the group last woke
	lastRequestTick uint64      // tick of the last request
	round           round       // latest heartbeat round
	roundCommit     uint64      // commit index when the latest round began
	reads           []pendingRead
	transfer        transfer

	stalledIndex uint64 // durable index at the last progress while behind the commit index
	stalledTicks int    // ticks behind the commit index without progress, see diskStalled

	// Output since the last Ready.
	lastSoftState        SoftState // last one returned by Ready
	snapshotToInstall    *raftpb.SnapshotMeta
	messages             []*raftpb.Message
	messagesAfterPersist []*raftpb.Message
	readStates           []ReadState
}

// New returns a replica with the given persisted state, as a follower. Error:
// ErrInvalidConfig if the configuration or the state is inconsistent.
func New(cfg Config, initial InitialState) (*Node, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, tick: 1}
	n.rng.Seed(cfg.Seed, cfg.ID)
	if err := n.load(initial); err != nil {
		return nil, err
	}
	n.becomeFollower(n.term, 0)
	n.startElectionTimer(initial.SilentTicks)
	n.lastSoftState = n.currentSoftState()
	return n, nil
}

// load sets the state of the replica from its persisted state.
func (n *Node) load(initial InitialState) error {
	n.snapshot = initial.Snapshot
	if n.snapshot == nil {
		n.snapshot = &raftpb.SnapshotMeta{}
	}
	entries := initial.Entries
	for len(entries) > 0 && entries[0].Index <= n.snapshot.Index {
		entries = entries[1:]
	}
	if err := checkContiguous(entries, n.snapshot.Index+1); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidConfig, err)
	}
	n.log = newEntryLog(n.snapshot, entries)
	if err := n.loadHardState(initial.HardState); err != nil {
		return err
	}
	n.log.applied = max(initial.AppliedIndex, n.snapshot.Index)
	n.log.applying = n.log.applied
	if n.log.applied > n.log.commit {
		return fmt.Errorf("%w: applied index %d is beyond the commit index %d", ErrInvalidConfig, n.log.applied, n.log.commit)
	}
	n.memberships = []indexedMembership{{index: n.snapshot.Index, membership: membership{normalize(n.snapshot.Membership)}}}
	return n.appendMemberships(entries)
}

func (n *Node) loadHardState(hs *raftpb.HardState) error {
	n.lastHardState = &raftpb.HardState{Term: hs.GetTerm(), Vote: hs.GetVote(), Commit: hs.GetCommit()}
	n.term, n.vote, n.durableTerm = hs.GetTerm(), hs.GetVote(), hs.GetTerm()
	if hs.GetCommit() > n.log.last() {
		return fmt.Errorf("%w: commit index %d is beyond the last entry %d", ErrInvalidConfig, hs.GetCommit(), n.log.last())
	}
	if n.log.lastTerm() > n.term {
		return fmt.Errorf("%w: last entry has term %d, hard state has term %d", ErrInvalidConfig, n.log.lastTerm(), n.term)
	}
	n.log.commitTo(hs.GetCommit())
	return nil
}

// Tick advances the time of the replica by one tick. It does nothing while the
// replica is quiesced.
func (n *Node) Tick() {
	if n.quiesced {
		return
	}
	n.tick++
	if n.role == RoleLeader {
		n.tickLeader()
		return
	}
	n.ticksSinceLeader++
	n.electionElapsed++
	timedOut := n.electionElapsed >= n.electionTimeout && n.ticksSinceLeader >= n.cfg.ElectionTicks
	if timedOut && n.electable() && n.allPersisted() {
		n.preCampaign()
	}
}

// Step handles a message from another replica. Errors: ErrWrongReplica and
// ErrInvalidMessage, for a message that it rejects. Late and duplicate messages are
// ignored without an error. The caller must not modify the message afterwards.
func (n *Node) Step(m *raftpb.Message) error {
	if err := n.validateMessage(m); err != nil {
		return err
	}
	if n.role == RoleLeader {
		n.Wake(0, false)
	}
	switch m.Kind {
	case raftpb.MessageKind_MESSAGE_KIND_PRE_VOTE:
		n.handlePreVote(m)
		return nil
	case raftpb.MessageKind_MESSAGE_KIND_VOTE:
		n.handleVote(m)
		return nil
	}
	if m.Term < n.term {
		n.rejectStaleLeader(m)
		return nil
	}
	grantedPreVote := m.Kind == raftpb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY && !m.Reject
	if m.Term > n.term && !grantedPreVote {
		n.becomeFollower(m.Term, 0)
	}
	n.dispatch(m)
	return nil
}

// dispatch passes a message of the current term, or a granted pre-vote, to its
// handler.
func (n *Node) dispatch(m *raftpb.Message) {
	switch m.Kind {
	case raftpb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY:
		n.handlePreVoteReply(m)
	case raftpb.MessageKind_MESSAGE_KIND_VOTE_REPLY:
		n.handleVoteReply(m)
	case raftpb.MessageKind_MESSAGE_KIND_APPEND:
		n.handleAppend(m)
	case raftpb.MessageKind_MESSAGE_KIND_APPEND_REPLY:
		n.handleAppendReply(m)
	case raftpb.MessageKind_MESSAGE_KIND_HEARTBEAT:
		n.handleHeartbeat(m)
	case raftpb.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY:
		n.handleHeartbeatReply(m)
	case raftpb.MessageKind_MESSAGE_KIND_SNAPSHOT:
		n.handleSnapshot(m)
	case raftpb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW:
		n.handleTimeoutNow(m)
	}
}

// validateMessage returns an error for a message that is addressed to another
// replica or malformed.
func (n *Node) validateMessage(m *raftpb.Message) error {
	if m.Group != n.cfg.Group || m.To != n.cfg.ID {
		return fmt.Errorf("%w: group %d, replica %d", ErrWrongReplica, m.Group, m.To)
	}
	if m.From == 0 || m.From == n.cfg.ID || m.Term == 0 {
		return fmt.Errorf("%w: sender %d, term %d", ErrInvalidMessage, m.From, m.Term)
	}
	isSnapshot := m.Kind == raftpb.MessageKind_MESSAGE_KIND_SNAPSHOT
	if isSnapshot && m.Snapshot.GetIndex() == 0 {
		return fmt.Errorf("%w: snapshot message without snapshot metadata", ErrInvalidMessage)
	}
	if err := checkContiguous(m.Entries, m.Index+1); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidMessage, err)
	}
	for _, e := range m.Entries {
		if _, err := entryMembership(e); err != nil {
			return fmt.Errorf("%w: %w", ErrInvalidMessage, err)
		}
	}
	return nil
}

// checkContiguous returns an error unless the entries have consecutive indexes from
// first on.
func checkContiguous(entries []*raftpb.Entry, first uint64) error {
	for i, e := range entries {
		if want := first + uint64(i); e.Index != want {
			return fmt.Errorf("entry has index %d, want %d", e.Index, want)
		}
	}
	return nil
}

// rejectStaleLeader sends the current term to a leader of an earlier one, which
// then steps down.
func (n *Node) rejectStaleLeader(m *raftpb.Message) {
	switch m.Kind {
	case raftpb.MessageKind_MESSAGE_KIND_APPEND,
		raftpb.MessageKind_MESSAGE_KIND_HEARTBEAT,
		raftpb.MessageKind_MESSAGE_KIND_SNAPSHOT:
		n.send(&raftpb.Message{
			Kind:   raftpb.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY,
			To:     m.From,
			Reject: true,
		})
	}
}

// send queues a message for the next Ready, with the current term unless it has
// one. Votes, acknowledgements and all messages of a term that is not yet durable
// are sent only after persistence. Pre-votes never wait: they depend on no durable
// state.
func (n *Node) send(m *raftpb.Message) {
	m.Group = n.cfg.Group
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	if n.mustPersistFirst(m.Kind) {
		n.messagesAfterPersist = append(n.messagesAfterPersist, m)
		return
	}
	n.messages = append(n.messages, m)
}

func (n *Node) mustPersistFirst(kind raftpb.MessageKind) bool {
	switch kind {
	case raftpb.MessageKind_MESSAGE_KIND_PRE_VOTE, raftpb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY:
		return false
	case raftpb.MessageKind_MESSAGE_KIND_VOTE,
		raftpb.MessageKind_MESSAGE_KIND_VOTE_REPLY,
		raftpb.MessageKind_MESSAGE_KIND_APPEND_REPLY:
		return true
	}
	return n.durableTerm != n.term
}

// Propose appends a command to the log of the leader and returns the index and term
// of its entry. The command is committed when Ready.Committed holds an entry with
// this index and term; an entry with this index and another term there means that
// the command was lost. Errors: ErrNotLeader, ErrTransferring,
// ErrTooManyUncommitted; the log is then unchanged. The caller must not modify data
// afterwards.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if err := n.prepareProposal(); err != nil {
		return 0, 0, err
	}
	index = n.appendEntry(raftpb.EntryKind_ENTRY_KIND_COMMAND, data)
	return index, n.term, nil
}

// prepareProposal wakes the group for a proposal, or returns an error if this
// replica cannot accept one at present.
func (n *Node) prepareProposal() error {
	switch {
	case n.role != RoleLeader:
		return ErrNotLeader
	case n.transfer.target != 0:
		return ErrTransferring
	case n.log.last()-n.log.commit >= uint64(n.cfg.MaxUncommitted):
		return ErrTooManyUncommitted
	}
	n.recordRequest()
	return nil
}

// appendEntry appends an entry to the leader's log and returns its index. The next
// Ready sends it to the members.
func (n *Node) appendEntry(kind raftpb.EntryKind, data []byte) uint64 {
	e := &raftpb.Entry{Term: n.term, Index: n.log.last() + 1, Kind: kind, Data: data}
	n.log.append(e)
	return e.Index
}

func (n *Node) currentSoftState() SoftState {
	return SoftState{Leader: n.leader, Role: n.role, Term: n.term}
}

func (n *Node) currentHardState() *raftpb.HardState {
	commit := max(n.lastHardState.Commit, n.log.maxAppliable())
	return &raftpb.HardState{Term: n.term, Vote: n.vote, Commit: commit}
}

func (n *Node) hardStateChanged() bool {
	return n.lastHardState.Term != n.term || n.lastHardState.Vote != n.vote || n.lastHardState.Commit < n.log.maxAppliable()
}

// marshal encodes a message. It panics on an error, which valid messages never cause.
func marshal(m proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("raft: cannot marshal message: %v", err))
	}
	return data
}
