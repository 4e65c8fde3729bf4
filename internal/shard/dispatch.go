package shard

import (
	"ibistray.example/ibistray/proto/shardpb"
)

// dispatch records that an attempt is about to be sent. It is not idempotent:
// whoever gets the result is the only one to send the attempt. A sender that
// lost the result begins the call again and attaches to the attempt, which fences
// it where it has not started.
func (s *State) dispatch(index uint64, op *shardpb.Dispatch) *shardpb.Result {
	p, c, refusal := s.lookup(op.GetKey())
	if refusal != nil {
		return &shardpb.Result{Refusal: refusal}
	}
	if refusal := checkEpoch(p, op.GetEpoch()); refusal != nil {
		return &shardpb.Result{Refusal: refusal}
	}
	if c.final() {
		return refused(shardpb.Reason_REASON_CALL_FINAL, "the call has a final outcome")
	}
	if refusal := s.checkAttempt(p, c, op); refusal != nil {
		return &shardpb.Result{Refusal: refusal}
	}
	s.startAttempt(p, c, op)
	return dispatchOutcome(index, c)
}

// checkAttempt lets exactly the next attempt through. A non-repeatable call
// needs the proof that its newest attempt has not started and never will; for a
// call that was begun again the proof is on record.
func (s *State) checkAttempt(p *program, c *call, op *shardpb.Dispatch) *shardpb.Refusal {
	if op.GetAttempt() != uint64(c.attempt)+1 {
		return refuse(shardpb.Reason_REASON_STALE_ATTEMPT, "attempt %d, the newest is %d", op.GetAttempt(), c.attempt)
	}
	if !c.repeatable && mayRun(c, op) {
		return refuse(shardpb.Reason_REASON_NOT_FENCED, "attempt %d of a non-repeatable call is not fenced", c.attempt)
	}
	if p.open.deadlineMs != 0 && p.open.deadlineMs <= s.nowMs {
		return refuse(shardpb.Reason_REASON_DEADLINE_EXCEEDED, "the deadline has passed")
	}
	return nil
}

// mayRun reports whether the newest attempt may have started or may yet start.
func mayRun(c *call, op *shardpb.Dispatch) bool {
	return c.state == stateDispatched && op.GetFencedAttempt() != uint64(c.attempt)
}

func (s *State) startAttempt(p *program, c *call, op *shardpb.Dispatch) {
	if mayRun(c, op) {
		p.open.mayHaveRun = true
	}
	c.attempt++
	c.state = stateDispatched
	p.open.target = op.GetTarget()
	s.touch(p)
}

func dispatchOutcome(index uint64, c *call) *shardpb.Result {
	result := &shardpb.DispatchResult{Attempt: uint64(c.attempt), Fence: index}
	return &shardpb.Result{Outcome: &shardpb.Result_Dispatch{Dispatch: result}}
}
