package replica

import (
	"context"
	"errors"
	"fmt"
	"time"

	"ibistray.example/ibistray/internal/raft"
	"ibistray.example/ibistray/proto/raftpb"
)

// AddLearner adds a replica that receives entries and does not vote. The member
// has the replica ID that ReplicaID of its host returns. Adding a member again
// under the same ID and address succeeds without a change. Errors: those of
// Propose, ErrRefused.
func (h *Host) AddLearner(ctx context.Context, group uint64, member *raftpb.Member) error {
	return h.change(ctx, group, raft.MembershipChange{Kind: raft.ChangeAddLearner, Member: member}, isMember(member))
}

// Promote makes a learner a voter once it holds durably what is committed. It
// waits for that until ctx ends. Errors: those of Propose, ErrRefused.
func (h *Host) Promote(ctx context.Context, group, replicaID uint64) error {
	member := &raftpb.Member{Id: replicaID}
	return h.change(ctx, group, raft.MembershipChange{Kind: raft.ChangePromote, Member: member}, isVoter(replicaID))
}

// RemoveMember removes a member, which must not be the leader. Removing a member
// that is gone succeeds without a change. Errors: those of Propose, ErrRefused.
func (h *Host) RemoveMember(ctx context.Context, group, replicaID uint64) error {
	member := &raftpb.Member{Id: replicaID}
	return h.change(ctx, group, raft.MembershipChange{Kind: raft.ChangeRemove, Member: member}, isGone(replicaID))
}

// ReplaceMember adds a replica, waits until it holds durably what is committed,
// makes it a voter and then removes the old one. A call that was cut short can be
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

// reached reports whether a membership already is what a change aims at.
type reached func(members []*raftpb.Member) bool

func isMember(wanted *raftpb.Member) reached {
	return func(members []*raftpb.Member) bool {
		member := findMember(members, wanted.GetId())
		return member != nil && member.GetAddress() == wanted.GetAddress()
	}
}

func isVoter(id uint64) reached {
	return func(members []*raftpb.Member) bool {
		member := findMember(members, id)
		return member != nil && !member.GetLearner()
	}
}

func isGone(id uint64) reached {
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

// change proposes a membership change, again as long as the group is not ready
// for it.
func (h *Host) change(ctx context.Context, group uint64, change raft.MembershipChange, done reached) error {
	for {
		members, err := h.Members(ctx, group)
		if err != nil {
			return err
		}
		if done(members) {
			return nil
		}
		_, err = h.propose(ctx, group, func(node *raft.Node) (uint64, uint64, error) {
			return node.ProposeMembership(change)
		})
		if !isTemporary(err) {
			return err
		}
		if err := sleep(ctx, h.opts.TickInterval); err != nil {
			return fmt.Errorf("group %d: %w: %w", group, ErrRefused, err)
		}
	}
}

// isTemporary reports whether a refused change may be taken later.
func isTemporary(err error) bool {
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

// TransferLeadership hands the leadership to another voter. It returns when this
// replica does not lead any longer; the call starts nothing on a replica that
// does not lead. Errors: ErrNotLeader, ErrUnavailable, ErrRefused,
// ErrUnknownGroup, ErrStopped and the context's.
func (h *Host) TransferLeadership(ctx context.Context, group, replicaID uint64) error {
	g, err := h.lookup(group)
	if err != nil {
		return err
	}
	if err := g.transfer(ctx, replicaID); err != nil {
		return err
	}
	for g.view.Load().leads {
		if err := sleep(ctx, h.opts.TickInterval); err != nil {
			return err
		}
	}
	return nil
}

func (g *group) transfer(ctx context.Context, replicaID uint64) error {
	result := make(chan error, 1)
	g.core.post(func() {
		if g.node == nil || g.retired {
			result <- g.notTaken(ErrUnavailable)
			return
		}
		err := g.node.TransferLeadership(replicaID)
		if err != nil {
			err = g.notTaken(err)
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
