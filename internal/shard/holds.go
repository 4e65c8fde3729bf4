package shard

import "ibistray.example/ibistray/proto/shardpb"

// renewHold creates, renews or releases a program's hold: a lease on engine memory
// that keeps the program's cached prefix between its calls. Zero tokens or a zero
// TTL release the hold.
func (s *State) renewHold(op *shardpb.RenewHold) *shardpb.Result {
	p, refusal := s.lookupProgram(op.GetCustomer(), op.GetProgram())
	if refusal != nil {
		return &shardpb.Result{Refusal: refusal}
	}
	if refusal := checkEpoch(p, op.GetEpoch()); refusal != nil {
		return &shardpb.Result{Refusal: refusal}
	}
	if p.ended() {
		return refusalResult(shardpb.Reason_REASON_PROGRAM_ENDED, "the program has ended")
	}
	if refusal := checkHold(p, op.GetTokens()); refusal != nil {
		return &shardpb.Result{Refusal: refusal}
	}
	s.setHold(p, op)
	result := new(shardpb.RenewHoldResult)
	if p.hold != nil {
		result.UntilMs = p.hold.untilMs
	}
	return &shardpb.Result{Outcome: &shardpb.Result_RenewHold{RenewHold: result}}
}

// checkHold checks the sum of the customer's held tokens, with the program's hold
// replaced by the given one, against the contract's limit.
func checkHold(p *program, tokens uint64) *shardpb.Refusal {
	otherTokens := p.customer.heldTokens
	if p.hold != nil {
		otherTokens -= p.hold.tokens
	}
	limit := p.customer.contract.GetMaxHeldTokens()
	if tokens != 0 && otherTokens+tokens > limit {
		return newRefusal(shardpb.Reason_REASON_HOLD_LIMIT, "%d tokens are held of %d", otherTokens, limit)
	}
	return nil
}

// setHold replaces the program's hold by the one that op describes, if any.
func (s *State) setHold(p *program, op *shardpb.RenewHold) {
	s.releaseHold(p)
	if op.GetTokens() != 0 && op.GetTtlMs() != 0 {
		p.hold = &hold{target: op.GetTarget(), tokens: op.GetTokens(), untilMs: s.nowMs + op.GetTtlMs()}
		p.customer.heldTokens += op.GetTokens()
	}
	s.reschedule(p)
}

func (s *State) releaseHold(p *program) {
	if p.hold == nil {
		return
	}
	p.customer.heldTokens -= p.hold.tokens
	p.hold = nil
}
