package shard

import (
	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/proto/shardpb"
)

// fail records the final failure of a call. A failed call is not added to the
// history. A Fail of a call that already has a final outcome returns that
// outcome.
func (s *State) fail(op *shardpb.Fail) *shardpb.Result {
	p, c, refusal := s.lookupCall(op.GetKey())
	if refusal != nil {
		return &shardpb.Result{Refusal: refusal}
	}
	if refusal := checkEpoch(p, op.GetEpoch()); refusal != nil {
		return &shardpb.Result{Refusal: refusal}
	}
	if c.final() {
		return failOutcome(c)
	}
	if op.GetAttempt() != uint64(c.attempt) {
		return refusalResult(shardpb.Reason_REASON_STALE_ATTEMPT, "attempt %d, the newest is %d", op.GetAttempt(), c.attempt)
	}
	s.recordFailure(p, c, op.GetFailure(), op.GetUsage())
	return failOutcome(c)
}

// recordFailure closes the open call as failed, or as unknown when it is not
// repeatable and may have run.
func (s *State) recordFailure(p *program, c *call, failure *shardpb.Failure, usage *shardpb.Usage) {
	c.failure = proto.CloneOf(failure)
	c.failure.NotRun = provenNotRun(p, c, failure)
	c.state = stateFailed
	if !c.repeatable && !c.failure.GetNotRun() {
		c.state = stateUnknown
	}
	s.recordQuarantine(p, c)
	s.dropBody(c.input)
	c.input = 0
	s.closeCall(p, c, failureCharge(c, p.open, usage))
}

// failureCharge returns the tokens to charge for a failed call. Without reported
// usage it charges nothing if the call was not run or the backend server
// responded with an error status, and the whole reservation otherwise, because
// the usage is unknown.
func failureCharge(c *call, open *openCall, usage *shardpb.Usage) uint64 {
	if usage != nil {
		return totalTokens(usage)
	}
	if c.failure.GetNotRun() || c.failure.GetStatus() != 0 {
		return 0
	}
	return open.reserved
}

// provenNotRun reports whether it is certain that no attempt of the call has run:
// the call was not dispatched since it was begun or begun again, or its newest
// attempt is proven not to have run and all earlier ones were fenced.
func provenNotRun(p *program, c *call, failure *shardpb.Failure) bool {
	if c.state == stateBegun {
		return true
	}
	return failure.GetNotRun() && !p.open.mayHaveRun
}

func failOutcome(c *call) *shardpb.Result {
	result := &shardpb.FailResult{State: shardpb.CallState(c.state), Failure: c.failure}
	return &shardpb.Result{Outcome: &shardpb.Result_Fail{Fail: result}}
}
