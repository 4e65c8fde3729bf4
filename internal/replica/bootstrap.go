package replica

import (
	"fmt"
	"time"

	"ibistray.example/ibistray/internal/raft"
	"ibistray.example/ibistray/internal/wal"
	"ibistray.example/ibistray/proto/raftpb"
)

// Kinds of the messages by which the first members of a group confirm each
// other. Context is the disk ID of the asking replica. A reply with Reject says
// that the replica was seen on another disk.
const (
	kindIdentity      = raftpb.MessageKind_MESSAGE_KIND_IDENTITY
	kindIdentityReply = raftpb.MessageKind_MESSAGE_KIND_IDENTITY_REPLY
)

const (
	replicaRandomBits = 20
	replicaRandomMask = 1<<replicaRandomBits - 1
)

func isIdentity(m *raftpb.Message) bool {
	return m.GetKind() == kindIdentity || m.GetKind() == kindIdentityReply
}

// bootstrap is the state of a first member until each other one has confirmed
// that it has not met this replica on another disk. A replica that lost its disk
// is refused by the members that it once asked, and so never votes again.
type bootstrap struct {
	members   []*raftpb.Member
	confirmed map[uint64]bool
	nextSend  uint64 // tick
	recording bool   // the start of the replica is being made durable
}

// beginBootstrap prepares the replica of a new group.
func (g *group) beginBootstrap(members []*raftpb.Member) error {
	for _, member := range members {
		if member.GetAddress() == g.host.opts.Address {
			g.replicaID = member.GetId()
		}
	}
	if g.replicaID == 0 {
		return fmt.Errorf("%w: no first member has the address %s", ErrConfig, g.host.opts.Address)
	}
	g.boot = &bootstrap{members: members, confirmed: map[uint64]bool{g.replicaID: true}}
	g.setMembers(members)
	g.publish()
	return nil
}

// beginJoin prepares a replica that waits to be added. Its ID is drawn now and
// belongs to this disk: a host that loses its disk gets another one.
func (g *group) beginJoin() error {
	g.replicaID = g.host.drawReplicaID()
	binding := wal.Binding{ReplicaID: g.replicaID, DiskID: g.host.diskID}
	if err := g.host.log.Append([]wal.Update{{Group: g.id, Bindings: []wal.Binding{binding}}}); err != nil {
		return fmt.Errorf("%w: %w", ErrStorage, err)
	}
	return g.startNode(raft.InitialState{})
}

// drawReplicaID returns an ID above the ones drawn earlier, as groups demand.
// The caller holds the mutex.
func (h *Host) drawReplicaID() uint64 {
	milliseconds := uint64(time.Now().UnixMilli())
	drawn := milliseconds<<replicaRandomBits | h.random.Uint64()&replicaRandomMask
	return max(drawn, h.leastID+h.random.Uint64()&replicaRandomMask)
}

// RaiseMinReplicaID makes replica IDs that this host draws from now on at least
// least: a group takes only IDs above those of all its earlier members, and the
// clocks of hosts differ.
func (h *Host) RaiseMinReplicaID(least uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leastID = max(h.leastID, least)
}

// sendIdentity asks the members that have not confirmed yet.
func (g *group) sendIdentity(now uint64) {
	b := g.boot
	if b.recording || now < b.nextSend {
		return
	}
	if len(b.confirmed) == len(b.members) {
		g.recordStart()
		return
	}
	b.nextSend = now + uint64(g.host.opts.Raft.HeartbeatTicks)
	for _, member := range b.members {
		if !b.confirmed[member.GetId()] {
			g.sendIdentityTo(member.GetId())
		}
	}
}

func (g *group) sendIdentityTo(id uint64) {
	g.host.outbox.add(g.addresses[id], &raftpb.Message{
		Kind:    kindIdentity,
		Group:   g.id,
		From:    g.replicaID,
		To:      id,
		Context: g.host.diskID,
	})
}

func (g *group) stepIdentity(m *raftpb.Message) {
	if m.GetTo() != g.replicaID {
		return
	}
	if m.GetKind() == kindIdentity {
		g.confirm(m)
		return
	}
	if g.boot == nil || m.GetContext() != g.host.diskID {
		return
	}
	if m.GetReject() {
		g.loseIdentity(m.GetFrom())
		return
	}
	g.boot.confirmed[m.GetFrom()] = true
	g.boot.nextSend = 0
	g.sendIdentity(g.host.ticks())
}

// confirm answers a first member. The disk on which it was seen first is durable
// here before the answer; questions that come meanwhile are asked again.
func (g *group) confirm(m *raftpb.Message) {
	id, diskID := m.GetFrom(), m.GetContext()
	if known, found := g.bindings[id]; found {
		g.replyIdentity(m, known != diskID)
		return
	}
	if g.binding[id] {
		return
	}
	g.binding[id] = true
	update := wal.Update{Group: g.id, Bindings: []wal.Binding{{ReplicaID: id, DiskID: diskID}}}
	g.host.log.AppendAsync([]wal.Update{update}, func(err error) {
		if err == nil {
			g.core.post(func() { g.bound(m) })
		}
	})
}

// bound answers a first member whose disk is recorded.
func (g *group) bound(m *raftpb.Message) {
	delete(g.binding, m.GetFrom())
	g.bindings[m.GetFrom()] = m.GetContext()
	g.replyIdentity(m, false)
}

func (g *group) replyIdentity(m *raftpb.Message, reject bool) {
	g.host.outbox.add(g.addresses[m.GetFrom()], &raftpb.Message{
		Kind:    kindIdentityReply,
		Group:   g.id,
		From:    g.replicaID,
		To:      m.GetFrom(),
		Context: m.GetContext(),
		Reject:  reject,
	})
}

// recordStart makes the start of a first member durable and starts its node.
func (g *group) recordStart() {
	g.boot.recording = true
	initial := raft.Bootstrap(&raftpb.Membership{Members: g.boot.members})
	binding := wal.Binding{ReplicaID: g.replicaID, DiskID: g.host.diskID}
	update := wal.Update{Group: g.id, Snapshot: initial.Snapshot, Bindings: []wal.Binding{binding}}
	g.host.log.AppendAsync([]wal.Update{update}, func(err error) {
		if err == nil {
			g.core.post(func() { g.finishBootstrap(initial) })
		}
	})
}

func (g *group) finishBootstrap(initial raft.InitialState) {
	g.boot = nil
	if g.retired {
		return
	}
	if err := g.startNode(initial); err != nil {
		g.host.fail(err)
	}
}

// loseIdentity gives up a replica ID that belongs to another disk. The replica
// waits under a new ID until the group adds it.
func (g *group) loseIdentity(peer uint64) {
	g.logger.Error("replica was seen on another disk: it does not vote under this ID again and has to be added anew",
		"replica", g.replicaID, "refused_by", peer)
	g.boot = nil
	g.lostDisk = true
	g.setMembers(nil)
	g.host.mu.Lock()
	err := g.beginJoin()
	g.host.mu.Unlock()
	if err != nil {
		g.host.fail(err)
	}
}
