package shard

import (
	"ibistray.example/ibistray/proto/shardpb"
)

// createProgram adds the program of a Begin to its customer. The log index becomes
// the program's epoch.
func (s *State) createProgram(c *customer, index uint64, op *shardpb.Begin) *program {
	p := &program{
		customer:       c,
		name:           op.GetKey().GetProgram(),
		epoch:          index,
		startedMs:      s.nowMs,
		lastActivityMs: s.nowMs,
	}
	if parent := c.programs[op.GetParentProgram()]; parent != nil {
		p.parent = parent.name
		p.parentEpoch = parent.epoch
	}
	c.programs[p.name] = p
	s.schedule(p)
	return p
}

// parentOf returns the parent of a sub-agent's program, or nil if it has none or
// the parent has ended or was removed.
func (s *State) parentOf(p *program) *program {
	if p.parent == "" {
		return nil
	}
	parent := p.customer.programs[p.parent]
	if parent == nil || parent.epoch != p.parentEpoch || parent.ended() {
		return nil
	}
	return parent
}

// nestingDepth returns the number of programs from p up to the topmost one.
func (s *State) nestingDepth(p *program) int {
	n := 0
	for p != nil {
		n++
		p = s.parentOf(p)
	}
	return n
}

// recordActivity restarts the idle time of the program and of all its ancestors,
// and notifies the program's watchers.
func (s *State) recordActivity(p *program) {
	s.notify(p.id())
	for p != nil {
		p.lastActivityMs = s.nowMs
		s.reschedule(p)
		p = s.parentOf(p)
	}
}

// lookupCall returns the program and the record of a call.
func (s *State) lookupCall(key *shardpb.CallKey) (*program, *call, *shardpb.Refusal) {
	p, refusal := s.lookupProgram(key.GetCustomer(), key.GetProgram())
	if refusal != nil {
		return nil, nil, refusal
	}
	c := p.find(key.GetCall())
	if c == nil {
		return nil, nil, newRefusal(shardpb.Reason_REASON_UNKNOWN_CALL, "call %q is unknown", key.GetCall())
	}
	return p, c, nil
}

func (s *State) lookupProgram(customer, name string) (*program, *shardpb.Refusal) {
	c := s.customers[customer]
	if c == nil {
		return nil, newRefusal(shardpb.Reason_REASON_UNKNOWN_CUSTOMER, "customer %q has no contract", customer)
	}
	p := c.programs[name]
	if p == nil {
		return nil, newRefusal(shardpb.Reason_REASON_UNKNOWN_PROGRAM, "program %q is unknown", name)
	}
	return p, nil
}

// checkEpoch refuses commands for an earlier program of the same name, which has
// ended and was removed.
func checkEpoch(p *program, epoch uint64) *shardpb.Refusal {
	if epoch != p.epoch {
		return newRefusal(shardpb.Reason_REASON_STALE_ATTEMPT, "epoch %d, the program's is %d", epoch, p.epoch)
	}
	return nil
}

// endProgram ends a program at the caller's request. An open call may still
// finish.
func (s *State) endProgram(op *shardpb.EndProgram) *shardpb.Result {
	if _, refusal := s.authenticate(op.GetCustomer(), op.GetKeyHash()); refusal != nil {
		return &shardpb.Result{Refusal: refusal}
	}
	p, refusal := s.lookupProgram(op.GetCustomer(), op.GetProgram())
	if refusal != nil {
		return &shardpb.Result{Refusal: refusal}
	}
	isFirst := !p.ended()
	if isFirst {
		s.end(p)
	}
	result := &shardpb.EndProgramResult{First: isFirst, LastTarget: p.lastTarget}
	return &shardpb.Result{Outcome: &shardpb.Result_EndProgram{EndProgram: result}}
}

// end marks the program as ended and releases its hold.
func (s *State) end(p *program) {
	p.endedMs = max(s.nowMs, 1)
	s.releaseHold(p)
	s.recordActivity(p)
}

// remove deletes a program with its call records and bodies.
func (s *State) remove(p *program) {
	for i := range p.calls {
		s.dropBody(p.calls[i].input)
		s.dropBody(p.calls[i].answer)
	}
	s.unschedule(p)
	delete(p.customer.programs, p.name)
	s.notify(p.id())
}
