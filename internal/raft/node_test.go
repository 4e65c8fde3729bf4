package raft

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/raftpb"
)

const (
	kindPreVote        = raftpb.MessageKind_MESSAGE_KIND_PRE_VOTE
	kindVote           = raftpb.MessageKind_MESSAGE_KIND_VOTE
	kindVoteReply      = raftpb.MessageKind_MESSAGE_KIND_VOTE_REPLY
	kindAppend         = raftpb.MessageKind_MESSAGE_KIND_APPEND
	kindAppendReply    = raftpb.MessageKind_MESSAGE_KIND_APPEND_REPLY
	kindHeartbeat      = raftpb.MessageKind_MESSAGE_KIND_HEARTBEAT
	kindHeartbeatReply = raftpb.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY
	kindPreVoteReply   = raftpb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY
)

func membershipOf(ids ...uint64) *raftpb.Membership {
	m := &raftpb.Membership{}
	for _, id := range ids {
		m.Members = append(m.Members, &raftpb.Member{Id: id})
	}
	return m
}

func newNode(t testing.TB, initial InitialState) *Node {
	n, err := New(Config{Group: 1, ID: 1}, initial)
	assert.NilError(t, err)
	return n
}

func step(t testing.TB, n *Node, m *raftpb.Message) {
	m.Group, m.To = 1, n.cfg.ID
	if m.From == 0 {
		m.From = 2
	}
	assert.NilError(t, n.Step(m))
}

// persistReady returns the next Ready and reports it as persisted.
func persistReady(n *Node) Ready {
	rd := n.Ready()
	n.ReportPersisted(rd.Receipt)
	return rd
}

func runTicks(n *Node, count int) {
	for range count {
		n.Tick()
	}
}

func makeEntries(first uint64, terms ...uint64) []*raftpb.Entry {
	var es []*raftpb.Entry
	for i, term := range terms {
		es = append(es, &raftpb.Entry{Index: first + uint64(i), Term: term, Data: []byte(fmt.Sprint(term))})
	}
	return es
}

// stateWithLog returns the persisted state of a replica in a group of the voters 1,
// 2 and 3, with one log entry for each of the terms.
func stateWithLog(commit uint64, terms ...uint64) InitialState {
	initial := Bootstrap(membershipOf(1, 2, 3))
	initial.Entries = makeEntries(1, terms...)
	initial.HardState = &raftpb.HardState{Term: terms[len(terms)-1], Commit: commit}
	return initial
}

func TestVotesAndAcknowledgementsWaitForPersistence(t *testing.T) {
	n := newNode(t, stateWithLog(0, 1))
	runTicks(n, DefaultElectionTicks)
	step(t, n, &raftpb.Message{Kind: kindVote, Term: 2, Index: 1, LogTerm: 1})
	step(t, n, &raftpb.Message{Kind: kindAppend, Term: 2, Index: 1, LogTerm: 1, Entries: makeEntries(2, 2)})
	rd := n.Ready()
	assert.Equal(t, len(rd.Messages), 0)
	assert.Equal(t, len(rd.MessagesAfterPersist), 2)
	assert.Equal(t, rd.MessagesAfterPersist[0].Kind, kindVoteReply)
	assert.Equal(t, rd.MessagesAfterPersist[1].Kind, kindAppendReply)
	assert.Assert(t, rd.MustSync)
	assert.Equal(t, rd.HardState.Vote, uint64(2))
	assert.Equal(t, len(rd.Entries), 1)
}

func TestVoteSurvivesARestart(t *testing.T) {
	n := newNode(t, stateWithLog(0, 1))
	runTicks(n, DefaultElectionTicks)
	step(t, n, &raftpb.Message{Kind: kindVote, Term: 2, Index: 1, LogTerm: 1})
	restarted := stateWithLog(0, 1)
	restarted.HardState = persistReady(n).HardState
	n = newNode(t, restarted)
	runTicks(n, DefaultElectionTicks)
	step(t, n, &raftpb.Message{Kind: kindVote, From: 3, Term: 2, Index: 1, LogTerm: 1})
	assert.Assert(t, persistReady(n).MessagesAfterPersist[0].Reject)
}

// silent returns the state of a replica that did not run for some ticks.
func silent(initial InitialState, ticks int) InitialState {
	initial.SilentTicks = ticks
	return initial
}

func TestVoteGranting(t *testing.T) {
	tests := map[string]struct {
		ticks    int
		initial  InitialState
		msg      *raftpb.Message
		responds bool
		granted  bool
	}{
		"soon after a restart":      {1, stateWithLog(0, 1), &raftpb.Message{Kind: kindVote, Term: 2, Index: 1, LogTerm: 1}, false, false},
		"restart, silent too short": {5, silent(stateWithLog(0, 1), 4), &raftpb.Message{Kind: kindVote, Term: 2, Index: 1, LogTerm: 1}, false, false},
		"restart after a silence":   {6, silent(stateWithLog(0, 1), 4), &raftpb.Message{Kind: kindVote, Term: 2, Index: 1, LogTerm: 1}, true, true},
		"by transfer":               {1, stateWithLog(0, 1), &raftpb.Message{Kind: kindVote, Term: 2, Index: 1, LogTerm: 1, Transfer: true}, true, true},
		"after the timeout":         {10, stateWithLog(0, 1), &raftpb.Message{Kind: kindVote, Term: 2, Index: 1, LogTerm: 1}, true, true},
		"shorter log":               {10, stateWithLog(0, 1, 1), &raftpb.Message{Kind: kindVote, Term: 2, Index: 1, LogTerm: 1}, true, false},
		"longer log, old term":      {10, stateWithLog(0, 1, 2), &raftpb.Message{Kind: kindVote, Term: 3, Index: 9, LogTerm: 1}, true, false},
		"old term":                  {10, stateWithLog(0, 1, 2), &raftpb.Message{Kind: kindVote, Term: 1, Index: 9, LogTerm: 2}, true, false},
		"empty replica":             {10, InitialState{}, &raftpb.Message{Kind: kindVote, Term: 2, Index: 1, LogTerm: 1}, true, false},
		"pre-vote too soon":         {9, stateWithLog(0, 1), &raftpb.Message{Kind: kindPreVote, Term: 2, Index: 1, LogTerm: 1}, true, false},
		"pre-vote":                  {10, stateWithLog(0, 1), &raftpb.Message{Kind: kindPreVote, Term: 2, Index: 1, LogTerm: 1}, true, true},
		"pre-vote, same term":       {10, stateWithLog(0, 1), &raftpb.Message{Kind: kindPreVote, Term: 1, Index: 1, LogTerm: 1}, true, false},
		"pre-vote, short log":       {10, stateWithLog(0, 1, 1), &raftpb.Message{Kind: kindPreVote, Term: 2, Index: 1, LogTerm: 1}, true, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			n := newNode(t, test.initial)
			n.electionTimeout = 100
			runTicks(n, test.ticks)
			step(t, n, test.msg)
			rd := n.Ready()
			replies := append(rd.Messages, rd.MessagesAfterPersist...)
			assert.Equal(t, len(replies) == 1, test.responds)
			if test.responds {
				assert.Equal(t, !replies[0].Reject, test.granted)
			}
		})
	}
}

func TestSingleVoterCountsItselfOnlyWhenDurable(t *testing.T) {
	n := newNode(t, Bootstrap(membershipOf(1)))
	runTicks(n, 2*DefaultElectionTicks)
	assert.Equal(t, n.role, RoleCandidate)
	persistReady(n)
	assert.Equal(t, n.role, RoleLeader)
	index, term, err := n.Propose([]byte("x"))
	assert.NilError(t, err)
	rd := n.Ready()
	assert.Equal(t, len(rd.Committed), 0)
	n.ReportPersisted(rd.Receipt)
	committed := n.Ready().Committed
	last := committed[len(committed)-1]
	assert.Equal(t, last.Index, index)
	assert.Equal(t, last.Term, term)
	assert.Assert(t, n.LeaseValid())
}

// newLeader returns replica 1 of a group of three as the leader of term 1. The
// first entry of its term is committed.
func newLeader(t testing.TB, cfg Config) *Node {
	cfg.Group, cfg.ID = 1, 1
	n, err := New(cfg, Bootstrap(membershipOf(1, 2, 3)))
	assert.NilError(t, err)
	runTicks(n, n.electionTimeout)
	assert.Equal(t, n.role, RolePreCandidate)
	step(t, n, &raftpb.Message{Kind: kindPreVoteReply, Term: 1})
	persistReady(n)
	step(t, n, &raftpb.Message{Kind: kindVoteReply, Term: 1})
	assert.Equal(t, n.role, RoleLeader)
	persistReady(n)
	acknowledge(t, n, 2, 1)
	acknowledge(t, n, 3, 1)
	persistReady(n)
	return n
}

func acknowledge(t testing.TB, n *Node, from, index uint64) {
	step(t, n, &raftpb.Message{Kind: kindAppendReply, From: from, Term: n.term, Index: index, Context: uint64(n.round)})
}

func TestPipelineStopsAtTheInFlightLimit(t *testing.T) {
	n := newLeader(t, Config{MaxInFlight: 2, MaxEntriesPerMessage: 1, MaxUncommitted: 5})
	for range 5 {
		_, _, err := n.Propose([]byte("x"))
		assert.NilError(t, err)
	}
	_, _, err := n.Propose([]byte("x"))
	assert.ErrorIs(t, err, ErrTooManyUncommitted)
	assert.Equal(t, len(persistReady(n).Messages), 4)
	acknowledge(t, n, 2, 2)
	assert.Equal(t, len(persistReady(n).Messages), 1)
	assert.Equal(t, n.log.commit, uint64(2))
}

// TestPipelineStopsAtTheBytesInFlight guards against a member that is sent many large entries before
// it has replied to any.
func TestPipelineStopsAtTheBytesInFlight(t *testing.T) {
	n := newLeader(t, Config{MaxInFlight: 8, MaxBytesPerMessage: 100})
	for range 5 {
		_, _, err := n.Propose(make([]byte, 500))
		assert.NilError(t, err)
	}
	assert.Equal(t, len(persistReady(n).Messages), 4, "two entries of 500 bytes to each member")
	acknowledge(t, n, 2, 2)
	assert.Equal(t, len(persistReady(n).Messages), 1)
	acknowledge(t, n, 2, 6)
	assert.Equal(t, n.log.commit, uint64(6))
}

func TestLeaseCountsFromTheSendingOfTheRound(t *testing.T) {
	n := newLeader(t, Config{})
	sent := n.round
	runTicks(n, DefaultLeaseTicks-1)
	step(t, n, &raftpb.Message{Kind: kindHeartbeatReply, Term: n.term, Index: 1, Context: uint64(sent)})
	assert.Equal(t, n.LeaseRemaining(), 1)
	n.Tick()
	step(t, n, &raftpb.Message{Kind: kindHeartbeatReply, Term: n.term, Index: 1, Context: uint64(sent)})
	assert.Equal(t, n.LeaseRemaining(), 0)
	step(t, n, &raftpb.Message{Kind: kindHeartbeatReply, Term: n.term, Index: 1, Context: uint64(n.round)})
	assert.Equal(t, n.LeaseRemaining(), DefaultLeaseTicks)
}

func TestLeaderCountsItsOwnEntriesOnlyWhenDurable(t *testing.T) {
	n := newLeader(t, Config{})
	index, _, err := n.Propose([]byte("x"))
	assert.NilError(t, err)
	rd := n.Ready()
	acknowledge(t, n, 2, index)
	assert.Equal(t, n.log.commit, index-1)
	n.ReportPersisted(rd.Receipt)
	assert.Equal(t, n.log.commit, index)
}

func TestPreVoteWakesAQuiescedFollower(t *testing.T) {
	n := newNode(t, stateWithLog(2, 1, 1))
	step(t, n, &raftpb.Message{Kind: kindHeartbeat, Term: 1, Index: 2, LogTerm: 1, Commit: 2, Context: 1, Quiesce: true})
	assert.Assert(t, n.Quiesced())
	step(t, n, &raftpb.Message{Kind: kindPreVote, From: 3, Term: 2, Index: 2, LogTerm: 1})
	assert.Assert(t, persistReady(n).Messages[0].Reject)
	assert.Assert(t, !n.Quiesced())
}

func TestBatchesAreLimitedInBytes(t *testing.T) {
	n := newLeader(t, Config{MaxBytesPerMessage: 10})
	for range 4 {
		_, _, err := n.Propose(make([]byte, 6))
		assert.NilError(t, err)
	}
	for _, m := range persistReady(n).Messages {
		assert.Equal(t, len(m.Entries), 1)
	}
}

func TestEntryOfEarlierTermIsNotCommittedByCounting(t *testing.T) {
	n := newNode(t, stateWithLog(0, 1, 1))
	runTicks(n, 20)
	step(t, n, &raftpb.Message{Kind: kindPreVoteReply, Term: 2})
	persistReady(n)
	step(t, n, &raftpb.Message{Kind: kindVoteReply, Term: 2})
	persistReady(n)
	acknowledge(t, n, 2, 2)
	assert.Equal(t, n.log.commit, uint64(0))
	assert.Equal(t, n.readIndex(), uint64(3))
	_, _, err := n.ProposeMembership(MembershipChange{ChangeRemove, &raftpb.Member{Id: 3}})
	assert.ErrorIs(t, err, ErrChangePending)
	acknowledge(t, n, 2, 3)
	assert.Equal(t, n.log.commit, uint64(3))
}

func TestRejectHintSkipsWholeTerms(t *testing.T) {
	tests := map[string]struct {
		follower []uint64
		rounds   int
	}{
		"missing entries":     {[]uint64{1, 1, 1, 4, 4, 5, 5}, 1},
		"uncommitted entries": {[]uint64{1, 1, 1, 4, 4, 5, 5, 6, 6, 6, 6, 6}, 1},
		"other terms":         {[]uint64{1, 1, 1, 2, 2, 2, 3, 3, 3, 3, 3}, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			leader := newNode(t, stateWithLog(0, 1, 1, 1, 4, 4, 5, 5, 6, 6, 6))
			leader.campaign(false)
			leader.becomeLeader()
			f, err := New(Config{Group: 1, ID: 2}, stateWithLog(0, test.follower...))
			assert.NilError(t, err)
			rejects := 0
			for f.log.last() != leader.log.last() || f.log.lastTerm() != leader.term {
				rejects += exchange(t, leader, f)
				assert.Assert(t, rejects <= test.rounds)
			}
			for i, e := range leader.log.entries {
				assert.Assert(t, proto.Equal(e, f.log.entries[i]), "entry %d", e.Index)
			}
		})
	}
}

// exchange delivers the pending messages between two replicas once and returns the
// number of rejected appends.
func exchange(t *testing.T, a, b *Node) int {
	rejects := 0
	for _, n := range []*Node{a, b} {
		rd := persistReady(n)
		for _, m := range append(rd.Messages, rd.MessagesAfterPersist...) {
			to := map[uint64]*Node{a.cfg.ID: a, b.cfg.ID: b}[m.To]
			if to == nil {
				continue
			}
			assert.NilError(t, to.Step(m))
			if m.Kind == kindAppendReply && m.Reject {
				rejects++
			}
		}
	}
	return rejects
}

func TestReceiptFromBeforeATruncationIsIgnored(t *testing.T) {
	n := newNode(t, stateWithLog(1, 1))
	step(t, n, &raftpb.Message{Kind: kindAppend, Term: 2, Index: 1, LogTerm: 1, Entries: makeEntries(2, 2, 2)})
	old := n.Ready()
	step(t, n, &raftpb.Message{Kind: kindAppend, From: 3, Term: 3, Index: 1, LogTerm: 1, Entries: makeEntries(2, 3)})
	n.ReportPersisted(old.Receipt)
	assert.Equal(t, n.log.stable, uint64(1))
	rd := persistReady(n)
	assert.Equal(t, len(rd.Entries), 1)
	assert.Equal(t, rd.Entries[0].Term, uint64(3))
	assert.Equal(t, old.Entries[0].Term, uint64(2), "entries that Ready has returned must not change")
	assert.Equal(t, n.log.stable, uint64(2))
}

func TestStaleLeaderIsToldTheCurrentTerm(t *testing.T) {
	n := newNode(t, stateWithLog(0, 1, 3))
	step(t, n, &raftpb.Message{Kind: kindHeartbeat, Term: 2, Context: 1})
	rd := n.Ready()
	assert.Equal(t, rd.Messages[0].Term, uint64(3))
	assert.Equal(t, n.leader, uint64(0))
}

func TestMembershipChanges(t *testing.T) {
	member := func(id uint64) *raftpb.Member { return &raftpb.Member{Id: id, Address: "a"} }
	tests := map[string]struct {
		change MembershipChange
		want   error
	}{
		"ID in use":         {MembershipChange{ChangeAddLearner, member(2)}, ErrReplicaIDReused},
		"unknown member":    {MembershipChange{ChangeRemove, member(9)}, ErrInvalidChange},
		"unknown kind":      {MembershipChange{99, member(2)}, ErrInvalidChange},
		"promote a voter":   {MembershipChange{ChangePromote, member(2)}, ErrInvalidChange},
		"remove the leader": {MembershipChange{ChangeRemove, member(1)}, ErrRemoveLeader},
		"address":           {MembershipChange{ChangeUpdateAddress, member(2)}, nil},
		"remove":            {MembershipChange{ChangeRemove, member(3)}, nil},
		"add":               {MembershipChange{ChangeAddLearner, member(7)}, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			n := newLeader(t, Config{})
			_, _, err := n.ProposeMembership(test.change)
			if test.want != nil {
				assert.ErrorIs(t, err, test.want)
				return
			}
			assert.NilError(t, err)
			_, _, err = n.ProposeMembership(test.change)
			assert.ErrorIs(t, err, ErrChangePending)
		})
	}
}

func TestLearnerIsPromotedOnlyWhenCaughtUp(t *testing.T) {
	n := newLeader(t, Config{})
	_, _, err := n.ProposeMembership(MembershipChange{ChangeAddLearner, &raftpb.Member{Id: 4}})
	assert.NilError(t, err)
	persistReady(n)
	acknowledge(t, n, 2, 2)
	assert.Equal(t, n.log.commit, uint64(2))
	promote := MembershipChange{ChangePromote, &raftpb.Member{Id: 4}}
	_, _, err = n.ProposeMembership(promote)
	assert.ErrorIs(t, err, ErrLearnerBehind)
	runTicks(n, DefaultHeartbeatTicks)
	acknowledge(t, n, 4, 1)
	_, _, err = n.ProposeMembership(promote)
	assert.ErrorIs(t, err, ErrLearnerBehind)
	acknowledge(t, n, 4, 2)
	assert.Assert(t, n.Status().Members[2].CaughtUp)
	_, _, err = n.ProposeMembership(promote)
	assert.NilError(t, err)
	persistReady(n)
	acknowledge(t, n, 2, 3)
	assert.Equal(t, n.log.commit, uint64(2), "the quorum must be 3 of 4 before the promotion is committed")
	acknowledge(t, n, 4, 3)
	assert.Equal(t, n.log.commit, uint64(3))
}

func TestRemovedReplicaLeadsUntilItsRemovalIsCommitted(t *testing.T) {
	initial := stateWithLog(0, 1)
	removal := &raftpb.Entry{Index: 2, Term: 1, Kind: raftpb.EntryKind_ENTRY_KIND_MEMBERSHIP, Data: marshal(membershipOf(2, 3))}
	initial.Entries = append(initial.Entries, removal)
	n := newNode(t, initial)
	assert.Assert(t, n.electable())
	n.campaign(false)
	n.becomeLeader()
	persistReady(n)
	acknowledge(t, n, 2, 3)
	assert.Equal(t, n.log.commit, uint64(0), "the removed replica must not count toward the quorum")
	acknowledge(t, n, 3, 3)
	assert.Equal(t, n.role, RoleFollower)
	assert.Assert(t, !n.electable())
}

func TestNewRejectsInvalidConfigAndState(t *testing.T) {
	bad := stateWithLog(0, 1)
	bad.HardState.Commit = 2
	gap := stateWithLog(0, 1, 1, 1)
	gap.Entries = append(gap.Entries[:1], gap.Entries[2])
	ahead := stateWithLog(1, 1)
	ahead.AppliedIndex = 2
	tests := map[string]struct {
		cfg     Config
		initial InitialState
	}{
		"no ID":                   {Config{}, InitialState{}},
		"heartbeats too slow":     {Config{ID: 1, HeartbeatTicks: 10}, InitialState{}},
		"lease too long":          {Config{ID: 1, LeaseTicks: 10}, InitialState{}},
		"lost committed entries":  {Config{ID: 1}, bad},
		"gap in the log":          {Config{ID: 1}, gap},
		"applied beyond commit":   {Config{ID: 1}, ahead},
		"hard state without term": {Config{ID: 1}, InitialState{Entries: makeEntries(1, 1)}},
	}
	for name, test := range tests {
		_, err := New(test.cfg, test.initial)
		assert.ErrorIs(t, err, ErrInvalidConfig, name)
	}
}

func TestSnapshotAndCompactCheckTheIndex(t *testing.T) {
	initial := stateWithLog(3, 1, 1, 1, 1)
	initial.AppliedIndex = 3
	n := newNode(t, initial)
	_, err := n.SnapshotMeta(4)
	assert.ErrorIs(t, err, ErrNotApplied)
	meta, err := n.SnapshotMeta(3)
	assert.NilError(t, err)
	assert.Assert(t, proto.Equal(meta, &raftpb.SnapshotMeta{Index: 3, Term: 1, Membership: normalize(membershipOf(1, 2, 3))}))
	assert.NilError(t, n.Compact(meta, Retention{Entries: 1, Bytes: 1 << 10}))
	assert.Equal(t, n.Status().FirstIndex, uint64(3))
	_, err = n.SnapshotMeta(2)
	assert.ErrorIs(t, err, ErrCompacted)
	assert.ErrorIs(t, n.Compact(&raftpb.SnapshotMeta{Index: 2}, Retention{}), ErrCompacted)
	assert.ErrorIs(t, n.Compact(&raftpb.SnapshotMeta{Index: 4}, Retention{}), ErrNotApplied)
}

// FuzzStep checks that no message makes a replica panic, lower its commit index, or
// return committed entries twice or with gaps.
func FuzzStep(f *testing.F) {
	for kind := range raftpb.MessageKind_name {
		m := &raftpb.Message{Kind: raftpb.MessageKind(kind), Term: 2, Index: 1, LogTerm: 1, Entries: makeEntries(2, 2), Commit: 2}
		f.Add(marshal(&raftpb.MessageBatch{Messages: []*raftpb.Message{m, m}}), uint8(kind))
	}
	f.Fuzz(func(t *testing.T, data []byte, role uint8) {
		batch := &raftpb.MessageBatch{}
		if proto.Unmarshal(data, batch) != nil {
			return
		}
		n := newLeader(t, Config{})
		if role%2 == 0 {
			n = newNode(t, stateWithLog(1, 1, 1))
			runTicks(n, 10)
		}
		for _, m := range batch.Messages {
			m.Group, m.To, m.From = 1, 1, 2+m.From%2
			commit, applied := n.log.commit, n.log.applying
			_ = n.Step(m)
			rd := persistReady(n)
			assert.Assert(t, n.log.commit >= commit)
			for i, e := range rd.Committed {
				assert.Equal(t, e.Index, max(applied, rd.Snapshot.GetIndex())+1+uint64(i))
			}
		}
	})
}
