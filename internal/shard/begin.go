package shard

import (
	"crypto/sha256"

	"ibistray.example/ibistray/proto/shardpb"
)

// begin records a call, or finds the record of an earlier Begin.
func (s *State) begin(index uint64, op *shardpb.Begin) *shardpb.Result {
	key := op.GetKey()
	c, refusal := s.authenticate(key.GetCustomer(), op.GetKeyHash())
	if refusal != nil {
		return &shardpb.Result{Refusal: refusal}
	}
	p := c.programs[key.GetProgram()]
	if known := p.find(key.GetCall()); known != nil {
		return s.resentBegin(p, known, op)
	}
	c.budget.roll(c.contract.GetBudget(), s.nowMs)
	plan, refusal := s.admit(c, p, op)
	if refusal != nil {
		return &shardpb.Result{Refusal: refusal}
	}
	if p == nil {
		p = s.createProgram(c, index, op)
	}
	s.record(p, op, plan)
	return beginOutcome(s.beginResult(p, p.openRecord(), true))
}

// resentBegin answers a Begin whose call ID is recorded.
func (s *State) resentBegin(p *program, known *call, op *shardpb.Begin) *shardpb.Result {
	if string(known.fingerprint[:]) != string(op.GetFingerprint()) {
		return refused(shardpb.Reason_REASON_CALL_ID_REUSED, "call ID %q was used for another request", known.id)
	}
	return beginOutcome(s.beginResult(p, known, false))
}

// record adds the call to its program as the open one.
func (s *State) record(p *program, op *shardpb.Begin, plan admission) {
	c := call{
		id:         op.GetKey().GetCall(),
		state:      stateBegun,
		kind:       callKind(op.GetKind()), //nolint:gosec // checked by checkKind
		repeatable: plan.repeatable,
	}
	copy(c.fingerprint[:], op.GetFingerprint())
	if c.kind == kindModel {
		c.input = s.putBody(op.GetBody())
	}
	p.open = &openCall{
		reserved:          plan.reserve,
		period:            p.customer.budget.period,
		newInputTokensMax: op.GetNewInputTokensMax(),
		maxOutputTokens:   op.GetMaxOutputTokens(),
		deadlineMs:        op.GetDeadlineMs(),
		begunMs:           s.nowMs,
		inputDigest:       sha256.Sum256(op.GetBody()),
	}
	if op.GetTarget() != nil {
		c.state = stateDispatched
		c.attempt = 1
		p.open.target = op.GetTarget()
	}
	p.appendCall(c)
	p.customer.openCalls++
	s.countTurn(p)
	s.touch(p)
}

// countTurn counts a call to its program and to each program above it.
func (s *State) countTurn(p *program) {
	for p != nil {
		p.countedTurns++
		p = s.parentOf(p)
	}
}

func (s *State) beginResult(p *program, c *call, isFirst bool) *shardpb.BeginResult {
	result := &shardpb.BeginResult{
		State:               shardpb.CallState(c.state),
		First:               isFirst,
		Epoch:               p.epoch,
		Attempt:             uint64(c.attempt),
		Repeatable:          c.repeatable,
		Priority:            p.customer.contract.GetPriority(),
		LastTarget:          p.lastTarget,
		Failure:             c.failure,
		Turn:                uint64(p.byID[c.id]) + 1,
		AttainedTokens:      p.attainedTokens,
		EngineSharePermille: p.customer.contract.GetEngineSharePermille(),
	}
	if c.answer != 0 {
		result.Answer = s.answerOf(c)
	}
	if !c.final() {
		result.Target = p.open.target
		result.HistoryTokens = p.historyTokens
		result.HistoryTurns = uint64(len(p.history))
		result.HistoryDigest = p.historyDigest
	}
	return result
}

func beginOutcome(result *shardpb.BeginResult) *shardpb.Result {
	return &shardpb.Result{Outcome: &shardpb.Result_Begin{Begin: result}}
}
