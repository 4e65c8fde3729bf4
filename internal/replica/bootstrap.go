package replica

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/internal/raft"
	"ibistray.example/ibistray/internal/wal"
	"ibistray.example/ibistray/proto/raftpb"
)

// Kinds of the messages with which the initial members of a group confirm each
// other's identity. Context is the disk ID of the requesting replica. Reject in a
// reply means that the replier has seen the replica on another disk.
const (
	kindIdentityRequest = raftpb.MessageKind_MESSAGE_KIND_IDENTITY
	kindIdentityReply   = raftpb.MessageKind_MESSAGE_KIND_IDENTITY_REPLY
)

const (
	replicaIDRandomBits = 20
	replicaIDRandomMask = 1<<replicaIDRandomBits - 1
)

func isIdentityMessage(m *raftpb.Message) bool {
	return m.GetKind() == kindIdentityRequest || m.GetKind() == kindIdentityReply
}

// bootstrap is the state of an initial member until each other initial member has
// confirmed that it has not seen this replica on another disk. The confirmations
// keep a replica that lost its disk, and with it its vote, from voting again:
// the members that confirmed it before refuse its new disk. See also
// Options.BootstrapQuorumDelay.
type bootstrap struct {
	members         []*raftpb.Member
	confirmed       map[uint64]bool
	quorumTick      uint64 // tick from which a majority is enough; 0: never
	nextRequestTick uint64 // tick of the next identity requests
	persisting      bool   // the initial state is being written to the log
}

// isComplete reports whether enough members have confirmed this replica.
func (b *bootstrap) isComplete(now uint64) bool {
	if b.quorumTick != 0 && now >= b.quorumTick {
		return len(b.confirmed) > len(b.members)/2
	}
	return len(b.confirmed) == len(b.members)
}

// beginBootstrap prepares an initial member of a new group. It records the members, so that a
// process that ends before the group is active resumes as an initial member. With confirmed, it
// records nothing and waits for all others.
func (g *group) beginBootstrap(state *wal.GroupState, members []*raftpb.Member, confirmed bool) error {
	for _, member := range members {
		if member.GetAddress() == g.host.opts.Address {
			g.replicaID = member.GetId()
		}
	}
	if g.replicaID == 0 {
		return fmt.Errorf("%w: no initial member has the address %s", ErrConfig, g.host.opts.Address)
	}
	g.bootstrap = &bootstrap{members: members, confirmed: map[uint64]bool{g.replicaID: true}}
	if !confirmed {
		g.recordInitialMembers(state, members)
	}
	if delay := g.host.opts.BootstrapQuorumDelay; delay > 0 && !confirmed {
		g.bootstrap.quorumTick = g.host.ticks() + uint64(delay/g.host.opts.TickInterval)
	}
	g.setMembers(members)
	g.publish()
	return nil
}

// recordInitialMembers starts to write the initial members to the log, in place of recorded ones.
// A failure of the log stops the host. The disk of this replica is recorded only when the others
// have confirmed it.
func (g *group) recordInitialMembers(state *wal.GroupState, members []*raftpb.Member) {
	initial := raft.Bootstrap(&raftpb.Membership{Members: members})
	if state != nil && proto.Equal(state.Snapshot.GetMembership(), initial.Snapshot.GetMembership()) {
		return
	}
	g.host.log.AppendAsync(g.replacement(wal.Update{Group: g.id, Snapshot: initial.Snapshot}), func(error) {})
}

// recordedMembers returns the initial members that recordInitialMembers has stored, or nil.
func recordedMembers(state *wal.GroupState) []*raftpb.Member {
	if state == nil || state.Snapshot.GetIndex() > 0 {
		return nil
	}
	return state.Snapshot.GetMembership().GetMembers()
}

// replacement returns the updates that replace the stored state of the group by an update and
// the known bindings.
func (g *group) replacement(update wal.Update) []wal.Update {
	for _, id := range slices.Sorted(maps.Keys(g.bindings)) {
		update.Bindings = append(update.Bindings, wal.Binding{ReplicaID: id, DiskID: g.bindings[id]})
	}
	return []wal.Update{{Group: g.id, Remove: true}, update}
}

// beginJoin prepares a replica that waits to be added to its group. It records a
// new replica ID for this disk, so a host that loses its disk gets another ID.
func (g *group) beginJoin() error {
	g.replicaID = g.host.newReplicaID()
	binding := wal.Binding{ReplicaID: g.replicaID, DiskID: g.host.diskID}
	if err := g.host.log.Append(g.replacement(wal.Update{Group: g.id, Bindings: []wal.Binding{binding}})); err != nil {
		return fmt.Errorf("%w: %w", ErrStorage, err)
	}
	return g.startNode(raft.InitialState{})
}

// newReplicaID returns an ID made of the time in milliseconds and random bits, but at
// least minReplicaID: groups require IDs above those of all their earlier members.
// The caller holds h.mu.
func (h *Host) newReplicaID() uint64 {
	milliseconds := uint64(time.Now().UnixMilli())
	id := milliseconds<<replicaIDRandomBits | h.random.Uint64()&replicaIDRandomMask
	return max(id, h.minReplicaID+h.random.Uint64()&replicaIDRandomMask)
}

// RaiseMinReplicaID raises the minimum of the replica IDs that this host
// generates to minimum. A group accepts only IDs above those of all its earlier
// members, and IDs contain the time of hosts whose clocks may differ.
func (h *Host) RaiseMinReplicaID(minimum uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.minReplicaID = max(h.minReplicaID, minimum)
}

// sendIdentityRequests sends due requests to the members that have not confirmed
// this replica yet. Once enough have, it starts to persist the initial state.
func (g *group) sendIdentityRequests(now uint64) {
	b := g.bootstrap
	if b.persisting || now < b.nextRequestTick {
		return
	}
	if b.isComplete(now) {
		g.persistBootstrap()
		return
	}
	b.nextRequestTick = now + uint64(g.host.opts.Raft.HeartbeatTicks)
	for _, member := range b.members {
		if !b.confirmed[member.GetId()] {
			g.sendIdentityRequest(member.GetId())
		}
	}
}

func (g *group) sendIdentityRequest(id uint64) {
	g.host.outbox.add(g.addresses[id], &raftpb.Message{
		Kind:    kindIdentityRequest,
		Group:   g.id,
		From:    g.replicaID,
		To:      id,
		Context: g.host.diskID,
	})
}

func (g *group) handleIdentityMessage(m *raftpb.Message) {
	if m.GetTo() != g.replicaID {
		return
	}
	if m.GetKind() == kindIdentityRequest {
		g.handleIdentityRequest(m)
		return
	}
	if g.bootstrap == nil || m.GetContext() != g.host.diskID {
		return
	}
	if m.GetReject() {
		g.abandonReplicaID(m.GetFrom())
		return
	}
	g.bootstrap.confirmed[m.GetFrom()] = true
	g.bootstrap.nextRequestTick = 0
	g.sendIdentityRequests(g.host.ticks())
}

// handleIdentityRequest confirms or refuses an initial member. The disk ID of the
// first request is made durable before it is confirmed. Requests that arrive in the
// meantime are ignored, because the member repeats them. An ID that is no longer a member
// was replaced, possibly without having taken part.
func (g *group) handleIdentityRequest(m *raftpb.Message) {
	id, diskID := m.GetFrom(), m.GetContext()
	if g.node != nil && findMember(g.node.Status().Membership.GetMembers(), id) == nil {
		g.sendIdentityReply(m, true)
		return
	}
	if known, found := g.bindings[id]; found {
		g.sendIdentityReply(m, known != diskID)
		return
	}
	if g.pendingBindings[id] {
		return
	}
	g.pendingBindings[id] = true
	update := wal.Update{Group: g.id, Bindings: []wal.Binding{{ReplicaID: id, DiskID: diskID}}}
	g.host.log.AppendAsync([]wal.Update{update}, func(err error) {
		if err == nil {
			g.core.post(func() { g.confirmBinding(m) })
		}
	})
}

// confirmBinding confirms an initial member whose disk ID is durable now, unless the stored state
// was replaced meanwhile.
func (g *group) confirmBinding(m *raftpb.Message) {
	if !g.pendingBindings[m.GetFrom()] {
		return
	}
	delete(g.pendingBindings, m.GetFrom())
	g.bindings[m.GetFrom()] = m.GetContext()
	g.sendIdentityReply(m, false)
}

func (g *group) sendIdentityReply(m *raftpb.Message, reject bool) {
	g.host.outbox.add(g.addresses[m.GetFrom()], &raftpb.Message{
		Kind:    kindIdentityReply,
		Group:   g.id,
		From:    g.replicaID,
		To:      m.GetFrom(),
		Context: m.GetContext(),
		Reject:  reject,
	})
}

// persistBootstrap makes the initial state of a confirmed member durable and then
// starts its node.
func (g *group) persistBootstrap() {
	g.bootstrap.persisting = true
	initial := raft.Bootstrap(&raftpb.Membership{Members: g.bootstrap.members})
	binding := wal.Binding{ReplicaID: g.replicaID, DiskID: g.host.diskID}
	update := wal.Update{Group: g.id, Snapshot: initial.Snapshot, Bindings: []wal.Binding{binding}}
	g.host.log.AppendAsync([]wal.Update{update}, func(err error) {
		if err == nil {
			g.core.post(func() { g.finishBootstrap(initial) })
		}
	})
}

func (g *group) finishBootstrap(initial raft.InitialState) {
	g.bootstrap = nil
	if g.removed {
		return
	}
	if err := g.startNode(initial); err != nil {
		g.host.fail(err)
	}
}

// abandonReplicaID gives up a replica ID that refusedBy has seen on another disk.
// The replica waits under a new ID until the group adds it.
func (g *group) abandonReplicaID(refusedBy uint64) {
	g.log.Error("replica was seen on another disk: it does not vote under this ID again and has to be added anew",
		"replica", g.replicaID, "refused_by", refusedBy)
	g.bootstrap = nil
	g.lostDisk = true
	g.pendingBindings = make(map[uint64]bool)
	g.setMembers(nil)
	g.host.mu.Lock()
	err := g.beginJoin()
	g.host.mu.Unlock()
	if err != nil {
		g.host.fail(err)
	}
}
