package replica

import (
	"sync"

	"ibistray.example/ibistray/proto/raftpb"
)

// kindHostHeartbeat is the kind of the heartbeat between hosts. It belongs to no
// group. Context is the tick of the sender, Index is the latest tick that the
// sender has received from the other host, and Snapshot.Membership has the
// sender's address as its only member.
const kindHostHeartbeat = raftpb.MessageKind_MESSAGE_KIND_HOST_HEARTBEAT

// peerTable watches the other hosts. A host is suspected when it has not
// answered the heartbeats of the last election timeout, so a link that is cut in
// one direction is noticed at both ends.
type peerTable struct {
	sender       *raftpb.SnapshotMeta // carries the address of this host
	silenceTicks uint64               // without an answer after which a host is suspected
	pauseTicks   uint64               // between two calls of beats that count as a pause of this host
	mu           sync.Mutex
	peers        map[string]*peer
	lastBeats    uint64
}

type peer struct {
	wanted   bool   // since the last beats
	known    uint64 // tick from which on it is watched
	received uint64 // latest tick of the other host
	answered uint64 // latest own tick that it has received
	restart  bool   // it restarted since the last suspects
}

// beat is a heartbeat to be sent.
type beat struct {
	address string
	message *raftpb.Message
}

func newPeerTable(sender *raftpb.SnapshotMeta, electionTicks, heartbeatTicks int) *peerTable {
	return &peerTable{
		sender:       sender,
		silenceTicks: uint64(electionTicks + 2*heartbeatTicks),
		pauseTicks:   uint64(2 * heartbeatTicks),
		peers:        make(map[string]*peer),
	}
}

// touch keeps a host in the table until the next beats.
func (t *peerTable) touch(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[address]
	if p == nil {
		p = &peer{known: t.lastBeats}
		t.peers[address] = p
	}
	p.wanted = true
}

// beats returns the heartbeats that are due and forgets the hosts that were not
// touched since the last call.
func (t *peerTable) beats(now uint64) []beat {
	t.mu.Lock()
	defer t.mu.Unlock()
	paused := now-t.lastBeats > t.pauseTicks
	t.lastBeats = now
	var due []beat
	for address, p := range t.peers {
		if !p.wanted {
			delete(t.peers, address)
			continue
		}
		p.wanted = false
		if paused {
			p.known = now
		}
		due = append(due, beat{address: address, message: t.message(p, now)})
	}
	return due
}

func (t *peerTable) message(p *peer, now uint64) *raftpb.Message {
	return &raftpb.Message{
		Kind:     kindHostHeartbeat,
		Context:  now,
		Index:    p.received,
		Snapshot: t.sender,
	}
}

// receive takes in a heartbeat. Ticks of a host that restarted begin anew.
func (t *peerTable) receive(m *raftpb.Message, now uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[senderAddress(m)]
	if p == nil {
		return
	}
	if m.GetContext() < p.received {
		p.restart = true
	}
	p.received = m.GetContext()
	if m.GetIndex() <= now {
		p.answered = max(p.answered, m.GetIndex())
	}
}

// suspects returns the addresses of the hosts that do not answer or have
// restarted since the last call.
func (t *peerTable) suspects(now uint64) map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	var suspects map[string]bool
	for address, p := range t.peers {
		silent := now-min(now, max(p.answered, p.known)) >= t.silenceTicks
		if !silent && !p.restart {
			continue
		}
		p.restart = false
		if suspects == nil {
			suspects = make(map[string]bool)
		}
		suspects[address] = true
	}
	return suspects
}
