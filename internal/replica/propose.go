package replica

import (
	"context"
	"errors"
	"fmt"

	"ibistray.example/ibistray/internal/raft"
	"ibistray.example/ibistray/proto/raftpb"
)

// proposal is a call that waits until its entry is applied.
type proposal struct {
	term   uint64
	result chan outcome // buffered: receives one outcome
}

type outcome struct {
	applied Applied
	err     error
}

// complete sends the outcome to the caller. It does nothing if p is nil.
func (p *proposal) complete(applied Applied, err error) {
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

// propose appends an entry, waits until it is applied here and counts the outcome.
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
			p.complete(Applied{}, err)
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
		return p.outcomeAfterStop(id)
	}
}

// outcomeAfterStop returns the outcome of a proposal whose host has stopped.
func (p *proposal) outcomeAfterStop(id uint64) (Applied, error) {
	select {
	case o := <-p.result:
		return o.applied, o.err
	default:
		return Applied{}, fmt.Errorf("group %d: host stopped: %w", id, ErrUncertain)
	}
}

// propose appends an entry if this replica is the leader. An error completes p.
func (g *group) propose(p *proposal, propose proposeFunc) {
	if g.removed || g.node == nil || g.progress.backlog() > maxApplyBacklog || g.progress.outpaced(&g.host.opts) {
		p.complete(Applied{}, g.refusalError(ErrUnavailable))
		return
	}
	index, term, err := propose(g.node)
	if err != nil {
		p.complete(Applied{}, g.refusalError(err))
		return
	}
	p.term = term
	g.proposals[index] = p
}

// refusalError wraps the error with which the raft core rejected a request in an
// error of this package.
func (g *group) refusalError(err error) error {
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

// takeProposal removes and returns the proposal of a committed entry, nil if it has
// none here. If an entry of another term was committed at the index of a proposal,
// the proposal fails with ErrUncertain.
func (g *group) takeProposal(entry *raftpb.Entry) *proposal {
	p := g.proposals[entry.GetIndex()]
	if p == nil {
		return nil
	}
	delete(g.proposals, entry.GetIndex())
	if p.term == entry.GetTerm() {
		return p
	}
	p.complete(Applied{}, fmt.Errorf("group %d: another entry was committed: %w", g.id, ErrUncertain))
	return nil
}

// scheduleProposalExpiry sets the time at which the proposals of a lost leadership
// fail. Until then the next leader may commit them.
func (g *group) scheduleProposalExpiry() {
	g.proposalDeadline = g.host.ticks() + uint64(2*g.host.opts.Raft.ElectionTicks)
}

func (g *group) expireProposals(now uint64) {
	if g.proposalDeadline == 0 || now < g.proposalDeadline {
		return
	}
	g.proposalDeadline = 0
	for index, p := range g.proposals {
		if g.softState.Role == raft.RoleLeader && p.term == g.softState.Term {
			continue
		}
		delete(g.proposals, index)
		p.complete(Applied{}, fmt.Errorf("group %d: leadership was lost: %w", g.id, ErrUncertain))
	}
}

// failProposals completes all proposals with an error.
func (g *group) failProposals(cause error) {
	for index, p := range g.proposals {
		delete(g.proposals, index)
		p.complete(Applied{}, fmt.Errorf("group %d: %w", g.id, cause))
	}
}

// outcomeLabel returns the value of the metrics label "outcome" for an error.
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

// failProposalsUpTo fails the proposals that a snapshot from the leader covers, whose
// results are not known here.
func (g *group) failProposalsUpTo(index uint64) {
	for proposed, p := range g.proposals {
		if proposed <= index {
			delete(g.proposals, proposed)
			p.complete(Applied{}, fmt.Errorf("group %d: a snapshot covers the entry: %w", g.id, ErrUncertain))
		}
	}
}
