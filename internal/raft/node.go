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

	// Durable state and what is known of its persistence.
	term      uint64
	vote      uint64
	savedTerm uint64            // term reported durable
	handed    *raftpb.HardState // last HardState handed out
	log       entryLog
	snapshot  *raftpb.SnapshotMeta
	configs   []configAt // memberships in the log, oldest first, never empty

	// Volatile state of every role. Times are counts of ticks.
	role            Role
	leader          uint64
	tick            uint64 // ticks since the start, from 1 on
	electionElapsed int    // since the election timer was reset
	electionTimeout int    // drawn at each reset
	sinceLeader     int    // since a leader was heard, or since the start
	leaderRound     round  // latest round heard from the leader of this term
	quiesced        bool

	// Candidates.
	ballots []ballot

	// Leader.
	peers       []*progress // other members, in order of ID
	termStart   uint64      // index of the first entry of the term
	leaderSince uint64      // tick at which leadership began or the group woke
	lastActive  uint64      // tick of the last request
	round       round       // latest heartbeat round
	roundCommit uint64      // commit index when the latest round began
	reads       []pendingRead
	transfer    transfer

	stalledAt    uint64 // durable index when it last moved behind the commit index
	stalledTicks int    // ticks since then

	// Output since the last Ready.
	softState  SoftState // last one handed out
	install    *raftpb.SnapshotMeta
	messages   []*raftpb.Message
	afterSync  []*raftpb.Message
	readStates []ReadState
}

// New returns the replica as a follower. It returns ErrInvalidConfig if the
// configuration or the state is not consistent.
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
	n.softState = n.currentSoftState()
	return n, nil
}

// load takes in the state found on disk.
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
	n.log.released = n.log.applied
	if n.log.applied > n.log.commit {
		return fmt.Errorf("%w: applied index %d is beyond the commit index %d", ErrInvalidConfig, n.log.applied, n.log.commit)
	}
	n.configs = []configAt{{index: n.snapshot.Index, membership: membership{normalize(n.snapshot.Membership)}}}
	return n.adoptConfigs(entries)
}

func (n *Node) loadHardState(hs *raftpb.HardState) error {
	n.handed = &raftpb.HardState{Term: hs.GetTerm(), Vote: hs.GetVote(), Commit: hs.GetCommit()}
	n.term, n.vote, n.savedTerm = hs.GetTerm(), hs.GetVote(), hs.GetTerm()
	if hs.GetCommit() > n.log.last() {
		return fmt.Errorf("%w: commit index %d is beyond the last entry %d", ErrInvalidConfig, hs.GetCommit(), n.log.last())
	}
	if n.log.lastTerm() > n.term {
		return fmt.Errorf("%w: last entry has term %d, hard state has term %d", ErrInvalidConfig, n.log.lastTerm(), n.term)
	}
	n.log.commitTo(hs.GetCommit())
	return nil
}

// Tick advances the replica's time by one tick. It does nothing while the
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
	n.sinceLeader++
	n.electionElapsed++
	timedOut := n.electionElapsed >= n.electionTimeout && n.sinceLeader >= n.cfg.ElectionTicks
	if timedOut && n.electable() && n.durable() {
		n.preCampaign()
	}
}

// Step takes in a message from another replica. It returns ErrWrongReplica or
// ErrInvalidMessage for a message that it does not take; messages that are late
// or duplicates are dropped without an error. The message must not be changed
// afterwards.
func (n *Node) Step(m *raftpb.Message) error {
	if err := n.check(m); err != nil {
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
		n.answerStaleLeader(m)
		return nil
	}
	prospective := m.Kind == raftpb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY && !m.Reject
	if m.Term > n.term && !prospective {
		n.becomeFollower(m.Term, 0)
	}
	n.dispatch(m)
	return nil
}

// dispatch hands a message of the current term to its handler.
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

// check refuses messages that are not for this replica or not well formed.
func (n *Node) check(m *raftpb.Message) error {
	if m.Group != n.cfg.Group || m.To != n.cfg.ID {
		return fmt.Errorf("%w: group %d, replica %d", ErrWrongReplica, m.Group, m.To)
	}
	if m.From == 0 || m.From == n.cfg.ID || m.Term == 0 {
		return fmt.Errorf("%w: from %d in term %d", ErrInvalidMessage, m.From, m.Term)
	}
	isSnapshot := m.Kind == raftpb.MessageKind_MESSAGE_KIND_SNAPSHOT
	if isSnapshot && m.Snapshot.GetIndex() == 0 {
		return fmt.Errorf("%w: snapshot message without a snapshot", ErrInvalidMessage)
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

// checkContiguous tells whether entries have consecutive indexes from first on.
func checkContiguous(entries []*raftpb.Entry, first uint64) error {
	for i, e := range entries {
		if want := first + uint64(i); e.Index != want {
			return fmt.Errorf("entry %d where %d is due", e.Index, want)
		}
	}
	return nil
}

// answerStaleLeader tells a leader of an earlier term that its term is over.
func (n *Node) answerStaleLeader(m *raftpb.Message) {
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

// send queues a message. Votes and acknowledgements, and all messages of a term
// that is not yet durable, wait for persistence. Pre-votes promise nothing.
func (n *Node) send(m *raftpb.Message) {
	m.Group = n.cfg.Group
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	if n.mustWait(m.Kind) {
		n.afterSync = append(n.afterSync, m)
		return
	}
	n.messages = append(n.messages, m)
}

func (n *Node) mustWait(kind raftpb.MessageKind) bool {
	switch kind {
	case raftpb.MessageKind_MESSAGE_KIND_PRE_VOTE, raftpb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY:
		return false
	case raftpb.MessageKind_MESSAGE_KIND_VOTE,
		raftpb.MessageKind_MESSAGE_KIND_VOTE_REPLY,
		raftpb.MessageKind_MESSAGE_KIND_APPEND_REPLY:
		return true
	}
	return n.savedTerm != n.term
}

// Propose appends a command to the log of the leader and returns its place. The
// command is committed when an entry with this index and term is handed out in
// Ready.Committed; an entry with this index and another term means that it was
// not. Errors: ErrNotLeader, ErrTransferring, ErrTooManyUncommitted; the command was then not
// taken. data must not be changed afterwards.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if err := n.mayPropose(); err != nil {
		return 0, 0, err
	}
	index = n.appendEntry(raftpb.EntryKind_ENTRY_KIND_COMMAND, data)
	return index, n.term, nil
}

// mayPropose wakes the group and tells whether the leader takes proposals.
func (n *Node) mayPropose() error {
	switch {
	case n.role != RoleLeader:
		return ErrNotLeader
	case n.transfer.target != 0:
		return ErrTransferring
	case n.log.last()-n.log.commit >= uint64(n.cfg.MaxUncommitted):
		return ErrTooManyUncommitted
	}
	n.touch()
	return nil
}

// appendEntry adds an entry to the leader's log. Ready sends it to the members.
func (n *Node) appendEntry(kind raftpb.EntryKind, data []byte) uint64 {
	e := &raftpb.Entry{Term: n.term, Index: n.log.last() + 1, Kind: kind, Data: data}
	n.log.append(e)
	return e.Index
}

func (n *Node) currentSoftState() SoftState {
	return SoftState{Leader: n.leader, Role: n.role, Term: n.term}
}

func (n *Node) currentHardState() *raftpb.HardState {
	commit := max(n.handed.Commit, n.log.releasable())
	return &raftpb.HardState{Term: n.term, Vote: n.vote, Commit: commit}
}

func (n *Node) hardStateChanged() bool {
	return n.handed.Term != n.term || n.handed.Vote != n.vote || n.handed.Commit < n.log.releasable()
}

// marshal encodes a message that is known to be valid.
func marshal(m proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("raft: marshal: %v", err))
	}
	return data
}
