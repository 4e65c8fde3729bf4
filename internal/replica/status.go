package replica

import (
	"context"

	"ibistray.example/ibistray/internal/raft"
	"ibistray.example/ibistray/proto/raftpb"
)

// GroupStatus is the status of a replica.
type GroupStatus struct {
	raft.Status
	// Active is false until the initial members of a new group have confirmed each
	// other. Until then only ID and LostDisk are set.
	Active bool
	// LostDisk is true if another member has seen this replica on another disk. The
	// replica has a new ID and must be added to the group.
	LostDisk bool
	// SnapshotIndex is the index of the latest durable snapshot.
	SnapshotIndex uint64
}

// Status returns the status of the replica on this host. Errors: ErrUnknownGroup,
// ErrStopped and the error of ctx.
func (h *Host) Status(ctx context.Context, group uint64) (GroupStatus, error) {
	g, err := h.lookup(group)
	if err != nil {
		return GroupStatus{}, err
	}
	result := make(chan GroupStatus, 1)
	g.core.post(func() { result <- g.status() })
	select {
	case status := <-result:
		return status, nil
	case <-ctx.Done():
		return GroupStatus{}, ctx.Err()
	case <-h.done:
		return GroupStatus{}, ErrStopped
	}
}

func (g *group) status() GroupStatus {
	status := GroupStatus{LostDisk: g.lostDisk, SnapshotIndex: g.progress.snapshotIndex}
	status.ID = g.replicaID
	if g.node == nil {
		return status
	}
	status.Status = g.node.Status()
	status.Active = true
	return status
}

// Members returns the members of a group as this host knows them. Errors: those
// of Status.
func (h *Host) Members(ctx context.Context, group uint64) ([]*raftpb.Member, error) {
	status, err := h.Status(ctx, group)
	if err != nil {
		return nil, err
	}
	return status.Membership.GetMembers(), nil
}

// ReplicaID returns the ID of a group's replica on this host, or ErrUnknownGroup.
func (h *Host) ReplicaID(group uint64) (uint64, error) {
	g, err := h.lookup(group)
	if err != nil {
		return 0, err
	}
	return g.published.Load().replicaID, nil
}

// Groups returns the IDs of the groups with a replica on this host, in any order.
func (h *Host) Groups() []uint64 {
	groups := *h.groups.Load()
	ids := make([]uint64, 0, len(groups))
	for id := range groups {
		ids = append(ids, id)
	}
	return ids
}
