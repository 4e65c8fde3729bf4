package shard

import (
	"slices"

	"ibistray.example/ibistray/proto/shardpb"
)

// maxProgramDepth limits how deep sub-agents can be nested, counting the topmost
// program.
const maxProgramDepth = 16

// admission holds what admit determined about a new call.
type admission struct {
	repeatable bool
	reserved   uint64 // tokens, already reserved
}

// admit checks a new call against the contract and the state of its program p,
// which is nil before the program's first call. The last step reserves the
// budget, so a refused call reserves nothing.
func (s *State) admit(c *customer, p *program, op *shardpb.Begin) (admission, *shardpb.Refusal) {
	repeatable, refusal := checkAllowed(c.contract, op)
	if refusal != nil {
		return admission{}, refusal
	}
	refusal = firstRefusal(
		s.checkSuspensionAndDeadline(c, op),
		s.checkQuarantine(c, p, op),
		s.checkProgramAndParent(c, p, op),
		checkSequence(p, op.GetSequence()),
		s.checkTurns(c, p, op),
		checkProgramTokens(c, p, op),
		checkConcurrency(c),
	)
	if refusal != nil {
		return admission{}, refusal
	}
	tokens := worstCaseTokens(p, op)
	if refusal := c.budget.reserve(c.contract.GetBudget(), tokens, s.nowMs); refusal != nil {
		return admission{}, refusal
	}
	return admission{repeatable: repeatable, reserved: tokens}, nil
}

// admitReopened checks a call that was proven not to have run and is begun again,
// and reserves its budget as the last step. It skips the sequence and turn checks
// because the first Begin has already counted the call.
func (s *State) admitReopened(p *program, op *shardpb.Begin) (uint64, *shardpb.Refusal) {
	c := p.customer
	if _, refusal := checkAllowed(c.contract, op); refusal != nil {
		return 0, refusal
	}
	refusal := firstRefusal(
		s.checkSuspensionAndDeadline(c, op),
		s.checkQuarantine(c, p, op),
		s.checkProgramAndParent(c, p, op),
		checkProgramTokens(c, p, op),
		checkConcurrency(c),
	)
	if refusal != nil {
		return 0, refusal
	}
	tokens := worstCaseTokens(p, op)
	return tokens, c.budget.reserve(c.contract.GetBudget(), tokens, s.nowMs)
}

// checkAllowed checks that the contract lists the call's model or operation, and
// returns whether the call is repeatable. Model calls always are.
func checkAllowed(contract *shardpb.Contract, op *shardpb.Begin) (bool, *shardpb.Refusal) {
	if op.GetKind() == shardpb.CallKind_CALL_KIND_MODEL {
		if slices.Contains(contract.GetModels(), op.GetModel()) {
			return true, nil
		}
		return false, newRefusal(shardpb.Reason_REASON_MODEL_NOT_ALLOWED, "the contract does not list model %q", op.GetModel())
	}
	for _, service := range contract.GetServices() {
		if service.GetName() != op.GetService() {
			continue
		}
		for _, operation := range service.GetOperations() {
			if operation.GetName() == op.GetOperation() {
				return operation.GetRepeatable(), nil
			}
		}
	}
	return false, newRefusal(shardpb.Reason_REASON_OPERATION_NOT_ALLOWED,
		"the contract does not list operation %q of service %q", op.GetOperation(), op.GetService())
}

// checkSuspensionAndDeadline refuses calls of a suspended contract and calls
// whose deadline has passed.
func (s *State) checkSuspensionAndDeadline(c *customer, op *shardpb.Begin) *shardpb.Refusal {
	if c.contract.GetSuspended() {
		return newRefusal(shardpb.Reason_REASON_SUSPENDED, "the contract is suspended")
	}
	if op.GetDeadlineMs() != 0 && op.GetDeadlineMs() <= s.nowMs {
		return newRefusal(shardpb.Reason_REASON_DEADLINE_EXCEEDED, "the deadline has passed")
	}
	return nil
}

// checkProgramAndParent checks that the program has not ended, that the call
// names the same parent as the program's first call, and that this parent has
// not ended either. For the first call it checks the parent alone.
func (s *State) checkProgramAndParent(c *customer, p *program, op *shardpb.Begin) *shardpb.Refusal {
	if p == nil {
		return s.checkNewParent(c, op)
	}
	if p.ended() {
		return newRefusal(shardpb.Reason_REASON_PROGRAM_ENDED, "the program has ended")
	}
	if op.GetParentProgram() != p.parent {
		return newRefusal(shardpb.Reason_REASON_UNKNOWN_PROGRAM, "parent_program differs from the one of the program's first call")
	}
	if p.parent != "" && s.parentOf(p) == nil {
		return newRefusal(shardpb.Reason_REASON_PROGRAM_ENDED, "the parent program has ended")
	}
	return nil
}

// checkNewParent checks the parent of a program that its first call creates.
func (s *State) checkNewParent(c *customer, op *shardpb.Begin) *shardpb.Refusal {
	if op.GetParentProgram() == "" {
		return nil
	}
	parent := c.programs[op.GetParentProgram()]
	if parent == nil {
		return newRefusal(shardpb.Reason_REASON_UNKNOWN_PROGRAM, "parent program %q is unknown", op.GetParentProgram())
	}
	if parent.ended() {
		return newRefusal(shardpb.Reason_REASON_PROGRAM_ENDED, "the parent program has ended")
	}
	if s.nestingDepth(parent) >= maxProgramDepth {
		return newRefusal(shardpb.Reason_REASON_TURN_LIMIT, "sub-agents are nested deeper than %d", maxProgramDepth)
	}
	return nil
}

// checkSequence refuses a call while another call of the program is open, and a
// sequence number that is in use or skips a call. Sequence 0 means the next one.
func checkSequence(p *program, sequence uint64) *shardpb.Refusal {
	var calls uint64
	if p != nil {
		calls = uint64(len(p.calls))
	}
	if sequence != 0 && sequence <= calls {
		return newRefusal(shardpb.Reason_REASON_SEQUENCE_REUSED, "sequence %d belongs to another call", sequence)
	}
	if sequence > calls+1 {
		return newRefusal(shardpb.Reason_REASON_SEQUENCE_GAP, "sequence %d has not been seen", calls+1)
	}
	if p != nil && p.open != nil {
		return newRefusal(shardpb.Reason_REASON_PROGRAM_BUSY, "call %q is not finished", p.openRecord().id)
	}
	return nil
}

// checkTurns checks the turn limit of the program and of all its ancestors.
func (s *State) checkTurns(c *customer, p *program, op *shardpb.Begin) *shardpb.Refusal {
	limit := uint64(c.contract.GetMaxTurns())
	if p == nil {
		p = c.programs[op.GetParentProgram()]
	}
	for p != nil {
		if p.countedTurns >= limit {
			return newRefusal(shardpb.Reason_REASON_TURN_LIMIT, "program %q has made %d calls of %d", p.name, p.countedTurns, limit)
		}
		p = s.parentOf(p)
	}
	if limit == 0 {
		return newRefusal(shardpb.Reason_REASON_TURN_LIMIT, "the contract allows no call")
	}
	return nil
}

// checkProgramTokens refuses a model call after which the program's history
// could exceed the contract's limit.
func checkProgramTokens(c *customer, p *program, op *shardpb.Begin) *shardpb.Refusal {
	if op.GetKind() != shardpb.CallKind_CALL_KIND_MODEL {
		return nil
	}
	need := worstCaseTokens(p, op)
	if need > c.contract.GetMaxProgramTokens() {
		return newRefusal(shardpb.Reason_REASON_PROGRAM_TOKEN_LIMIT,
			"the program's history may reach %d tokens of %d", need, c.contract.GetMaxProgramTokens())
	}
	return nil
}

func checkConcurrency(c *customer) *shardpb.Refusal {
	if c.openCalls >= c.contract.GetMaxConcurrentCalls() {
		return newRefusal(shardpb.Reason_REASON_CONCURRENCY_LIMIT, "%d calls are open", c.openCalls)
	}
	return nil
}

// worstCaseTokens returns the most tokens that the call can use: history, new
// input and output of a model call, 0 for a service call.
func worstCaseTokens(p *program, op *shardpb.Begin) uint64 {
	if op.GetKind() != shardpb.CallKind_CALL_KIND_MODEL {
		return 0
	}
	tokens := op.GetNewInputTokensMax() + op.GetMaxOutputTokens()
	if p != nil {
		tokens += p.historyTokens
	}
	return tokens
}
