package shard

import (
	"slices"

	"ibistray.example/ibistray/proto/shardpb"
)

// maxProgramDepth is the longest chain of programs and their sub-agents.
const maxProgramDepth = 16

// admission is what the checks of a new call found out.
type admission struct {
	repeatable bool
	reserve    uint64 // tokens, already reserved
}

// admit checks a new call against the contract and its program, which is nil
// before the first call, and reserves its budget as the last step.
func (s *State) admit(c *customer, p *program, op *shardpb.Begin) (admission, *shardpb.Refusal) {
	repeatable, refusal := allowed(c.contract, op)
	if refusal != nil {
		return admission{}, refusal
	}
	refusal = first(
		s.checkTime(c, op),
		s.checkQuarantine(c, p, op),
		s.checkProgram(c, p, op),
		checkOrder(p, op.GetSequence()),
		s.checkTurns(c, p, op),
		checkProgramTokens(c, p, op),
		checkConcurrency(c),
	)
	if refusal != nil {
		return admission{}, refusal
	}
	reserve := worstCase(p, op)
	if refusal := c.budget.reserve(c.contract.GetBudget(), reserve, s.nowMs); refusal != nil {
		return admission{}, refusal
	}
	return admission{repeatable: repeatable, reserve: reserve}, nil
}

// readmit checks a call that was proven not run and is begun again, and reserves
// its budget as the last step. Its place in the program and its turn are counted
// already.
func (s *State) readmit(p *program, op *shardpb.Begin) (uint64, *shardpb.Refusal) {
	c := p.customer
	if _, refusal := allowed(c.contract, op); refusal != nil {
		return 0, refusal
	}
	refusal := first(
		s.checkTime(c, op),
		s.checkQuarantine(c, p, op),
		s.checkProgram(c, p, op),
		checkProgramTokens(c, p, op),
		checkConcurrency(c),
	)
	if refusal != nil {
		return 0, refusal
	}
	reserve := worstCase(p, op)
	return reserve, c.budget.reserve(c.contract.GetBudget(), reserve, s.nowMs)
}

// allowed checks the model or operation and returns whether it is repeatable.
func allowed(terms *shardpb.Contract, op *shardpb.Begin) (bool, *shardpb.Refusal) {
	if op.GetKind() == shardpb.CallKind_CALL_KIND_MODEL {
		if slices.Contains(terms.GetModels(), op.GetModel()) {
			return true, nil
		}
		return false, refuse(shardpb.Reason_REASON_MODEL_NOT_ALLOWED, "the contract does not list model %q", op.GetModel())
	}
	for _, service := range terms.GetServices() {
		if service.GetName() != op.GetService() {
			continue
		}
		for _, operation := range service.GetOperations() {
			if operation.GetName() == op.GetOperation() {
				return operation.GetRepeatable(), nil
			}
		}
	}
	return false, refuse(shardpb.Reason_REASON_OPERATION_NOT_ALLOWED,
		"the contract does not list operation %q of service %q", op.GetOperation(), op.GetService())
}

func (s *State) checkTime(c *customer, op *shardpb.Begin) *shardpb.Refusal {
	if c.contract.GetSuspended() {
		return refuse(shardpb.Reason_REASON_SUSPENDED, "the contract is suspended")
	}
	if op.GetDeadlineMs() != 0 && op.GetDeadlineMs() <= s.nowMs {
		return refuse(shardpb.Reason_REASON_DEADLINE_EXCEEDED, "the deadline has passed")
	}
	return nil
}

// checkProgram checks the program's life and its parent.
func (s *State) checkProgram(c *customer, p *program, op *shardpb.Begin) *shardpb.Refusal {
	if p == nil {
		return s.checkNewParent(c, op)
	}
	if p.ended() {
		return refuse(shardpb.Reason_REASON_PROGRAM_ENDED, "the program has ended")
	}
	if op.GetParentProgram() != p.parent {
		return refuse(shardpb.Reason_REASON_UNKNOWN_PROGRAM, "parent_program differs from the one of the program's first call")
	}
	if p.parent != "" && s.parentOf(p) == nil {
		return refuse(shardpb.Reason_REASON_PROGRAM_ENDED, "the parent program has ended")
	}
	return nil
}

func (s *State) checkNewParent(c *customer, op *shardpb.Begin) *shardpb.Refusal {
	if op.GetParentProgram() == "" {
		return nil
	}
	parent := c.programs[op.GetParentProgram()]
	if parent == nil {
		return refuse(shardpb.Reason_REASON_UNKNOWN_PROGRAM, "parent program %q is unknown", op.GetParentProgram())
	}
	if parent.ended() {
		return refuse(shardpb.Reason_REASON_PROGRAM_ENDED, "the parent program has ended")
	}
	if s.depth(parent) >= maxProgramDepth {
		return refuse(shardpb.Reason_REASON_TURN_LIMIT, "sub-agents are nested deeper than %d", maxProgramDepth)
	}
	return nil
}

// checkOrder lets the next call of the program through when none is open.
func checkOrder(p *program, sequence uint64) *shardpb.Refusal {
	var calls uint64
	if p != nil {
		calls = uint64(len(p.calls))
	}
	if sequence != 0 && sequence <= calls {
		return refuse(shardpb.Reason_REASON_SEQUENCE_REUSED, "sequence %d belongs to another call", sequence)
	}
	if sequence > calls+1 {
		return refuse(shardpb.Reason_REASON_SEQUENCE_GAP, "sequence %d has not been seen", calls+1)
	}
	if p != nil && p.open != nil {
		return refuse(shardpb.Reason_REASON_PROGRAM_BUSY, "call %q is not finished", p.openRecord().id)
	}
	return nil
}

// checkTurns checks the turn limit of the program and of each one above it.
func (s *State) checkTurns(c *customer, p *program, op *shardpb.Begin) *shardpb.Refusal {
	limit := uint64(c.contract.GetMaxTurns())
	if p == nil {
		p = c.programs[op.GetParentProgram()]
	}
	for p != nil {
		if p.countedTurns >= limit {
			return refuse(shardpb.Reason_REASON_TURN_LIMIT, "program %q has made %d calls of %d", p.name, p.countedTurns, limit)
		}
		p = s.parentOf(p)
	}
	if limit == 0 {
		return refuse(shardpb.Reason_REASON_TURN_LIMIT, "the contract allows no call")
	}
	return nil
}

func checkProgramTokens(c *customer, p *program, op *shardpb.Begin) *shardpb.Refusal {
	if op.GetKind() != shardpb.CallKind_CALL_KIND_MODEL {
		return nil
	}
	need := worstCase(p, op)
	if need > c.contract.GetMaxProgramTokens() {
		return refuse(shardpb.Reason_REASON_PROGRAM_TOKEN_LIMIT,
			"the program's history may reach %d tokens of %d", need, c.contract.GetMaxProgramTokens())
	}
	return nil
}

func checkConcurrency(c *customer) *shardpb.Refusal {
	if c.openCalls >= c.contract.GetMaxConcurrentCalls() {
		return refuse(shardpb.Reason_REASON_CONCURRENCY_LIMIT, "%d calls are open", c.openCalls)
	}
	return nil
}

// worstCase returns the most tokens that the call can use; 0 for services.
func worstCase(p *program, op *shardpb.Begin) uint64 {
	if op.GetKind() != shardpb.CallKind_CALL_KIND_MODEL {
		return 0
	}
	tokens := op.GetNewInputTokensMax() + op.GetMaxOutputTokens()
	if p != nil {
		tokens += p.historyTokens
	}
	return tokens
}
