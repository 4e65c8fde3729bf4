package shard

import (
	"ibistray.example/ibistray/proto/shardpb"
)

// Time limits that do not depend on a contract, in milliseconds.
const (
	// EndedRetentionMs is how long an ended program keeps its call records to
	// answer resends.
	EndedRetentionMs = 60 * 60 * 1000
	// OpenCallGraceMs is the time from an open call's deadline until Expire
	// records the call as failed.
	OpenCallGraceMs = 5 * 60 * 1000
	// MaxOpenCallMs is the longest deadline of a call, counted from its Begin. It
	// applies to calls without a deadline or with a later one.
	MaxOpenCallMs = 24 * 60 * 60 * 1000
)

// expire rolls over all budget periods that have ended and applies the time
// limits that are due, in the order of their due times and at most max_programs
// of them. The result says whether more are due.
func (s *State) expire(op *shardpb.Expire) *shardpb.Result {
	for _, c := range s.customers {
		c.budget.rollOver(c.contract.GetBudget(), s.nowMs)
	}
	result := new(shardpb.ExpireResult)
	for range expireLimit(op) {
		p := s.due.peek()
		if p == nil || p.dueMs > s.nowMs {
			break
		}
		s.expireProgram(p, result)
	}
	p := s.due.peek()
	result.More = p != nil && p.dueMs <= s.nowMs
	return &shardpb.Result{Outcome: &shardpb.Result_Expire{Expire: result}}
}

// expireLimit returns how many time limits one Expire applies at most.
func expireLimit(op *shardpb.Expire) uint32 {
	if op.GetMaxPrograms() == 0 || op.GetMaxPrograms() > maxExpirePrograms {
		return maxExpirePrograms
	}
	return op.GetMaxPrograms()
}

// expireProgram applies one due time limit of a program: it releases an expired
// hold, fails an overdue call, removes an ended program or ends an idle one.
func (s *State) expireProgram(p *program, result *shardpb.ExpireResult) {
	switch {
	case p.hold != nil && p.hold.untilMs <= s.nowMs:
		s.releaseHold(p)
		s.reschedule(p)
	case p.open != nil:
		s.failOverdue(p)
	case p.ended():
		s.remove(p)
	default:
		s.end(p)
		result.Ended = append(result.Ended, &shardpb.EndedProgram{
			Customer:   p.customer.contract.GetCustomer(),
			Program:    p.name,
			LastTarget: p.lastTarget,
		})
	}
}

// failOverdue fails an open call whose deadline and grace time have passed. The
// failure says that the call was not run only if no attempt was dispatched since
// the call was begun or begun again.
func (s *State) failOverdue(p *program) {
	failure := &shardpb.Failure{
		Reason: "deadline_exceeded",
		Detail: "no outcome was recorded before the deadline",
	}
	s.recordFailure(p, p.openRecord(), failure, nil)
}

// dueTime returns when the program's next time limit is due.
func (p *program) dueTime() int64 {
	due := p.lifecycleDueTime()
	if p.hold != nil {
		due = min(due, p.hold.untilMs)
	}
	return due
}

// lifecycleDueTime returns when the program's open call is overdue, its records
// are to be removed or it has been idle for too long, whichever applies.
func (p *program) lifecycleDueTime() int64 {
	switch {
	case p.open != nil:
		return p.open.overdueTime()
	case p.ended():
		return p.endedMs + EndedRetentionMs
	default:
		return p.lastActivityMs + p.customer.contract.GetProgramIdleMs()
	}
}

// overdueTime returns when the open call is failed if it has no outcome by then.
func (o *openCall) overdueTime() int64 {
	deadline := o.begunMs + MaxOpenCallMs
	if o.deadlineMs != 0 {
		deadline = min(deadline, o.deadlineMs)
	}
	return deadline + OpenCallGraceMs
}
