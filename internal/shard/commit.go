package shard

import (
	"ibistray.example/ibistray/proto/shardpb"
)

// commit records the answer of the newest attempt, settles the budget and
// appends the exchange to the program's history. A second Commit of a finished
// call returns the recorded answer.
func (s *State) commit(op *shardpb.Commit) *shardpb.Result {
	p, c, refusal := s.lookup(op.GetKey())
	if refusal != nil {
		return &shardpb.Result{Refusal: refusal}
	}
	if refusal := checkEpoch(p, op.GetEpoch()); refusal != nil {
		return &shardpb.Result{Refusal: refusal}
	}
	if c.state == stateFinished {
		return commitOutcome(p, s.answerOf(c), false)
	}
	if c.final() {
		return refused(shardpb.Reason_REASON_CALL_FINAL, "the call has failed")
	}
	if refusal := checkNewest(c, op.GetAttempt()); refusal != nil {
		return &shardpb.Result{Refusal: refusal}
	}
	s.finish(p, c, op.GetAnswer())
	return commitOutcome(p, op.GetAnswer(), true)
}

// checkNewest refuses outcomes of any attempt but the newest one.
func checkNewest(c *call, attempt uint64) *shardpb.Refusal {
	if attempt != uint64(c.attempt) || c.state == stateBegun {
		return refuse(shardpb.Reason_REASON_STALE_ATTEMPT, "attempt %d, the newest is %d", attempt, c.attempt)
	}
	return nil
}

func (s *State) finish(p *program, c *call, answer *shardpb.Answer) {
	c.state = stateFinished
	c.answer = s.putAnswer(answer)
	if c.kind == kindModel {
		appendHistory(p, answer)
	}
	s.close(p, c, chargeOf(c, p.open, answer.GetUsage()))
}

// chargeOf returns the tokens to charge for an answer. A model's answer without
// usage is charged in full, because what it used is not known.
func chargeOf(c *call, open *openCall, usage *shardpb.Usage) uint64 {
	if c.kind == kindModel && usage == nil {
		return open.reserved
	}
	return tokensOf(usage)
}

// close settles the open call, whose outcome is final now.
func (s *State) close(p *program, c *call, charge uint64) {
	p.customer.budget.settle(p.open, charge)
	p.customer.openCalls--
	if c.kind == kindModel && p.open.target != nil {
		p.lastTarget = p.open.target
	}
	p.open = nil
	s.touch(p)
}

func commitOutcome(p *program, answer *shardpb.Answer, isFirst bool) *shardpb.Result {
	result := &shardpb.CommitResult{Answer: answer, First: isFirst, HistoryTokens: p.historyTokens}
	return &shardpb.Result{Outcome: &shardpb.Result_Commit{Commit: result}}
}
