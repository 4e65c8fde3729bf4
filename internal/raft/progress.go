package raft

import "slices"

// progressState says how the leader sends entries to a member.
type progressState uint8

const (
	// stateProbe: the last index at which the logs agree is unknown. Appends are
	// sent one at a time, the next one after a reply or a heartbeat reply.
	stateProbe progressState = iota
	// stateReplicate: appends are pipelined, up to MaxInFlight without a reply.
	stateReplicate
	// stateSnapshot: the host streams a snapshot. No entries are sent.
	stateSnapshot
)

// progress is the leader's view of one other member.
type progress struct {
	id      uint64
	learner bool
	state   progressState
	match   uint64 // highest index known to be durable on the member
	next    uint64 // index of the next entry to send

	inFlight  []sentAppend // appends without a reply, in stateReplicate
	probeSent bool         // an append has no reply yet, in stateProbe

	ackedRound round // latest acknowledged heartbeat round; 0: none
	sentRound  round // current round when the last append was sent
	matchRound round // current round when match was last raised

	pendingSnapshot uint64 // index of the snapshot being streamed
	lostState       bool   // the member has lost durable entries
}

// sentAppend is an append message that was sent.
type sentAppend struct {
	last  uint64 // index of its last entry
	bytes int    // of the data of its entries
}

// mayAppend reports whether a further append may be sent in stateReplicate, within the limits of the
// appends without a reply and of their bytes. The bytes may exceed their limit by one append.
func (p *progress) mayAppend(maxAppends, maxBytes int) bool {
	bytes := 0
	for _, sent := range p.inFlight {
		bytes += sent.bytes
	}
	return len(p.inFlight) < maxAppends && bytes < maxBytes
}

func (p *progress) becomeProbe(next uint64) {
	p.state = stateProbe
	p.next = next
	p.inFlight = p.inFlight[:0]
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
	p.inFlight = p.inFlight[:0]
	p.probeSent = false
}

// recordSent records an append that was sent in round r.
func (p *progress) recordSent(sent sentAppend, r round) {
	p.sentRound = r
	if p.state == stateProbe {
		p.probeSent = true
		return
	}
	p.next = sent.last + 1
	p.inFlight = append(p.inFlight, sent)
}

// raiseMatch records, in round r, that the member holds the log durably up to index.
func (p *progress) raiseMatch(index uint64, r round) {
	if index > p.match {
		p.match = index
		p.matchRound = r
	}
	p.next = max(p.next, p.match+1)
	p.inFlight = slices.DeleteFunc(p.inFlight, func(sent sentAppend) bool { return sent.last <= index })
}

// recordAck records that the member has acknowledged a heartbeat round.
func (p *progress) recordAck(r round) {
	if !p.lostState {
		p.ackedRound = max(p.ackedRound, r)
	}
}

// markStateLost records that the member has lost durable entries. It no longer
// counts toward a quorum, and nothing more is sent to it.
func (p *progress) markStateLost() {
	p.lostState = true
	p.ackedRound = 0
	p.match = 0
}

// isIdle reports whether the member holds the log durably up to last, has
// acknowledged round r and has no append without a reply.
func (p *progress) isIdle(last uint64, r round) bool {
	return !p.lostState && p.match == last && p.next == last+1 && p.ackedRound >= r && len(p.inFlight) == 0
}
