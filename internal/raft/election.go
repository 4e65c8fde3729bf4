package raft

import (
	"slices"

	"ibistray.example/ibistray/proto/raftpb"
)

// ballot is the reply of one replica to a pre-candidate or candidate.
type ballot struct {
	id      uint64
	granted bool
}

// becomeFollower enters a term, or stays in it, as a follower of leader (0: not
// known). It keeps ticksSinceLeader, because the promise to grant no vote for
// ElectionTicks after contact with a leader also holds across a change of term.
func (n *Node) becomeFollower(term, leader uint64) {
	if n.role == RoleLeader {
		n.clearLeaderState()
	}
	if term != n.term {
		n.term = term
		n.vote = 0
	}
	n.role = RoleFollower
	n.leader = leader
	n.leaderRound = 0
	n.ballots = nil
	n.quiesced = false
	n.resetElectionTimer()
}

// clearLeaderState drops the state that only a leader has and aborts its pending
// reads.
func (n *Node) clearLeaderState() {
	for _, r := range n.reads {
		n.readStates = append(n.readStates, ReadState{Context: r.context, Aborted: true})
	}
	n.reads = nil
	n.peers = nil
	n.transfer = transfer{}
	n.ticksSinceLeader = n.cfg.ElectionTicks
}

func (n *Node) resetElectionTimer() {
	n.electionElapsed = 0
	shortest := n.cfg.ElectionTicks
	if n.starting && n.tick < uint64(startupTimeouts*n.cfg.ElectionTicks) {
		shortest = max(1, n.cfg.ElectionTicks/2)
	}
	n.electionTimeout = shortest + int(n.rng.Uint64()%uint64(shortest))
}

// startupTimeouts is the time after the start, in election timeouts, for which a replica
// without a leader makes its attempts in quicker succession.
const startupTimeouts = 4

// startElectionTimer sets the first election timer. After a restart of all replicas, the
// one that voted for itself last campaigns first, as soon as the others may vote: it was
// probably the leader. The others follow at random times, in case it is lost. Attempts
// cost no leader its term, because they begin with a pre-vote.
func (n *Node) startElectionTimer(silentTicks int) {
	n.starting = true
	n.ticksSinceLeader = silentTicks
	n.electionElapsed = silentTicks
	n.electionTimeout = n.cfg.ElectionTicks
	if n.vote != n.cfg.ID {
		quarter := max(1, n.cfg.ElectionTicks/4)
		n.electionTimeout += quarter + int(n.rng.Uint64()%uint64(quarter+1))
	}
}

// preCampaign asks the voters for pre-votes, which show whether an election could
// be won. The term stays the same.
func (n *Node) preCampaign() {
	n.role = RolePreCandidate
	n.leader = 0
	n.ballots = nil
	n.resetElectionTimer()
	n.requestVotes(raftpb.MessageKind_MESSAGE_KIND_PRE_VOTE, n.term+1, false)
	n.recordBallot(n.cfg.ID, true)
}

// campaign starts an election in the next term. byTransfer means that the leader
// of the current term has given up its lease, so that voters need not wait for it
// to end. ReportPersisted counts the candidate's own vote once it is durable.
func (n *Node) campaign(byTransfer bool) {
	if n.role == RoleLeader {
		n.clearLeaderState()
	}
	n.term++
	n.vote = n.cfg.ID
	n.role = RoleCandidate
	n.leader = 0
	n.leaderRound = 0
	n.ballots = nil
	n.quiesced = false
	n.resetElectionTimer()
	n.requestVotes(raftpb.MessageKind_MESSAGE_KIND_VOTE, n.term, byTransfer)
}

func (n *Node) requestVotes(kind raftpb.MessageKind, term uint64, byTransfer bool) {
	for _, m := range n.membership().Members {
		if m.Learner || m.Id == n.cfg.ID {
			continue
		}
		n.send(&raftpb.Message{
			Kind:     kind,
			To:       m.Id,
			Term:     term,
			Index:    n.log.last(),
			LogTerm:  n.log.lastTerm(),
			Transfer: byTransfer,
		})
	}
}

// hasActiveLeader reports whether this replica must not vote for the candidate,
// because it leads, is quiesced, or has heard from a leader less than ElectionTicks
// ago. A candidate that is itself the known leader has given up its leadership, so
// that a follower need not wait for that leader's lease to end.
func (n *Node) hasActiveLeader(candidate uint64) bool {
	if n.role == RoleLeader {
		return true
	}
	if n.leader == candidate {
		return false
	}
	return n.quiesced || n.ticksSinceLeader < n.cfg.ElectionTicks
}

// allPersisted reports whether the term and the log are durable. A replica with a
// stalled disk starts no election: it could not send its vote requests, and its
// rising term would disturb elections of other replicas.
func (n *Node) allPersisted() bool {
	return n.durableTerm == n.term && n.log.stable == n.log.last()
}

// initialized reports whether the replica knows the membership. A replica that
// started empty must not vote before: its empty log does not show which entries
// the group has committed.
func (n *Node) initialized() bool { return len(n.membership().Members) > 0 }

func (n *Node) handlePreVote(m *raftpb.Message) {
	grant := m.Term > n.term &&
		!n.hasActiveLeader(m.From) &&
		n.initialized() &&
		n.log.upToDate(m.Index, m.LogTerm)
	reply := &raftpb.Message{
		Kind:   raftpb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY,
		To:     m.From,
		Reject: !grant,
	}
	if grant {
		reply.Term = m.Term
	}
	// The sender no longer hears the leader, which may have failed: resume the
	// election timer.
	n.Wake(0, false)
	if reply.Term == 0 && n.term == 0 {
		return
	}
	n.send(reply)
}

func (n *Node) handleVote(m *raftpb.Message) {
	if m.Term >= n.term && !m.Transfer && n.hasActiveLeader(m.From) {
		return
	}
	if m.Term > n.term {
		n.becomeFollower(m.Term, 0)
	}
	mayVote := n.vote == m.From || (n.vote == 0 && n.leader == 0)
	grant := m.Term == n.term && mayVote && n.initialized() && n.log.upToDate(m.Index, m.LogTerm)
	if grant {
		n.vote = m.From
		n.resetElectionTimer()
	}
	n.send(&raftpb.Message{
		Kind:   raftpb.MessageKind_MESSAGE_KIND_VOTE_REPLY,
		To:     m.From,
		Reject: !grant,
	})
}

func (n *Node) handlePreVoteReply(m *raftpb.Message) {
	if n.role != RolePreCandidate {
		return
	}
	if !m.Reject && m.Term != n.term+1 {
		return
	}
	n.recordBallot(m.From, !m.Reject)
}

func (n *Node) handleVoteReply(m *raftpb.Message) {
	if n.role == RoleCandidate {
		n.recordBallot(m.From, !m.Reject)
	}
}

// recordBallot records a ballot, unless the replica has already sent one, and ends
// the pre-vote or the election once a quorum has granted or refused.
func (n *Node) recordBallot(id uint64, granted bool) {
	recorded := slices.ContainsFunc(n.ballots, func(b ballot) bool { return b.id == id })
	if !recorded {
		n.ballots = append(n.ballots, ballot{id: id, granted: granted})
	}
	quorum := n.membership().quorum()
	switch {
	case n.countBallots(true) >= quorum && n.role == RolePreCandidate:
		n.campaign(false)
	case n.countBallots(true) >= quorum:
		n.becomeLeader()
	case n.countBallots(false) >= quorum:
		n.becomeFollower(n.term, 0)
	}
}

// countBallots returns the number of voters whose recorded ballot has this value.
func (n *Node) countBallots(granted bool) int {
	count := 0
	for _, b := range n.ballots {
		if b.granted == granted && n.membership().isVoter(b.id) {
			count++
		}
	}
	return count
}

func (n *Node) becomeLeader() {
	n.role = RoleLeader
	n.leader = n.cfg.ID
	n.starting = false
	n.ballots = nil
	n.leaderSinceTick = n.tick
	n.lastRequestTick = n.tick
	n.transfer = transfer{}
	n.stalledTicks = 0
	n.round = 0
	n.peers = nil
	n.syncPeers()
	n.termStartIndex = n.appendEntry(raftpb.EntryKind_ENTRY_KIND_EMPTY, nil)
	n.beginRound()
}
