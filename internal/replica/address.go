package replica

import (
	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/proto/raftpb"
)

// A replica that was away, or that has just been added, may not know the members
// of the present: it could not answer them. Heartbeats and vote requests
// therefore carry the address of their sender as the only member of
// Snapshot.Membership, which the core does not look at.

// carriesAddress reports whether messages of a kind carry the sender's address.
func carriesAddress(kind raftpb.MessageKind) bool {
	switch kind {
	case raftpb.MessageKind_MESSAGE_KIND_HEARTBEAT,
		raftpb.MessageKind_MESSAGE_KIND_PRE_VOTE,
		raftpb.MessageKind_MESSAGE_KIND_VOTE:
		return true
	}
	return false
}

// senderMeta returns the metadata that carries the address of this host.
func (h *Host) senderMeta() *raftpb.SnapshotMeta {
	sender := &raftpb.Member{Address: h.opts.Address}
	return &raftpb.SnapshotMeta{Membership: &raftpb.Membership{Members: []*raftpb.Member{sender}}}
}

// senderAddress returns the address that a message carries, or "".
func senderAddress(m *raftpb.Message) string {
	members := m.GetSnapshot().GetMembership().GetMembers()
	if len(members) != 1 {
		return ""
	}
	return members[0].GetAddress()
}

// withAddress returns the message with the address of this host. The core shares
// the message, so a copy is changed.
func (g *group) withAddress(m *raftpb.Message) *raftpb.Message {
	if !carriesAddress(m.GetKind()) {
		return m
	}
	m = proto.CloneOf(m)
	m.Snapshot = g.host.senderMeta()
	return m
}

// learnAddress keeps the address of a sender that is not a known member.
func (g *group) learnAddress(m *raftpb.Message) {
	if !carriesAddress(m.GetKind()) {
		return
	}
	address := senderAddress(m)
	if address == "" || g.addresses[m.GetFrom()] == address {
		return
	}
	g.addresses[m.GetFrom()] = address
}
