package shard

import "ibistray.example/ibistray/proto/shardpb"

// renewHold takes or extends the lease of engine memory that a program holds
// through its pauses. Zero tokens or a zero lease release it.
func (s *State) renewHold(op *shardpb.RenewHold) *shardpb.Result {
	p, refusal := s.lookupProgram(op.GetCustomer(), op.GetProgram())
	if refusal != nil {
		return &shardpb.Result{Refusal: refusal}
	}
	if refusal := checkEpoch(p, op.GetEpoch()); refusal != nil {
		return &shardpb.Result{Refusal: refusal}
	}
	if p.ended() {
		return refused(shardpb.Reason_REASON_PROGRAM_ENDED, "the program has ended")
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

// checkHold checks the sum of the customer's holds against the contract.
func checkHold(p *program, tokens uint64) *shardpb.Refusal {
	others := p.customer.heldTokens
	if p.hold != nil {
		others -= p.hold.tokens
	}
	limit := p.customer.contract.GetMaxHeldTokens()
	if tokens != 0 && others+tokens > limit {
		return refuse(shardpb.Reason_REASON_HOLD_LIMIT, "%d tokens are held of %d", others, limit)
	}
	return nil
}

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
