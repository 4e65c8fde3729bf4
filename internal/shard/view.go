package shard

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"ibistray.example/ibistray/proto/shardpb"
)

// Errors of the read methods.
var (
	ErrUnknownCustomer = errors.New("shard: the customer has no contract")
	ErrUnknownProgram  = errors.New("shard: the program is unknown")
)

// HistoryView is a program's history after a given exchange.
type HistoryView struct {
	Items  []*shardpb.HistoryItem
	Digest []byte // of the whole history
}

// History returns the exchanges of a program except the first afterTurn ones. An
// item's turn is its position in the history, counted from 1 and in the same way
// as BeginResult.history_turns. Errors: ErrUnknownCustomer, ErrUnknownProgram,
// and those of the body store.
func (s *State) History(customer, program string, afterTurn uint64) (HistoryView, error) {
	refs, digest, err := s.historyRefs(customer, program, afterTurn)
	if err != nil {
		return HistoryView{}, err
	}
	view := HistoryView{Digest: digest, Items: make([]*shardpb.HistoryItem, 0, len(refs))}
	for _, ref := range refs {
		item, err := s.loadHistoryItem(ref)
		if err != nil {
			return HistoryView{}, fmt.Errorf("shard: history of program %q: %w", program, err)
		}
		view.Items = append(view.Items, item)
	}
	return view, nil
}

// historyRef refers to the bodies of one exchange.
type historyRef struct {
	turn   uint64
	call   string
	input  uint64
	answer uint64
}

// historyRefs returns references to the bodies, so that History can read them
// without holding the lock, and the digest of the whole history.
func (s *State) historyRefs(customer, program string, afterTurn uint64) ([]historyRef, []byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	p, err := s.findProgram(customer, program)
	if err != nil {
		return nil, nil, err
	}
	var refs []historyRef
	for i := min(afterTurn, uint64(len(p.history))); i < uint64(len(p.history)); i++ {
		c := &p.calls[p.history[i]]
		refs = append(refs, historyRef{turn: i + 1, call: c.id, input: c.input, answer: c.answer})
	}
	return refs, p.historyDigest, nil
}

func (s *State) loadHistoryItem(ref historyRef) (*shardpb.HistoryItem, error) {
	input, err := s.bodies.Get(ref.input)
	if err != nil {
		return nil, fmt.Errorf("input of call %q: %w", ref.call, err)
	}
	data, err := s.bodies.Get(ref.answer)
	if err != nil {
		return nil, fmt.Errorf("answer of call %q: %w", ref.call, err)
	}
	answer, err := decodeAnswer(data)
	if err != nil {
		return nil, err
	}
	return &shardpb.HistoryItem{Turn: ref.turn, Call: ref.call, Input: input, Answer: answer.GetBody()}, nil
}

func (s *State) findProgram(customer, name string) (*program, error) {
	c := s.customers[customer]
	if c == nil {
		return nil, ErrUnknownCustomer
	}
	p := c.programs[name]
	if p == nil {
		return nil, ErrUnknownProgram
	}
	return p, nil
}

// Authenticated reports whether the customer's contract lists the key hash.
func (s *State) Authenticated(customer string, keyHash []byte) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	_, refusal := s.authenticate(customer, keyHash)
	return refusal == nil
}

// HasCall reports whether a call is recorded. If so, a Begin of it is a resend and
// need not wait for earlier calls of its program.
func (s *State) HasCall(key *shardpb.CallKey) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	p, err := s.findProgram(key.GetCustomer(), key.GetProgram())
	return err == nil && p.find(key.GetCall()) != nil
}

// Program returns the view of one program, or ErrUnknownCustomer or
// ErrUnknownProgram.
func (s *State) Program(customer, program string) (*shardpb.ProgramView, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	p, err := s.findProgram(customer, program)
	if err != nil {
		return nil, err
	}
	return p.view(), nil
}

// Programs returns the views of a customer's programs, sorted by name.
func (s *State) Programs(customer string) []*shardpb.ProgramView {
	s.mu.RLock()
	defer s.mu.RUnlock()
	c := s.customers[customer]
	if c == nil {
		return nil
	}
	views := make([]*shardpb.ProgramView, 0, len(c.programs))
	for _, name := range sortedKeys(c.programs) {
		views = append(views, c.programs[name].view())
	}
	return views
}

func (p *program) view() *shardpb.ProgramView {
	view := &shardpb.ProgramView{
		Customer:       p.customer.contract.GetCustomer(),
		Program:        p.name,
		Epoch:          p.epoch,
		Turns:          uint64(len(p.calls)),
		HistoryTokens:  p.historyTokens,
		Target:         p.lastTarget,
		Ended:          p.ended(),
		LastActivityMs: p.lastActivityMs,
		StartedMs:      p.startedMs,
	}
	if p.open != nil {
		view.OpenCall = p.openRecord().id
		view.OpenState = shardpb.CallState(p.openRecord().state)
		view.Target = p.open.target
	}
	return view
}

// Contract returns the customer's contract in force, or nil. The caller must not
// change it.
func (s *State) Contract(customer string) *shardpb.Contract {
	s.mu.RLock()
	defer s.mu.RUnlock()
	c := s.customers[customer]
	if c == nil {
		return nil
	}
	return c.contract
}

// Contracts returns all contracts in force, sorted by customer. The caller must
// not change them.
func (s *State) Contracts() []*shardpb.Contract {
	s.mu.RLock()
	defer s.mu.RUnlock()
	contracts := make([]*shardpb.Contract, 0, len(s.customers))
	for _, name := range sortedKeys(s.customers) {
		contracts = append(contracts, s.customers[name].contract)
	}
	return contracts
}

// Budget returns the state of a customer's budget as of the last command, or
// ErrUnknownCustomer.
func (s *State) Budget(customer string) (*shardpb.BudgetView, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	c := s.customers[customer]
	if c == nil {
		return nil, ErrUnknownCustomer
	}
	return &shardpb.BudgetView{
		Limit:         c.contract.GetBudget().GetTokens(),
		Used:          c.budget.used,
		Reserved:      c.budget.reserved,
		PeriodStartMs: c.budget.startMs,
	}, nil
}

// Stats holds one customer's figures for metrics.
type Stats struct {
	Programs      int
	OpenCalls     uint32
	HeldTokens    uint64 // engine memory held for programs between calls
	ClampedTokens uint64 // reported usage above the reservations
}

// CustomerStats returns the figures of a customer, or ErrUnknownCustomer.
func (s *State) CustomerStats(customer string) (Stats, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	c := s.customers[customer]
	if c == nil {
		return Stats{}, ErrUnknownCustomer
	}
	stats := Stats{
		Programs:      len(c.programs),
		OpenCalls:     c.openCalls,
		HeldTokens:    c.heldTokens,
		ClampedTokens: c.budget.clampedTokens,
	}
	return stats, nil
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
