package replica

import (
	"context"
	"errors"
	"fmt"
	"time"

	"ibistray.example/ibistray/internal/raft"
	"ibistray.example/ibistray/proto/raftpb"
)

// AddLearner adds a replica that receives entries and does not vote. The ID of
// member must be the one that ReplicaID returns on its host. Adding a member again
// with the same ID and address succeeds without a change. Errors: those of Propose,
// ErrRefused.
func (h *Host) AddLearner(ctx context.Context, group uint64, member *raftpb.Member) error {
	return h.changeMembership(ctx, group, raft.MembershipChange{Kind: raft.ChangeAddLearner, Member: member}, hasMember(member))
}

// Promote makes a learner a voter once all committed entries are durable on it. It
// waits for that until ctx ends. Errors: those of Propose, ErrRefused.
func (h *Host) Promote(ctx context.Context, group, replicaID uint64) error {
	member := &raftpb.Member{Id: replicaID}
	return h.changeMembership(ctx, group, raft.MembershipChange{Kind: raft.ChangePromote, Member: member}, hasVoter(replicaID))
}

// RemoveMember removes a member, which must not be the leader. If the group has no
// such member, it succeeds without a change. Errors: those of Propose, ErrRefused.
func (h *Host) RemoveMember(ctx context.Context, group, replicaID uint64) error {
	member := &raftpb.Member{Id: replicaID}
	return h.changeMembership(ctx, group, raft.MembershipChange{Kind: raft.ChangeRemove, Member: member}, lacksMember(replicaID))
}

// ReplaceMember adds a replica, waits until all committed entries are durable on it,
// makes it a voter and then removes the old one. An interrupted call can be
// repeated. Errors: those of Propose, ErrRefused.
func (h *Host) ReplaceMember(ctx context.Context, group, oldID uint64, member *raftpb.Member) error {
	if err := h.AddLearner(ctx, group, member); err != nil {
		return err
	}
	if err := h.Promote(ctx, group, member.GetId()); err != nil {
		return err
	}
	return h.RemoveMember(ctx, group, oldID)
}

// membershipCondition reports whether a change is already in effect.
type membershipCondition func(members []*raftpb.Member) bool

func hasMember(wanted *raftpb.Member) membershipCondition {
	return func(members []*raftpb.Member) bool {
		member := findMember(members, wanted.GetId())
		return member != nil && member.GetAddress() == wanted.GetAddress()
	}
}

func hasVoter(id uint64) membershipCondition {
	return func(members []*raftpb.Member) bool {
		member := findMember(members, id)
		return member != nil && !member.GetLearner()
	}
}

func lacksMember(id uint64) membershipCondition {
	return func(members []*raftpb.Member) bool {
		return findMember(members, id) == nil
	}
}

func findMember(members []*raftpb.Member, id uint64) *raftpb.Member {
	for _, member := range members {
		if member.GetId() == id {
			return member
		}
	}
	return nil
}

// changeMembership proposes a membership change unless it is already in effect. It
// retries while the group is not ready for the change.
func (h *Host) changeMembership(ctx context.Context, group uint64, change raft.MembershipChange, satisfied membershipCondition) error {
	for {
		members, err := h.Members(ctx, group)
		if err != nil {
			return err
		}
		if satisfied(members) {
			return nil
		}
		_, err = h.propose(ctx, group, func(node *raft.Node) (uint64, uint64, error) {
			return node.ProposeMembership(change)
		})
		if !isRetryable(err) {
			return err
		}
		if err := sleep(ctx, h.opts.TickInterval); err != nil {
			return fmt.Errorf("group %d: %w: %w", group, ErrRefused, err)
		}
	}
}

// isRetryable reports whether a refused change may be accepted later.
func isRetryable(err error) bool {
	return errors.Is(err, raft.ErrLearnerBehind) || errors.Is(err, raft.ErrChangePending)
}

func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TransferLeadership transfers the leadership to another voter. It returns when this
// replica no longer leads the group, or at once with ErrNotLeader if it does not.
// Errors: ErrNotLeader, ErrUnavailable, ErrRefused, ErrUnknownGroup, ErrStopped and
// the error of ctx.
func (h *Host) TransferLeadership(ctx context.Context, group, replicaID uint64) error {
	g, err := h.lookup(group)
	if err != nil {
		return err
	}
	if err := g.transferLeadership(ctx, replicaID); err != nil {
		return err
	}
	for g.published.Load().isLeader {
		if err := sleep(ctx, h.opts.TickInterval); err != nil {
			return err
		}
	}
	return nil
}

func (g *group) transferLeadership(ctx context.Context, replicaID uint64) error {
	result := make(chan error, 1)
	g.core.post(func() {
		if g.node == nil || g.removed {
			result <- g.refusalError(ErrUnavailable)
			return
		}
		err := g.node.TransferLeadership(replicaID)
		if err != nil {
			err = g.refusalError(err)
		}
		result <- err
	})
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-g.host.done:
		return ErrStopped
	}
}
