package shard

import (
	"ibistray.example/ibistray/proto/shardpb"
)

// Time limits that do not depend on a contract, in milliseconds.
const (
	// EndedRetentionMs is how long an ended program keeps its call records for
	// resends.
	EndedRetentionMs = 60 * 60 * 1000
	// OpenCallGraceMs is how long after its deadline an open call is failed.
	OpenCallGraceMs = 5 * 60 * 1000
	// MaxOpenCallMs is the deadline of a call that has none or a later one.
	MaxOpenCallMs = 24 * 60 * 60 * 1000
)

// expire starts the budget periods that have come and applies the time limits
// that are due, for at most max_programs programs, in the order of their due
// times.
func (s *State) expire(op *shardpb.Expire) *shardpb.Result {
	for _, c := range s.customers {
		c.budget.roll(c.contract.GetBudget(), s.nowMs)
	}
	result := new(shardpb.ExpireResult)
	for range expireWork(op) {
		p := s.due.first()
		if p == nil || p.dueMs > s.nowMs {
			break
		}
		s.expireProgram(p, result)
	}
	p := s.due.first()
	result.More = p != nil && p.dueMs <= s.nowMs
	return &shardpb.Result{Outcome: &shardpb.Result_Expire{Expire: result}}
}

func expireWork(op *shardpb.Expire) uint32 {
	if op.GetMaxPrograms() == 0 || op.GetMaxPrograms() > maxExpireWork {
		return maxExpireWork
	}
	return op.GetMaxPrograms()
}

// expireProgram applies one limit of the program that is due.
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

// failOverdue fails an open call whose deadline passed long ago. It is not run
// only if it was never dispatched.
func (s *State) failOverdue(p *program) {
	failure := &shardpb.Failure{
		Reason: "deadline_exceeded",
		Detail: "no outcome was recorded before the deadline",
	}
	s.recordFailure(p, p.openRecord(), failure, nil)
}

// dueTime returns when the program's next time limit is due.
func (p *program) dueTime() int64 {
	due := p.lifeDue()
	if p.hold != nil {
		due = min(due, p.hold.untilMs)
	}
	return due
}

func (p *program) lifeDue() int64 {
	switch {
	case p.open != nil:
		return p.open.overdueTime()
	case p.ended():
		return p.endedMs + EndedRetentionMs
	default:
		return p.lastActivityMs + p.customer.contract.GetProgramIdleMs()
	}
}

// overdueTime returns when the open call is failed for lack of an outcome.
func (o *openCall) overdueTime() int64 {
	deadline := o.begunMs + MaxOpenCallMs
	if o.deadlineMs != 0 {
		deadline = min(deadline, o.deadlineMs)
	}
	return deadline + OpenCallGraceMs
}
