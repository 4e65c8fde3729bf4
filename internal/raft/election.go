package raft

import (
	"slices"

	"ibistray.example/ibistray/proto/raftpb"
)

// ballot is the answer of one replica to a candidate, in the current round of
// pre-votes or votes.
type ballot struct {
	id      uint64
	granted bool
}

// becomeFollower enters a term, or stays in it, as a follower of leader (0: not
// known). The promise to an earlier leader, sinceLeader, outlasts the change.
func (n *Node) becomeFollower(term, leader uint64) {
	if n.role == RoleLeader {
		n.resignLeader()
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

// resignLeader drops the state that only a leader has.
func (n *Node) resignLeader() {
	for _, r := range n.reads {
		n.readStates = append(n.readStates, ReadState{Context: r.context, Aborted: true})
	}
	n.reads = nil
	n.peers = nil
	n.transfer = transfer{}
	n.sinceLeader = n.cfg.ElectionTicks
}

func (n *Node) resetElectionTimer() {
	n.electionElapsed = 0
	n.electionTimeout = n.cfg.ElectionTicks + int(n.rng.Uint64()%uint64(n.cfg.ElectionTicks))
}

// preCampaign asks whether an election could be won, without a change of term.
func (n *Node) preCampaign() {
	n.role = RolePreCandidate
	n.leader = 0
	n.ballots = nil
	n.resetElectionTimer()
	n.askVoters(raftpb.MessageKind_MESSAGE_KIND_PRE_VOTE, n.term+1, false)
	n.countBallot(n.cfg.ID, true)
}

// campaign starts an election. byTransfer says that the leader of the current
// term has given up its lease. The candidate's own vote counts once it is
// durable, see ReportPersisted.
func (n *Node) campaign(byTransfer bool) {
	if n.role == RoleLeader {
		n.resignLeader()
	}
	n.term++
	n.vote = n.cfg.ID
	n.role = RoleCandidate
	n.leader = 0
	n.leaderRound = 0
	n.ballots = nil
	n.quiesced = false
	n.resetElectionTimer()
	n.askVoters(raftpb.MessageKind_MESSAGE_KIND_VOTE, n.term, byTransfer)
}

func (n *Node) askVoters(kind raftpb.MessageKind, term uint64, byTransfer bool) {
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

// hearsLeader tells whether this replica is bound by its promise to a leader and
// must refuse its vote. A leader that asks for a vote itself has given up its
// leadership, so that the promise to it is void.
func (n *Node) hearsLeader(candidate uint64) bool {
	if n.role == RoleLeader {
		return true
	}
	if n.leader == candidate {
		return false
	}
	return n.quiesced || n.sinceLeader < n.cfg.ElectionTicks
}

// durable tells whether nothing waits for the local disk. A replica whose disk
// hangs starts no election: it could not send its vote requests, and its growing
// term would disturb the elections of the others.
func (n *Node) durable() bool {
	return n.savedTerm == n.term && n.log.stable == n.log.last()
}

// initialized is false for a replica that started empty and has not yet learnt
// the membership. Its log says nothing about the group's.
func (n *Node) initialized() bool { return len(n.membership().Members) > 0 }

func (n *Node) handlePreVote(m *raftpb.Message) {
	grant := m.Term > n.term &&
		!n.hearsLeader(m.From) &&
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
	// A member that missed the leader may be right: watch for the leader again.
	n.Wake(0, false)
	if reply.Term == 0 && n.term == 0 {
		return
	}
	n.send(reply)
}

func (n *Node) handleVote(m *raftpb.Message) {
	if m.Term >= n.term && !m.Transfer && n.hearsLeader(m.From) {
		return
	}
	if m.Term > n.term {
		n.becomeFollower(m.Term, 0)
	}
	free := n.vote == m.From || (n.vote == 0 && n.leader == 0)
	grant := m.Term == n.term && free && n.initialized() && n.log.upToDate(m.Index, m.LogTerm)
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
	n.countBallot(m.From, !m.Reject)
}

func (n *Node) handleVoteReply(m *raftpb.Message) {
	if n.role == RoleCandidate {
		n.countBallot(m.From, !m.Reject)
	}
}

// countBallot records a ballot and ends the election if it is decided.
func (n *Node) countBallot(id uint64, granted bool) {
	seen := slices.ContainsFunc(n.ballots, func(b ballot) bool { return b.id == id })
	if !seen {
		n.ballots = append(n.ballots, ballot{id: id, granted: granted})
	}
	quorum := n.membership().quorum()
	switch {
	case n.countVoters(true) >= quorum && n.role == RolePreCandidate:
		n.campaign(false)
	case n.countVoters(true) >= quorum:
		n.becomeLeader()
	case n.countVoters(false) >= quorum:
		n.becomeFollower(n.term, 0)
	}
}

// countVoters returns how many voters have given this answer.
func (n *Node) countVoters(granted bool) int {
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
	n.ballots = nil
	n.leaderSince = n.tick
	n.lastActive = n.tick
	n.transfer = transfer{}
	n.stalledTicks = 0
	n.round = 0
	n.peers = nil
	n.syncPeers()
	n.termStart = n.appendEntry(raftpb.EntryKind_ENTRY_KIND_EMPTY, nil)
	n.beginRound()
}
