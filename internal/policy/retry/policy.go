package retry

import "time"

// Policy are the limits of retries of one call.
type Policy struct {
	MaxRetries        int           // attempts after the first; 0: none
	MaxUnknownRetries int           // of these, after failures of ClassUnknown
	BaseDelay         time.Duration // upper bound of the first delay
	MaxDelay          time.Duration // upper bound of each delay, without a server's hint
	MaxElapsed        time.Duration // no attempt starts later than this after the first; 0: no cap
}

// DefaultPolicy returns the limits in use.
func DefaultPolicy() Policy {
	return Policy{
		MaxRetries:        10,
		MaxUnknownRetries: 1,
		BaseDelay:         time.Second,
		MaxDelay:          time.Minute,
		MaxElapsed:        10 * time.Minute,
	}
}

// Call is what a decision needs to know of the failed call.
type Call struct {
	Started        time.Duration // of the first attempt
	Deadline       time.Duration // of the caller; 0: none
	Retries        int           // so far
	UnknownRetries int           // of these, after failures of ClassUnknown
	Repeatable     bool          // running it twice does no harm
	OutputReleased bool          // the caller has seen output
	CanResume      bool          // the stream resumes at the offset the caller has seen
	Aborted        bool          // the caller has gone
}

// StopReason says why there is no further attempt; it is a name for counters.
type StopReason string

// Reasons to stop.
const (
	StopNone           StopReason = ""
	StopPermanent      StopReason = "permanent"
	StopQuota          StopReason = "quota"
	StopRefused        StopReason = "refused"
	StopAborted        StopReason = "aborted"
	StopOutputReleased StopReason = "output_released"
	StopNotRepeatable  StopReason = "not_repeatable"
	StopRetries        StopReason = "retries_used_up"
	StopElapsed        StopReason = "elapsed_cap"
	StopDeadline       StopReason = "deadline"
	StopBudget         StopReason = "budget_empty"
)

// Decision is the answer to a failure: another attempt after Delay, or the end.
type Decision struct {
	Retry         bool
	Delay         time.Duration
	ExcludeServer bool       // exclude the server that failed
	Class         Class      // of the failure
	Reason        Reason     // of the failure
	Stop          StopReason // set when Retry is false
	// Err is the failure's own error, unchanged. It is the caller's answer
	// when Retry is false.
	Err error
}

// Next decides on a failed call. Budget is shared by all calls and may be nil
// for none. It is charged only if the decision is to retry an attempt that may
// have run: repeating one that did not run costs no server time, and the number
// of retries and their delays bound it. Rnd chooses the delay.
func (p Policy) Next(c Call, f Failure, budget *Budget, rnd uint64, now time.Duration) Decision {
	v := Classify(f)
	d := Decision{ExcludeServer: v.ExcludeServer, Class: v.Class, Reason: v.Reason, Err: f.Err}
	d.Stop = p.refuse(c, f, v)
	if d.Stop != StopNone {
		return d
	}
	d.Delay = p.delay(c, f, v, rnd)
	d.Stop = p.refuseStart(c, now+d.Delay)
	if d.Stop != StopNone {
		return d
	}
	if budget != nil && !f.NotRun && !budget.TrySpend() {
		d.Stop = StopBudget
		return d
	}
	d.Retry = true
	return d
}

// Abort is the decision for a caller that gave up during the delay of an
// earlier decision: no attempt is started.
func Abort(last Decision) Decision {
	last.Retry = false
	last.Stop = StopAborted
	return last
}

// refuse returns why the call must not be tried again at any time.
func (p Policy) refuse(c Call, f Failure, v Classification) StopReason {
	switch {
	case c.Aborted:
		return StopAborted
	case v.Class == ClassPermanent:
		return StopPermanent
	case v.Class == ClassQuota:
		return StopQuota
	case v.Class == ClassRefused:
		return StopRefused
	case c.OutputReleased && !c.CanResume:
		return StopOutputReleased
	case !c.Repeatable && !f.NotRun:
		return StopNotRepeatable
	case c.Retries >= p.MaxRetries:
		return StopRetries
	case v.Class == ClassUnknown && c.UnknownRetries >= p.MaxUnknownRetries:
		return StopRetries
	}
	return StopNone
}

// refuseStart returns why no attempt may start at the given time.
func (p Policy) refuseStart(c Call, start time.Duration) StopReason {
	if c.Deadline != 0 && start >= c.Deadline {
		return StopDeadline
	}
	if p.MaxElapsed != 0 && start-c.Started > p.MaxElapsed {
		return StopElapsed
	}
	return StopNone
}

// delay returns the server's hint, if any, plus full jitter: a uniform time
// below an exponentially growing bound.
func (p Policy) delay(c Call, f Failure, v Classification, rnd uint64) time.Duration {
	if v.ExcludeServer && c.Retries == 0 && f.RetryAfter == 0 {
		return 0
	}
	bound := p.MaxDelay
	if c.Retries < 32 {
		bound = min(p.BaseDelay<<c.Retries, p.MaxDelay)
	}
	jitter := float64(rnd>>11) / (1 << 53) * float64(bound)
	return max(f.RetryAfter, 0) + time.Duration(jitter)
}
