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
	c.budget.roll(c.contract.GetBudget(), s.nowMs)
	if known := p.find(key.GetCall()); known != nil {
		return s.resentBegin(index, p, known, op)
	}
	plan, refusal := s.admit(c, p, op)
	if refusal != nil {
		return &shardpb.Result{Refusal: refusal}
	}
	if p == nil {
		p = s.createProgram(c, index, op)
	}
	s.record(p, op, plan)
	return s.begun(index, p, p.openRecord())
}

// resentBegin answers a Begin whose call ID is recorded. A call that was proven
// not run is begun again, so that its caller can come back after a refusal.
func (s *State) resentBegin(index uint64, p *program, known *call, op *shardpb.Begin) *shardpb.Result {
	if string(known.fingerprint[:]) != string(op.GetFingerprint()) {
		return refused(shardpb.Reason_REASON_CALL_ID_REUSED, "call ID %q was used for another request", known.id)
	}
	if !reopenable(p, known) {
		return beginOutcome(s.beginResult(p, known, false))
	}
	reserve, refusal := s.readmit(p, op)
	if refusal != nil {
		return &shardpb.Result{Refusal: refusal}
	}
	s.reopen(p, known, op, reserve)
	return s.begun(index, p, known)
}

// begun returns the result of a command that made a call the open one. The log
// index grows with each command, so it is the fencing number of the attempt.
func (s *State) begun(index uint64, p *program, c *call) *shardpb.Result {
	result := s.beginResult(p, c, true)
	if c.state == stateDispatched {
		result.Fence = index
	}
	return beginOutcome(result)
}

// reopenable reports whether a call may be begun again: it was proven not run,
// and the program has made no call since.
func reopenable(p *program, c *call) bool {
	return c == p.lastCall() && c.state == stateFailed && c.failure.GetNotRun() && !p.ended()
}

// reopen makes the last call of the program the open one again. Its attempts
// keep their numbers: each of them is fenced.
func (s *State) reopen(p *program, c *call, op *shardpb.Begin, reserve uint64) {
	c.state = stateBegun
	c.failure = nil
	if c.kind == kindModel {
		c.input = s.putBody(op.GetBody())
	}
	s.open(p, c, op, reserve)
}

// record adds the call to its program as the open one.
func (s *State) record(p *program, op *shardpb.Begin, plan admission) {
	c := call{
		id:         op.GetKey().GetCall(),
		state:      stateBegun,
		kind:       callKind(op.GetKind()), // checked by checkKind
		repeatable: plan.repeatable,
	}
	copy(c.fingerprint[:], op.GetFingerprint())
	if c.kind == kindModel {
		c.input = s.putBody(op.GetBody())
	}
	p.appendCall(c)
	s.open(p, p.lastCall(), op, plan.reserve)
	s.countTurn(p)
}

// open makes a call, which is the program's last one, its open one.
func (s *State) open(p *program, c *call, op *shardpb.Begin, reserve uint64) {
	p.open = &openCall{
		reserved:          reserve,
		period:            p.customer.budget.period,
		newInputTokensMax: op.GetNewInputTokensMax(),
		maxOutputTokens:   op.GetMaxOutputTokens(),
		deadlineMs:        op.GetDeadlineMs(),
		begunMs:           s.nowMs,
		inputDigest:       sha256.Sum256(op.GetBody()),
	}
	if takesTarget(p, c.kind, op.GetTarget()) {
		c.state = stateDispatched
		c.attempt++
		p.open.target = op.GetTarget()
	}
	p.customer.openCalls++
	s.touch(p)
}

// takesTarget reports whether a Begin's target is recorded as the first attempt. A
// model call of a program with a history takes it only at the server of the
// program's last call; elsewhere the sender is to choose again, knowing that
// server.
func takesTarget(p *program, kind callKind, target *shardpb.Target) bool {
	if target == nil {
		return false
	}
	return kind != kindModel || p.historyTokens == 0 || p.lastTarget.GetServer() == target.GetServer()
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
