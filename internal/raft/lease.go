package raft

import (
	"math"

	"ibistray.example/ibistray/proto/raftpb"
)

// round identifies a heartbeat round of one leader in one term: the tick at
// which it was sent and a number within the tick. Rounds grow.
type round uint64

const (
	roundBits     = 16 // bits of the number within a tick
	maxRoundInSeq = 1<<roundBits - 1
)

func firstRoundAt(tick uint64) round { return round(tick << roundBits) }

func (r round) tick() uint64 { return uint64(r) >> roundBits }

func (r round) exhausted() bool { return uint64(r)&maxRoundInSeq == maxRoundInSeq }

// pendingRead is a read that waits for a quorum to acknowledge a round that
// began after it.
type pendingRead struct {
	context uint64
	index   uint64
	after   round // a round later than this one confirms the read
}

// tickLeader runs check-quorum, resigns if the local disk hangs, ends a transfer that takes too long and sends
// the heartbeats that are due.
func (n *Node) tickLeader() {
	lostQuorum := n.tick-n.lastContact() >= uint64(n.cfg.QuorumTicks)
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

// diskStalled counts the ticks for which a quorum of the others was ahead of the
// local disk. Such a leader cannot apply what the group commits.
func (n *Node) diskStalled() bool {
	if n.log.stable >= n.log.commit {
		n.stalledTicks = 0
		return false
	}
	if n.log.stable > n.stalledAt {
		n.stalledAt = n.log.stable
		n.stalledTicks = 0
	}
	n.stalledTicks++
	return n.stalledTicks >= n.cfg.ElectionTicks
}

// beginRound sends a heartbeat round. No round begins when the numbers of this
// tick are used up; the next tick that is due begins one.
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
	n.releaseReads()
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
	n.followLeader(m)
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
		p.markLost()
		return
	}
	p.ack(r)
	n.retransmit(p, r, m.Index)
	n.releaseReads()
}

// retransmit repeats what was lost on the way: the member has answered a round
// that began after the last append, and last is the end of its log.
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
		// The entries have arrived; the reply is late or lost. Ask again.
		p.inflight = p.inflight[:0]
		n.sendAppend(p)
	}
}

// quorumRound returns the latest round that a quorum has acknowledged, 0 if
// there is none. The leader itself has acknowledged every round.
func (n *Node) quorumRound() round {
	return round(n.quorumValue(math.MaxUint64, func(p *progress) uint64 { return uint64(p.acked) }))
}

// lastContact returns the latest tick at which a round was sent that a quorum
// has acknowledged, or at which leadership began.
func (n *Node) lastContact() uint64 {
	return min(n.tick, max(n.quorumRound().tick(), n.leaderSince))
}

// releaseReads hands out the reads that are confirmed and begins a round for
// the ones that are left, unless one is on its way.
func (n *Node) releaseReads() {
	if len(n.reads) == 0 {
		return
	}
	acked := n.quorumRound()
	done := 0
	for done < len(n.reads) && acked > n.reads[done].after {
		r := n.reads[done]
		n.readStates = append(n.readStates, ReadState{Context: r.context, Index: r.index})
		done++
	}
	n.reads = n.reads[done:]
	if len(n.reads) > 0 && acked >= n.round {
		n.beginRound()
	}
}

// ReadIndex asks for a linearizable read. The answer comes as a ReadState with
// the same context: at once under the lease, else after a heartbeat round to a
// quorum. Error: ErrNotLeader.
func (n *Node) ReadIndex(context uint64) error {
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	n.touch()
	if n.LeaseValid() {
		n.readStates = append(n.readStates, ReadState{Context: context, Index: n.readIndex()})
		return nil
	}
	n.reads = append(n.reads, pendingRead{context: context, index: n.readIndex(), after: n.round})
	n.releaseReads()
	return nil
}

// readIndex covers every entry that was committed before now: those of earlier
// terms lie before the first entry of this term.
func (n *Node) readIndex() uint64 { return max(n.log.commit, n.termStart) }

// LeaseRead returns the index up to which the state machine must be applied for
// a linearizable read now. ok is false without a valid lease; the host then
// uses ReadIndex.
func (n *Node) LeaseRead() (index uint64, ok bool) {
	if !n.LeaseValid() {
		return 0, false
	}
	n.lastActive = n.tick
	return n.readIndex(), true
}

// LeaseRemaining returns the ticks for which the lease holds from the last Tick
// on, 0 without a lease. A host may take the time of the last Tick plus this
// many ticks as the deadline of reads on other threads.
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

// LeaseValid tells whether this replica leads the group under a valid lease.
func (n *Node) LeaseValid() bool { return n.LeaseRemaining() > 0 }
