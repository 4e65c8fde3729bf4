package replica

import (
	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/proto/raftpb"
)

// A replica that was offline, or that has just been added, may not know the
// current members and could not reply to them. Heartbeats and vote requests
// therefore carry the address of their sender as the only member of
// Snapshot.Membership, which the raft core ignores in these messages.

// carriesSenderAddress reports whether messages of this kind carry the address of
// their sender.
func carriesSenderAddress(kind raftpb.MessageKind) bool {
	switch kind {
	case raftpb.MessageKind_MESSAGE_KIND_HEARTBEAT,
		raftpb.MessageKind_MESSAGE_KIND_PRE_VOTE,
		raftpb.MessageKind_MESSAGE_KIND_VOTE:
		return true
	}
	return false
}

// senderMetadata returns the metadata that carries the address of this host.
func (h *Host) senderMetadata() *raftpb.SnapshotMeta {
	sender := &raftpb.Member{Address: h.opts.Address}
	return &raftpb.SnapshotMeta{Membership: &raftpb.Membership{Members: []*raftpb.Member{sender}}}
}

// senderAddress returns the sender's address that a message carries, or "".
func senderAddress(m *raftpb.Message) string {
	members := m.GetSnapshot().GetMembership().GetMembers()
	if len(members) != 1 {
		return ""
	}
	return members[0].GetAddress()
}

// withSenderAddress returns m with the address of this host, if messages of its
// kind carry one. It changes a copy, because the raft core keeps using m.
func (g *group) withSenderAddress(m *raftpb.Message) *raftpb.Message {
	if !carriesSenderAddress(m.GetKind()) {
		return m
	}
	m = proto.CloneOf(m)
	m.Snapshot = g.host.senderMetadata()
	return m
}

// recordSenderAddress records the address that a message carries, so that this
// replica can reply to a sender that its membership does not contain.
func (g *group) recordSenderAddress(m *raftpb.Message) {
	if !carriesSenderAddress(m.GetKind()) {
		return
	}
	address := senderAddress(m)
	if address == "" || g.addresses[m.GetFrom()] == address {
		return
	}
	g.addresses[m.GetFrom()] = address
}
