package replica

import (
	"sync"

	"ibistray.example/ibistray/proto/raftpb"
)

// kindHostHeartbeat is the kind of heartbeats between hosts, which belong to no
// group. Context is the tick of the sender, Index is the latest tick that the
// sender has received from the other host, and the only member in
// Snapshot.Membership has the address of the sender.
const kindHostHeartbeat = raftpb.MessageKind_MESSAGE_KIND_HOST_HEARTBEAT

// peerTable detects failures of the other hosts. A host is suspected when it has
// acknowledged no heartbeat of the last suspectTicks, which are the ticks of an
// election timeout and two heartbeat intervals. Both ends therefore detect a link that
// fails in one direction.
type peerTable struct {
	senderMetadata *raftpb.SnapshotMeta // carries the address of this host
	suspectTicks   uint64               // ticks without an acknowledgment after which a host is suspected
	pauseTicks     uint64               // ticks between dueHeartbeats calls above which this host counts as paused
	mu             sync.Mutex
	peers          map[string]*peer
	lastHeartbeats uint64 // tick of the latest dueHeartbeats call
}

type peer struct {
	touched          bool   // whether touch was called since the last dueHeartbeats call
	watchedSince     uint64 // tick from which missing acknowledgments count
	lastReceived     uint64 // latest tick received from the host
	lastAcknowledged uint64 // latest own tick that the host has acknowledged
	restarted        bool   // whether the host restarted since the last takeSuspects call
}

// outgoingHeartbeat is a heartbeat message and the host it is for.
type outgoingHeartbeat struct {
	address string
	message *raftpb.Message
}

func newPeerTable(sender *raftpb.SnapshotMeta, electionTicks, heartbeatTicks int) *peerTable {
	return &peerTable{
		senderMetadata: sender,
		suspectTicks:   uint64(electionTicks + 2*heartbeatTicks),
		pauseTicks:     uint64(2 * heartbeatTicks),
		peers:          make(map[string]*peer),
	}
}

// touch adds a host to the table, or keeps it there beyond the next dueHeartbeats call.
func (t *peerTable) touch(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[address]
	if p == nil {
		p = &peer{watchedSince: t.lastHeartbeats}
		t.peers[address] = p
	}
	p.touched = true
}

// dueHeartbeats returns a heartbeat for each host in the table. It removes the hosts
// that were not touched since the last call. After a pause of this host,
// missing acknowledgments count from now on.
func (t *peerTable) dueHeartbeats(now uint64) []outgoingHeartbeat {
	t.mu.Lock()
	defer t.mu.Unlock()
	paused := now-t.lastHeartbeats > t.pauseTicks
	t.lastHeartbeats = now
	var due []outgoingHeartbeat
	for address, p := range t.peers {
		if !p.touched {
			delete(t.peers, address)
			continue
		}
		p.touched = false
		if paused {
			p.watchedSince = now
		}
		due = append(due, outgoingHeartbeat{address: address, message: t.heartbeatMessage(p, now)})
	}
	return due
}

func (t *peerTable) heartbeatMessage(p *peer, now uint64) *raftpb.Message {
	return &raftpb.Message{
		Kind:     kindHostHeartbeat,
		Context:  now,
		Index:    p.lastReceived,
		Snapshot: t.senderMetadata,
	}
}

// receive records a heartbeat. A tick below the last one shows that the sender has
// restarted.
func (t *peerTable) receive(m *raftpb.Message, now uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[senderAddress(m)]
	if p == nil {
		return
	}
	if m.GetContext() < p.lastReceived {
		p.restarted = true
	}
	p.lastReceived = m.GetContext()
	if m.GetIndex() <= now {
		p.lastAcknowledged = max(p.lastAcknowledged, m.GetIndex())
	}
}

// takeSuspects returns the addresses of the hosts that do not respond or have
// restarted since the last call.
func (t *peerTable) takeSuspects(now uint64) map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	var suspects map[string]bool
	for address, p := range t.peers {
		unresponsive := now-min(now, max(p.lastAcknowledged, p.watchedSince)) >= t.suspectTicks
		if !unresponsive && !p.restarted {
			continue
		}
		p.restarted = false
		if suspects == nil {
			suspects = make(map[string]bool)
		}
		suspects[address] = true
	}
	return suspects
}
