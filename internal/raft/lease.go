package raft

import (
	"math"

	"ibistray.example/ibistray/proto/raftpb"
)

// round identifies a heartbeat round of one leader in one term by the tick at which
// it was sent and a sequence number within the tick. Later rounds are greater.
type round uint64

const (
	roundSeqBits = 16 // bits of the sequence number within a tick
	maxRoundSeq  = 1<<roundSeqBits - 1
)

func firstRoundAt(tick uint64) round { return round(tick << roundSeqBits) }

func (r round) tick() uint64 { return uint64(r) >> roundSeqBits }

// exhausted reports whether no later round can begin within the tick of r.
func (r round) exhausted() bool { return uint64(r)&maxRoundSeq == maxRoundSeq }

// pendingRead is a read that waits until a quorum acknowledges a heartbeat round
// that began after the read was requested.
type pendingRead struct {
	context    uint64
	index      uint64
	afterRound round // the read is confirmed by any later round
}

// tickLeader steps down if there is no contact with a quorum or the local disk is
// stalled, aborts an expired leadership transfer, quiesces an idle group and
// sends the heartbeats that are due.
func (n *Node) tickLeader() {
	lostQuorum := n.tick-n.lastQuorumContact() >= uint64(n.cfg.QuorumTicks)
	if lostQuorum || n.diskStalled() {
		n.becomeFollower(n.term, 0)
		return
	}
	if n.transferExpired() {
		n.abortTransfer()
		return
	}
	if n.tick-n.round.tick() < uint64(n.cfg.HeartbeatTicks) {
		return
	}
	if n.idle() {
		n.quiesce()
		return
	}
	n.beginRound()
}

// diskStalled reports whether the durable log of the leader has been behind the
// commit index, without progress, for ElectionTicks. Such a leader cannot apply
// the entries that the group commits. It must be called once a tick.
func (n *Node) diskStalled() bool {
	if n.log.stable >= n.log.commit {
		n.stalledTicks = 0
		return false
	}
	if n.log.stable > n.stalledIndex {
		n.stalledIndex = n.log.stable
		n.stalledTicks = 0
	}
	n.stalledTicks++
	return n.stalledTicks >= n.cfg.ElectionTicks
}

// beginRound starts a heartbeat round. If the sequence numbers of this tick are
// used up, it does nothing, and a later tick starts the round.
func (n *Node) beginRound() {
	switch {
	case n.round.tick() < n.tick:
		n.round = firstRoundAt(n.tick)
	case n.round.exhausted():
		return
	default:
		n.round++
	}
	n.roundCommit = n.log.commit
	n.broadcastHeartbeat(false)
	n.confirmReads()
}

func (n *Node) broadcastHeartbeat(quiesce bool) {
	for _, p := range n.peers {
		if p.lostState {
			continue
		}
		n.send(&raftpb.Message{
			Kind:    raftpb.MessageKind_MESSAGE_KIND_HEARTBEAT,
			To:      p.id,
			Index:   n.log.last(),
			LogTerm: n.log.lastTerm(),
			Commit:  min(p.match, n.log.commit),
			Context: uint64(n.round),
			Quiesce: quiesce,
		})
	}
}

func (n *Node) handleHeartbeat(m *raftpb.Message) {
	late := round(m.Context) < n.leaderRound
	n.recordLeaderContact(m)
	if m.Commit <= n.log.last() {
		n.log.commitTo(m.Commit)
	}
	complete := n.log.matches(m.Index, m.LogTerm) && n.log.last() == m.Index && n.log.commit == m.Index
	if m.Quiesce && complete && !late {
		n.quiesced = true
		return
	}
	n.send(&raftpb.Message{
		Kind:    raftpb.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY,
		To:      m.From,
		Index:   n.log.last(),
		Context: m.Context,
	})
}

func (n *Node) handleHeartbeatReply(m *raftpb.Message) {
	p := n.peer(m.From)
	if n.role != RoleLeader || p == nil || m.Reject || p.lostState {
		return
	}
	r := round(m.Context)
	if r > p.matchRound && m.Index < p.match {
		p.markStateLost()
		return
	}
	p.recordAck(r)
	n.retransmit(p, r, m.Index)
	n.confirmReads()
}

// retransmit sends again what was lost in transit. If the member has acknowledged
// a round r that began after the last append, that append or its reply is lost or
// late. last is the last index of the member's log.
func (n *Node) retransmit(p *progress, r round, last uint64) {
	if r <= p.sentRound {
		return
	}
	switch {
	case p.state == stateProbe:
		p.probeSent = false
	case p.state == stateReplicate && last+1 < p.next:
		p.becomeProbe(p.match + 1)
	case p.state == stateReplicate && p.match+1 < p.next:
		// The member has the entries, but the reply is late or lost: send an
		// append to get another reply.
		p.inFlight = p.inFlight[:0]
		n.sendAppend(p)
	}
}

// quorumRound returns the latest round that a quorum has acknowledged, 0 if
// there is none. The leader itself has acknowledged every round.
func (n *Node) quorumRound() round {
	return round(n.quorumValue(math.MaxUint64, func(p *progress) uint64 { return uint64(p.ackedRound) }))
}

// lastQuorumContact returns the tick at which the latest round that a quorum has
// acknowledged was sent, or at which leadership began or the group woke, if that
// is later.
func (n *Node) lastQuorumContact() uint64 {
	return min(n.tick, max(n.quorumRound().tick(), n.leaderSinceTick))
}

// confirmReads moves the confirmed reads to the output. It starts a round for the
// remaining ones, unless a round is still unacknowledged.
func (n *Node) confirmReads() {
	if len(n.reads) == 0 {
		return
	}
	acked := n.quorumRound()
	confirmed := 0
	for confirmed < len(n.reads) && acked > n.reads[confirmed].afterRound {
		r := n.reads[confirmed]
		n.readStates = append(n.readStates, ReadState{Context: r.context, Index: r.index})
		confirmed++
	}
	n.reads = n.reads[confirmed:]
	if len(n.reads) > 0 && acked >= n.round {
		n.beginRound()
	}
}

// ReadIndex requests a linearizable read. The next Ready holds a ReadState with the
// same context if the lease is valid; otherwise a later Ready holds it once a
// quorum has acknowledged a heartbeat round, or with Aborted set once leadership is
// lost. Error: ErrNotLeader.
func (n *Node) ReadIndex(context uint64) error {
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	n.recordRequest()
	if n.LeaseValid() {
		n.readStates = append(n.readStates, ReadState{Context: context, Index: n.readIndex()})
		return nil
	}
	n.reads = append(n.reads, pendingRead{context: context, index: n.readIndex(), afterRound: n.round})
	n.confirmReads()
	return nil
}

// readIndex returns an index that is not below that of any committed entry. The
// commit index may be too low at the start of a term, but all committed entries
// of earlier terms are before the first entry of this term.
func (n *Node) readIndex() uint64 { return max(n.log.commit, n.termStartIndex) }

// LeaseRead returns the index up to which entries must be applied before a
// linearizable read. ok is false without a valid lease; the host must then use
// ReadIndex.
func (n *Node) LeaseRead() (index uint64, ok bool) {
	if !n.LeaseValid() {
		return 0, false
	}
	n.lastRequestTick = n.tick
	return n.readIndex(), true
}

// LeaseRemaining returns the number of ticks after the last Tick for which the
// lease is valid, 0 without a lease. Other goroutines of the host may read under
// the lease until that many ticks after the time of the last Tick.
func (n *Node) LeaseRemaining() int {
	if n.role != RoleLeader || n.quiesced || n.transfer.leaseRevoked {
		return 0
	}
	acked := n.quorumRound()
	if acked == 0 {
		return 0
	}
	age := n.tick - min(n.tick, acked.tick())
	if age >= uint64(n.cfg.LeaseTicks) {
		return 0
	}
	return n.cfg.LeaseTicks - int(age)
}

// LeaseValid reports whether this replica leads the group and holds a valid lease.
func (n *Node) LeaseValid() bool { return n.LeaseRemaining() > 0 }
