package shard

import (
	"ibistray.example/ibistray/proto/shardpb"
)

// dispatch records that an attempt is about to be sent. It is not idempotent, so
// that only the sender that receives the result sends the attempt. A sender that
// lost the result sends Begin again and attaches to the recorded attempt; this
// fences the attempt if it has not started.
func (s *State) dispatch(index uint64, op *shardpb.Dispatch) *shardpb.Result {
	p, c, refusal := s.lookupCall(op.GetKey())
	if refusal != nil {
		return &shardpb.Result{Refusal: refusal}
	}
	if refusal := checkEpoch(p, op.GetEpoch()); refusal != nil {
		return &shardpb.Result{Refusal: refusal}
	}
	if c.final() {
		return refusalResult(shardpb.Reason_REASON_CALL_FINAL, "the call has a final outcome")
	}
	if refusal := s.checkNextAttempt(p, c, op); refusal != nil {
		return &shardpb.Result{Refusal: refusal}
	}
	s.startAttempt(p, c, op)
	return dispatchOutcome(index, c)
}

// checkNextAttempt refuses any attempt number but the next one. A non-repeatable
// call also needs proof that its newest attempt is fenced, that is, has not
// started and never will. A call that was begun again needs no further proof:
// its earlier attempts are recorded as not run.
func (s *State) checkNextAttempt(p *program, c *call, op *shardpb.Dispatch) *shardpb.Refusal {
	if op.GetAttempt() != uint64(c.attempt)+1 {
		return newRefusal(shardpb.Reason_REASON_STALE_ATTEMPT, "attempt %d, the newest is %d", op.GetAttempt(), c.attempt)
	}
	if !c.repeatable && newestAttemptMayRun(c, op) {
		return newRefusal(shardpb.Reason_REASON_NOT_FENCED, "attempt %d of a non-repeatable call is not fenced", c.attempt)
	}
	if p.open.deadlineMs != 0 && p.open.deadlineMs <= s.nowMs {
		return newRefusal(shardpb.Reason_REASON_DEADLINE_EXCEEDED, "the deadline has passed")
	}
	return nil
}

// newestAttemptMayRun reports whether the newest attempt may have started or may
// still start.
func newestAttemptMayRun(c *call, op *shardpb.Dispatch) bool {
	return c.state == stateDispatched && op.GetFencedAttempt() != uint64(c.attempt)
}

// startAttempt records the next attempt as dispatched to the target.
func (s *State) startAttempt(p *program, c *call, op *shardpb.Dispatch) {
	if newestAttemptMayRun(c, op) {
		p.open.mayHaveRun = true
	}
	c.attempt++
	c.state = stateDispatched
	p.open.target = op.GetTarget()
	s.recordActivity(p)
}

func dispatchOutcome(index uint64, c *call) *shardpb.Result {
	result := &shardpb.DispatchResult{Attempt: uint64(c.attempt), Fence: index}
	return &shardpb.Result{Outcome: &shardpb.Result_Dispatch{Dispatch: result}}
}
