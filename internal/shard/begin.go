package shard

import (
	"crypto/sha256"

	"ibistray.example/ibistray/proto/shardpb"
)

// begin records a new call, or answers from the record of an earlier Begin with
// the same call ID.
func (s *State) begin(index uint64, op *shardpb.Begin) *shardpb.Result {
	key := op.GetKey()
	c, refusal := s.authenticate(key.GetCustomer(), op.GetKeyHash())
	if refusal != nil {
		return &shardpb.Result{Refusal: refusal}
	}
	p := c.programs[key.GetProgram()]
	c.budget.rollOver(c.contract.GetBudget(), s.nowMs)
	if recorded := p.find(key.GetCall()); recorded != nil {
		return s.handleResend(index, p, recorded, op)
	}
	admitted, refusal := s.admit(c, p, op)
	if refusal != nil {
		return &shardpb.Result{Refusal: refusal}
	}
	if p == nil {
		p = s.createProgram(c, index, op)
	}
	s.recordCall(p, op, admitted)
	return s.openedResult(index, p, p.openRecord())
}

// handleResend answers a Begin whose call ID is recorded. A call that was proven
// not to have run is begun again, so that its caller can retry under the same call
// ID.
func (s *State) handleResend(index uint64, p *program, recorded *call, op *shardpb.Begin) *shardpb.Result {
	if string(recorded.fingerprint[:]) != string(op.GetFingerprint()) {
		return refusalResult(shardpb.Reason_REASON_CALL_ID_REUSED, "call ID %q was used for another request", recorded.id)
	}
	if !reopenable(p, recorded) {
		return beginOutcome(s.beginResult(p, recorded, false))
	}
	reserved, refusal := s.admitReopened(p, op)
	if refusal != nil {
		return &shardpb.Result{Refusal: refusal}
	}
	s.reopen(p, recorded, op, reserved)
	return s.openedResult(index, p, recorded)
}

// openedResult returns the result of a Begin that opened a call. The log index
// grows with each command, so it serves as the fencing token of the attempt.
func (s *State) openedResult(index uint64, p *program, c *call) *shardpb.Result {
	result := s.beginResult(p, c, true)
	if c.state == stateDispatched {
		result.Fence = index
	}
	return beginOutcome(result)
}

// reopenable reports whether a call may be begun again: it was proven not to have
// run, it is the program's newest call, and the program has not ended.
func reopenable(p *program, c *call) bool {
	return c == p.lastCall() && c.state == stateFailed && c.failure.GetNotRun() && !p.ended()
}

// reopen opens the program's last call again. Attempt numbers continue where
// they stopped, so outcomes of the earlier attempts, which are all fenced, stay
// distinguishable.
func (s *State) reopen(p *program, c *call, op *shardpb.Begin, reserved uint64) {
	c.state = stateBegun
	c.failure = nil
	if c.kind == kindModel {
		c.input = s.putBody(op.GetBody())
	}
	s.openLastCall(p, c, op, reserved)
}

// recordCall appends the call to its program and opens it.
func (s *State) recordCall(p *program, op *shardpb.Begin, admitted admission) {
	c := call{
		id:         op.GetKey().GetCall(),
		state:      stateBegun,
		kind:       callKind(op.GetKind()), // checked by checkKind
		repeatable: admitted.repeatable,
	}
	copy(c.fingerprint[:], op.GetFingerprint())
	if c.kind == kindModel {
		c.input = s.putBody(op.GetBody())
	}
	p.appendCall(c)
	s.openLastCall(p, p.lastCall(), op, admitted.reserved)
	s.countTurn(p)
}

// openLastCall opens c, which must be the last call of p, and records its
// reservation. If the Begin's target is accepted, the call's next attempt is
// recorded as dispatched to it.
func (s *State) openLastCall(p *program, c *call, op *shardpb.Begin, reserved uint64) {
	p.open = &openCall{
		reserved:          reserved,
		period:            p.customer.budget.period,
		newInputTokensMax: op.GetNewInputTokensMax(),
		maxOutputTokens:   op.GetMaxOutputTokens(),
		deadlineMs:        op.GetDeadlineMs(),
		begunMs:           s.nowMs,
		inputDigest:       sha256.Sum256(op.GetBody()),
	}
	if acceptsTarget(p, c.kind, op.GetTarget()) {
		c.state = stateDispatched
		c.attempt++
		p.open.target = op.GetTarget()
	}
	p.customer.openCalls++
	s.recordActivity(p)
}

// acceptsTarget reports whether a Begin also dispatches an attempt to the target
// that it names. For a model call of a program with a history the target must be the
// server of the program's last call. Otherwise the sender must choose a target
// again, now that the result tells it that server.
func acceptsTarget(p *program, kind callKind, target *shardpb.Target) bool {
	if target == nil {
		return false
	}
	return kind != kindModel || p.historyTokens == 0 || p.lastTarget.GetServer() == target.GetServer()
}

// countTurn adds a turn to the program and to all its ancestors.
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
		result.Answer = s.loadAnswer(c)
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
