package raft

import "ibistray.example/ibistray/proto/raftpb"

// queueAppends queues the append messages that the members can take now, and the
// message that starts a leadership transfer once its target holds the whole log.
func (n *Node) queueAppends() {
	if n.role != RoleLeader {
		return
	}
	for _, p := range n.peers {
		n.queueAppendsTo(p)
	}
	n.sendTimeoutNow()
}

func (n *Node) queueAppendsTo(p *progress) {
	if p.lostState {
		return
	}
	switch p.state {
	case stateProbe:
		if !p.probeSent {
			n.sendAppend(p)
		}
	case stateReplicate:
		maxBytes := n.cfg.MaxInFlight * n.cfg.MaxBytesPerMessage
		for p.next <= n.log.last() && p.mayAppend(n.cfg.MaxInFlight, maxBytes) && p.state == stateReplicate {
			n.sendAppend(p)
		}
	}
}

// sendAppend sends the next entries, possibly none, or a snapshot if the entries
// that the member needs are compacted.
func (n *Node) sendAppend(p *progress) {
	prev := p.next - 1
	prevTerm, ok := n.log.term(prev)
	if !ok {
		n.sendSnapshot(p)
		return
	}
	entries := n.log.batch(p.next, n.cfg.MaxEntriesPerMessage, n.cfg.MaxBytesPerMessage)
	n.send(&raftpb.Message{
		Kind:    raftpb.MessageKind_MESSAGE_KIND_APPEND,
		To:      p.id,
		Index:   prev,
		LogTerm: prevTerm,
		Commit:  n.log.commit,
		Entries: entries,
		Context: uint64(n.round),
	})
	sent := sentAppend{last: prev + uint64(len(entries))}
	for _, e := range entries {
		sent.bytes += len(e.GetData())
	}
	p.recordSent(sent, n.round)
}

// recordLeaderContact records a message from the leader of the current term: it
// restarts the election timer and ends quiescence.
func (n *Node) recordLeaderContact(m *raftpb.Message) {
	n.starting = false
	if n.role != RoleFollower || n.leader != m.From {
		n.becomeFollower(n.term, m.From)
	}
	n.ticksSinceLeader = 0
	n.electionElapsed = 0
	n.quiesced = false
	n.leaderRound = max(n.leaderRound, round(m.Context))
}

func (n *Node) handleAppend(m *raftpb.Message) {
	n.recordLeaderContact(m)
	prev, prevTerm, entries := m.Index, m.LogTerm, m.Entries
	if prev < n.log.commit {
		// Both logs hold the same committed entries: skip them.
		skip := n.log.commit - prev
		if skip >= uint64(len(entries)) {
			n.acceptAppend(m, n.log.commit)
			return
		}
		entries = entries[skip:]
		prev = n.log.commit
		prevTerm, _ = n.log.term(prev)
	}
	if !n.log.matches(prev, prevTerm) {
		n.rejectAppend(m)
		return
	}
	last := prev + uint64(len(entries))
	n.truncateAndAppend(n.log.newEntries(entries))
	n.log.commitTo(min(m.Commit, last))
	n.acceptAppend(m, last)
}

// truncateAndAppend appends entries from the leader. They replace the entries of the
// log from the index of the first one on.
func (n *Node) truncateAndAppend(entries []*raftpb.Entry) {
	if len(entries) == 0 {
		return
	}
	n.log.truncate(entries[0].Index)
	n.truncateMemberships(entries[0].Index)
	n.log.append(entries...)
	if err := n.appendMemberships(entries); err != nil {
		panic(err) // cannot happen: Step has validated the entries
	}
}

// acceptAppend acknowledges the log up to index. The reply is sent once these
// entries are durable.
func (n *Node) acceptAppend(m *raftpb.Message, index uint64) {
	n.send(&raftpb.Message{
		Kind:    raftpb.MessageKind_MESSAGE_KIND_APPEND_REPLY,
		To:      m.From,
		Index:   index,
		Context: m.Context,
	})
}

// rejectAppend rejects an append and sends as a hint the last index at which the
// two logs may agree.
func (n *Node) rejectAppend(m *raftpb.Message) {
	hint, hintTerm := n.log.conflictHint(m.Index, m.LogTerm)
	n.send(&raftpb.Message{
		Kind:       raftpb.MessageKind_MESSAGE_KIND_APPEND_REPLY,
		To:         m.From,
		Reject:     true,
		Index:      m.Index,
		RejectHint: hint,
		LogTerm:    hintTerm,
		Context:    m.Context,
	})
}

func (n *Node) handleAppendReply(m *raftpb.Message) {
	p := n.peer(m.From)
	if n.role != RoleLeader || p == nil || p.lostState {
		return
	}
	p.recordAck(round(m.Context))
	switch {
	case m.Reject:
		n.handleReject(p, m)
	case m.Index <= n.log.last():
		n.handleAccept(p, m.Index)
	}
	n.confirmReads()
}

func (n *Node) handleAccept(p *progress, index uint64) {
	p.raiseMatch(index, n.round)
	switch {
	case p.state == stateProbe:
		p.becomeReplicate()
	case p.state == stateSnapshot && p.match+1 >= n.log.first():
		p.becomeReplicate()
	}
	n.maybeCommit()
}

// handleReject resumes sending after the last index at which the two logs may agree.
func (n *Node) handleReject(p *progress, m *raftpb.Message) {
	switch p.state {
	case stateSnapshot:
		return
	case stateReplicate:
		if m.Index <= p.match {
			return
		}
	case stateProbe:
		if m.Index != p.next-1 {
			return
		}
	}
	agreed, _ := n.log.conflictHint(m.RejectHint, m.LogTerm)
	if m.RejectHint < n.log.baseIndex {
		agreed = m.RejectHint
	}
	agreed = min(agreed, m.Index-1)
	p.becomeProbe(max(agreed, p.match) + 1)
}

// maybeCommit raises the commit index to the highest index that a quorum holds
// durably, if the entry there is of the current term. Entries of earlier terms
// are committed only together with such an entry.
func (n *Node) maybeCommit() {
	index := n.quorumValue(n.log.stable, func(p *progress) uint64 { return p.match })
	if index <= n.log.commit {
		return
	}
	if term, _ := n.log.term(index); term != n.term {
		return
	}
	n.log.commitTo(index)
	n.stepDownIfRemoved()
}
