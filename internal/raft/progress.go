package raft

import "slices"

// progressState says how the leader sends entries to a member.
type progressState uint8

const (
	// stateProbe: the point where the logs agree is not known. One message at a
	// time, the next one after a reply or a heartbeat reply.
	stateProbe progressState = iota
	// stateReplicate: messages are pipelined up to the inflight limit.
	stateReplicate
	// stateSnapshot: the host streams a snapshot; no entries are sent.
	stateSnapshot
)

// progress is the leader's view of one other member.
type progress struct {
	id      uint64
	learner bool
	state   progressState
	match   uint64 // highest index known to be durable there
	next    uint64 // next index to send

	inflight  []uint64 // last index of each append that waits for a reply
	probeSent bool     // a probe waits for a reply

	acked      round // latest acknowledged round, 0: none
	sentRound  round // round in progress when the last append was sent
	matchRound round // round in progress when match was last raised

	pendingSnapshot uint64 // index of the snapshot being streamed
	lostState       bool   // the member has lost durable entries
}

func (p *progress) becomeProbe(next uint64) {
	p.state = stateProbe
	p.next = next
	p.inflight = p.inflight[:0]
	p.probeSent = false
}

func (p *progress) becomeReplicate() {
	p.state = stateReplicate
	p.next = max(p.next, p.match+1)
	p.probeSent = false
}

func (p *progress) becomeSnapshot(index uint64) {
	p.state = stateSnapshot
	p.pendingSnapshot = index
	p.inflight = p.inflight[:0]
	p.probeSent = false
}

// sent records an append whose last entry has this index.
func (p *progress) sent(last uint64, r round) {
	p.sentRound = r
	if p.state == stateProbe {
		p.probeSent = true
		return
	}
	p.next = last + 1
	p.inflight = append(p.inflight, last)
}

// raiseMatch records that the member holds the log durably up to index.
func (p *progress) raiseMatch(index uint64, r round) {
	if index > p.match {
		p.match = index
		p.matchRound = r
	}
	p.next = max(p.next, p.match+1)
	p.inflight = slices.DeleteFunc(p.inflight, func(last uint64) bool { return last <= index })
}

// ack records an acknowledged round.
func (p *progress) ack(r round) {
	if !p.lostState {
		p.acked = max(p.acked, r)
	}
}

// markLost stops all exchange with a member that lost durable entries.
func (p *progress) markLost() {
	p.lostState = true
	p.acked = 0
	p.match = 0
}

// idle tells whether the member holds the log up to last and owes no reply.
func (p *progress) idle(last uint64, r round) bool {
	return !p.lostState && p.match == last && p.next == last+1 && p.acked >= r && len(p.inflight) == 0
}
