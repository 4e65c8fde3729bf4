package replica

import (
	"context"
	"errors"
	"fmt"

	"ibistray.example/ibistray/internal/raft"
	"ibistray.example/ibistray/proto/raftpb"
)

// proposal is a caller that waits for its entry.
type proposal struct {
	term   uint64
	result chan outcome // has room for one
}

type outcome struct {
	applied Applied
	err     error
}

// finish answers the caller. It does nothing without a caller.
func (p *proposal) finish(applied Applied, err error) {
	if p != nil {
		p.result <- outcome{applied: applied, err: err}
	}
}

// Propose implements Log.
func (h *Host) Propose(ctx context.Context, id uint64, data []byte) (Applied, error) {
	return h.propose(ctx, id, func(node *raft.Node) (uint64, uint64, error) { return node.Propose(data) })
}

// proposeFunc appends an entry and returns its index and term.
type proposeFunc func(node *raft.Node) (index, term uint64, err error)

// propose appends an entry and waits until it is applied here.
func (h *Host) propose(ctx context.Context, id uint64, propose proposeFunc) (Applied, error) {
	applied, err := h.proposeAndWait(ctx, id, propose)
	h.metrics.proposals.WithLabelValues(outcomeLabel(err)).Inc()
	return applied, err
}

func (h *Host) proposeAndWait(ctx context.Context, id uint64, propose proposeFunc) (Applied, error) {
	g, err := h.lookup(id)
	if err != nil {
		return Applied{}, err
	}
	if h.stopping.Load() {
		return Applied{}, ErrStopped
	}
	p := &proposal{result: make(chan outcome, 1)}
	g.core.post(func() {
		if err := ctx.Err(); err != nil {
			p.finish(Applied{}, err)
			return
		}
		g.propose(p, propose)
	})
	select {
	case o := <-p.result:
		return o.applied, o.err
	case <-ctx.Done():
		return Applied{}, fmt.Errorf("group %d: %w: %w", id, ErrUncertain, ctx.Err())
	case <-h.done:
		return p.lastOutcome(id)
	}
}

// lastOutcome returns the outcome after the host has stopped.
func (p *proposal) lastOutcome(id uint64) (Applied, error) {
	select {
	case o := <-p.result:
		return o.applied, o.err
	default:
		return Applied{}, fmt.Errorf("group %d: host stopped: %w", id, ErrUncertain)
	}
}

// propose appends an entry to the log of the leader.
func (g *group) propose(p *proposal, propose proposeFunc) {
	if g.retired || g.node == nil || g.progress.backlog() > maxApplyBacklog {
		p.finish(Applied{}, g.notTaken(ErrUnavailable))
		return
	}
	index, term, err := propose(g.node)
	if err != nil {
		p.finish(Applied{}, g.notTaken(err))
		return
	}
	p.term = term
	g.proposals[index] = p
}

// notTaken turns an error of the core into one of this package. The request was
// not taken.
func (g *group) notTaken(err error) error {
	switch {
	case errors.Is(err, raft.ErrNotLeader):
		return fmt.Errorf("group %d: %w", g.id, ErrNotLeader)
	case errors.Is(err, raft.ErrTransferring), errors.Is(err, raft.ErrTooManyUncommitted):
		return fmt.Errorf("group %d: %w: %w", g.id, ErrUnavailable, err)
	case errors.Is(err, ErrUnavailable):
		return fmt.Errorf("group %d: %w", g.id, err)
	}
	return fmt.Errorf("group %d: %w: %w", g.id, ErrRefused, err)
}

// takeProposal returns the proposal of a committed entry. A proposal whose index
// went to an entry of another term is answered with ErrUncertain.
func (g *group) takeProposal(entry *raftpb.Entry) *proposal {
	p := g.proposals[entry.GetIndex()]
	if p == nil {
		return nil
	}
	delete(g.proposals, entry.GetIndex())
	if p.term == entry.GetTerm() {
		return p
	}
	p.finish(Applied{}, fmt.Errorf("group %d: another entry was committed: %w", g.id, ErrUncertain))
	return nil
}

// expireProposalsLater gives the proposals of a lost leadership some time: the
// next leader may have committed them.
func (g *group) expireProposalsLater() {
	g.expiry = g.host.ticks() + uint64(2*g.host.opts.Raft.ElectionTicks)
}

func (g *group) expireProposals(now uint64) {
	if g.expiry == 0 || now < g.expiry {
		return
	}
	g.expiry = 0
	for index, p := range g.proposals {
		if g.leader.Role == raft.RoleLeader && p.term == g.leader.Term {
			continue
		}
		delete(g.proposals, index)
		p.finish(Applied{}, fmt.Errorf("group %d: leadership was lost: %w", g.id, ErrUncertain))
	}
}

// failProposals answers all proposals.
func (g *group) failProposals(cause error) {
	for index, p := range g.proposals {
		delete(g.proposals, index)
		p.finish(Applied{}, fmt.Errorf("group %d: %w", g.id, cause))
	}
}

// outcomeLabel returns the label of an outcome in metrics.
func outcomeLabel(err error) string {
	switch {
	case err == nil:
		return outcomeApplied
	case errors.Is(err, ErrUncertain):
		return outcomeUncertain
	case errors.Is(err, ErrNotLeader):
		return outcomeNotLeader
	case errors.Is(err, ErrRefused):
		return outcomeRefused
	case errors.Is(err, ErrStopped):
		return outcomeStopped
	case errors.Is(err, ErrUnknownGroup):
		return outcomeUnknownGroup
	case errors.Is(err, ErrUnavailable):
		return outcomeUnavailable
	}
	return outcomeCanceled
}

// dropProposals answers the proposals that a snapshot from the leader covers.
func (g *group) dropProposals(index uint64) {
	for proposed, p := range g.proposals {
		if proposed <= index {
			delete(g.proposals, proposed)
			p.finish(Applied{}, fmt.Errorf("group %d: a snapshot covers the entry: %w", g.id, ErrUncertain))
		}
	}
}
