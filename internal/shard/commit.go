package shard

import (
	"ibistray.example/ibistray/proto/shardpb"
)

// commit records the answer of the newest attempt, settles the budget and, for a
// model call, appends the exchange to the program's history. A second Commit of
// a finished call returns the recorded answer.
func (s *State) commit(op *shardpb.Commit) *shardpb.Result {
	p, c, refusal := s.lookupCall(op.GetKey())
	if refusal != nil {
		return &shardpb.Result{Refusal: refusal}
	}
	if refusal := checkEpoch(p, op.GetEpoch()); refusal != nil {
		return &shardpb.Result{Refusal: refusal}
	}
	if c.state == stateFinished {
		return commitOutcome(p, s.loadAnswer(c), false)
	}
	if c.final() {
		return refusalResult(shardpb.Reason_REASON_CALL_FINAL, "the call has failed")
	}
	if refusal := checkNewestAttempt(c, op.GetAttempt()); refusal != nil {
		return &shardpb.Result{Refusal: refusal}
	}
	s.finishCall(p, c, op.GetAnswer())
	return commitOutcome(p, op.GetAnswer(), true)
}

// checkNewestAttempt refuses an outcome unless it is the one of the newest
// attempt and that attempt was dispatched.
func checkNewestAttempt(c *call, attempt uint64) *shardpb.Refusal {
	if attempt != uint64(c.attempt) || c.state == stateBegun {
		return newRefusal(shardpb.Reason_REASON_STALE_ATTEMPT, "attempt %d, the newest is %d", attempt, c.attempt)
	}
	return nil
}

// finishCall records the answer of the open call and closes it.
func (s *State) finishCall(p *program, c *call, answer *shardpb.Answer) {
	c.state = stateFinished
	c.answer = s.putAnswer(answer)
	if c.kind == kindModel {
		appendHistory(p, answer)
	}
	s.closeCall(p, c, answerCharge(c, p.open, answer.GetUsage()))
}

// answerCharge returns the tokens to charge for an answer. A model's answer
// without usage is charged the whole reservation, because its usage is unknown.
func answerCharge(c *call, open *openCall, usage *shardpb.Usage) uint64 {
	if c.kind == kindModel && usage == nil {
		return open.reserved
	}
	return totalTokens(usage)
}

// closeCall settles the budget of the open call, whose outcome is now final, and
// lets the program make its next call.
func (s *State) closeCall(p *program, c *call, charge uint64) {
	p.customer.budget.settle(p.open, charge)
	p.customer.openCalls--
	if c.kind == kindModel && p.open.target != nil {
		p.lastTarget = p.open.target
	}
	p.open = nil
	s.recordActivity(p)
}

func commitOutcome(p *program, answer *shardpb.Answer, isFirst bool) *shardpb.Result {
	result := &shardpb.CommitResult{Answer: answer, First: isFirst, HistoryTokens: p.historyTokens}
	return &shardpb.Result{Outcome: &shardpb.Result_Commit{Commit: result}}
}
