package replica

import (
	"context"
	"time"

	"ibistray.example/ibistray/internal/raft"
)

// handOverElections bounds the time for a handover, in election timeouts: the
// other voters may be stopping too.
const handOverElections = 2

// handOver hands the leadership of all groups to other voters and waits until it
// is done, ctx ends or nobody has taken it for handOverElections.
func (h *Host) handOver(ctx context.Context) {
	limit := time.Duration(handOverElections*h.opts.Raft.ElectionTicks) * h.opts.TickInterval
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	h.poll(ctx, func() bool { return h.requestTransfers() == 0 })
}

// awaitAnswers waits until all proposals are answered or ctx ends. Proposals
// whose leadership is gone are given up by themselves.
func (h *Host) awaitAnswers(ctx context.Context) {
	h.poll(ctx, func() bool {
		for _, g := range *h.groups.Load() {
			if g.view.Load().waiting {
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

// requestTransfers starts transfers and returns how many groups with another
// member are still led here.
func (h *Host) requestTransfers() int {
	led := 0
	for _, g := range *h.groups.Load() {
		view := g.view.Load()
		if view.leads && len(view.addresses) > 0 {
			led++
			g.core.post(g.giveUpLeadership)
		}
	}
	return led
}

// giveUpLeadership transfers the leadership to the voter that is most up to date.
func (g *group) giveUpLeadership() {
	if g.retired || g.leader.Role != raft.RoleLeader {
		return
	}
	if target := transferTarget(g.node.Status()); target != 0 {
		if err := g.node.TransferLeadership(target); err != nil {
			g.logger.Debug("leadership not transferred", "to", target, "error", err)
		}
	}
}

// transferTarget returns the voter that answers and holds most of the log, 0 if
// there is none.
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
