package replica

import (
	"context"
	"time"

	"ibistray.example/ibistray/internal/raft"
)

// transferElectionTimeouts limits, in election timeouts, the time for transferring
// the leaderships of a host. The other voters may be stopping too.
const transferElectionTimeouts = 2

// transferLeaderships transfers the leadership of all groups to other voters and
// waits until it is done, ctx ends or transferElectionTimeouts have passed.
func (h *Host) transferLeaderships(ctx context.Context) {
	limit := time.Duration(transferElectionTimeouts*h.opts.Raft.ElectionTicks) * h.opts.TickInterval
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	h.poll(ctx, func() bool { return h.requestTransfers() == 0 })
}

// waitForProposals waits until all proposals have a result or ctx ends. Proposals
// of a lost leadership fail by themselves after a while.
func (h *Host) waitForProposals(ctx context.Context) {
	h.poll(ctx, func() bool {
		for _, g := range *h.groups.Load() {
			if g.published.Load().hasProposals {
				return false
			}
		}
		return true
	})
}

// poll waits until done returns true, ctx ends or the storage fails.
func (h *Host) poll(ctx context.Context, done func() bool) {
	for ctx.Err() == nil && h.Err() == nil {
		if done() || sleep(ctx, h.opts.TickInterval) != nil {
			return
		}
	}
}

// requestTransfers requests a leadership transfer of each group that this host
// leads and that has another member. It returns the number of these groups.
func (h *Host) requestTransfers() int {
	ledGroups := 0
	for _, g := range *h.groups.Load() {
		state := g.published.Load()
		if state.isLeader && len(state.peerAddresses) > 0 {
			ledGroups++
			g.core.post(g.transferToBestVoter)
		}
	}
	return ledGroups
}

// transferToBestVoter transfers the leadership to the most up-to-date voter.
func (g *group) transferToBestVoter() {
	if g.removed || g.softState.Role != raft.RoleLeader {
		return
	}
	if target := transferTarget(g.node.Status()); target != 0 {
		if err := g.node.TransferLeadership(target); err != nil {
			g.log.Debug("cannot transfer leadership", "to", target, "error", err)
		}
	}
}

// transferTarget returns the ID of the responding voter that holds the most of the
// log, or 0 if no voter responds.
func transferTarget(status raft.Status) uint64 {
	var target, match uint64
	for _, member := range status.Members {
		if member.Learner || member.LostState || member.TicksSinceAck < 0 {
			continue
		}
		if target == 0 || member.MatchIndex > match {
			target, match = member.ID, member.MatchIndex
		}
	}
	return target
}
