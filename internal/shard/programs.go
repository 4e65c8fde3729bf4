package shard

import (
	"ibistray.example/ibistray/proto/shardpb"
)

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

// parentOf returns the live parent of a sub-agent's program, or nil.
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

// depth returns the number of programs from p up to the topmost one.
func (s *State) depth(p *program) int {
	n := 0
	for p != nil {
		n++
		p = s.parentOf(p)
	}
	return n
}

// touch notes activity of the program: the idle time of it and of the programs
// above it starts again, and those who watch it are notified.
func (s *State) touch(p *program) {
	s.notify(p.id())
	for p != nil {
		p.lastActivityMs = s.nowMs
		s.reschedule(p)
		p = s.parentOf(p)
	}
}

// lookup returns the program and record of a call.
func (s *State) lookup(key *shardpb.CallKey) (*program, *call, *shardpb.Refusal) {
	p, refusal := s.lookupProgram(key.GetCustomer(), key.GetProgram())
	if refusal != nil {
		return nil, nil, refusal
	}
	c := p.find(key.GetCall())
	if c == nil {
		return nil, nil, refuse(shardpb.Reason_REASON_UNKNOWN_CALL, "call %q is unknown", key.GetCall())
	}
	return p, c, nil
}

func (s *State) lookupProgram(customer, name string) (*program, *shardpb.Refusal) {
	c := s.customers[customer]
	if c == nil {
		return nil, refuse(shardpb.Reason_REASON_UNKNOWN_CUSTOMER, "customer %q has no contract", customer)
	}
	p := c.programs[name]
	if p == nil {
		return nil, refuse(shardpb.Reason_REASON_UNKNOWN_PROGRAM, "program %q is unknown", name)
	}
	return p, nil
}

// checkEpoch refuses commands that were made for an earlier program of the
// same name.
func checkEpoch(p *program, epoch uint64) *shardpb.Refusal {
	if epoch != p.epoch {
		return refuse(shardpb.Reason_REASON_STALE_ATTEMPT, "epoch %d, the program's is %d", epoch, p.epoch)
	}
	return nil
}

// endProgram ends a program on the caller's wish. A call that is open may
// still finish.
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
	s.touch(p)
}

// remove forgets a program with its call records and bodies.
func (s *State) remove(p *program) {
	for i := range p.calls {
		s.dropBody(p.calls[i].input)
		s.dropBody(p.calls[i].answer)
	}
	s.unschedule(p)
	delete(p.customer.programs, p.name)
	s.notify(p.id())
}
