package retry

import "time"

// Policy limits the retries of one call.
type Policy struct {
	MaxRetries        int           // attempts after the first; 0 means none
	MaxUnknownRetries int           // of these, after failures of ClassUnknown
	BaseDelay         time.Duration // maximum of the first delay
	MaxDelay          time.Duration // maximum of each delay, not counting the server's hint
	MaxElapsed        time.Duration // from the first attempt to the start of the last; 0 means no limit
}

// DefaultPolicy returns the limits that entries use.
func DefaultPolicy() Policy {
	return Policy{
		MaxRetries:        10,
		MaxUnknownRetries: 1,
		BaseDelay:         time.Second,
		MaxDelay:          time.Minute,
		MaxElapsed:        10 * time.Minute,
	}
}

// Call describes the failed call. Times are on the clock of Policy.Next.
type Call struct {
	Started        time.Duration // start of the first attempt
	Deadline       time.Duration // of the caller; 0 means none
	Retries        int           // so far
	UnknownRetries int           // of these, after failures of ClassUnknown
	Repeatable     bool          // running the call more than once does no harm
	OutputReleased bool          // output has been sent to the caller
	CanResume      bool          // the stream can resume after the output that has been sent
	Aborted        bool          // the caller cancelled the call or disconnected
}

// StopReason says why a call is not retried. It can serve as the label of a counter.
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

// Decision says whether a call is retried after Delay or ends with Err.
type Decision struct {
	Retry         bool
	Delay         time.Duration
	ExcludeServer bool       // later attempts must exclude the server that failed
	Class         Class      // of the failure
	Reason        Reason     // of the failure
	Stop          StopReason // set when Retry is false
	// Err is Failure.Err, unchanged. If Retry is false, the caller gets this error.
	Err error
}

// Next decides whether a failed call is retried. The budget is shared by all calls; nil
// means no limit. It is charged only for a retry of an attempt that may have run:
// repeating one that did not run costs no server time, and the number of retries and
// their delays limit it. The delay is drawn from rnd.
func (p Policy) Next(c Call, f Failure, budget *Budget, rnd uint64, now time.Duration) Decision {
	classification := Classify(f)
	d := Decision{ExcludeServer: classification.ExcludeServer, Class: classification.Class, Reason: classification.Reason, Err: f.Err}
	d.Stop = p.checkCall(c, f, classification)
	if d.Stop != StopNone {
		return d
	}
	d.Delay = p.delay(c, f, classification, rnd)
	d.Stop = p.checkStart(c, now+d.Delay)
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

// Abort turns a decision into one not to retry. It is for a caller that cancels the
// call during the delay of that decision.
func Abort(last Decision) Decision {
	last.Retry = false
	last.Stop = StopAborted
	return last
}

// checkCall returns the reason why the call must not be retried at any time, or
// StopNone.
func (p Policy) checkCall(c Call, f Failure, classification Classification) StopReason {
	switch {
	case c.Aborted:
		return StopAborted
	case classification.Class == ClassPermanent:
		return StopPermanent
	case classification.Class == ClassQuota:
		return StopQuota
	case classification.Class == ClassRefused:
		return StopRefused
	case c.OutputReleased && !c.CanResume:
		return StopOutputReleased
	case !c.Repeatable && !f.NotRun:
		return StopNotRepeatable
	case c.Retries >= p.MaxRetries:
		return StopRetries
	case classification.Class == ClassUnknown && c.UnknownRetries >= p.MaxUnknownRetries:
		return StopRetries
	}
	return StopNone
}

// checkStart returns the reason why no attempt may start at the given time, or
// StopNone.
func (p Policy) checkStart(c Call, start time.Duration) StopReason {
	if c.Deadline != 0 && start >= c.Deadline {
		return StopDeadline
	}
	if p.MaxElapsed != 0 && start-c.Started > p.MaxElapsed {
		return StopElapsed
	}
	return StopNone
}

// delay returns the server's hint, if any, plus exponential backoff with full jitter:
// a uniformly distributed time below a limit that doubles with each retry. The first
// retry on another server is not delayed unless there is a hint.
func (p Policy) delay(c Call, f Failure, classification Classification, rnd uint64) time.Duration {
	if classification.ExcludeServer && c.Retries == 0 && f.RetryAfter == 0 {
		return 0
	}
	limit := p.MaxDelay
	if c.Retries < 32 {
		limit = min(p.BaseDelay<<c.Retries, p.MaxDelay)
	}
	jitter := float64(rnd>>11) / (1 << 53) * float64(limit)
	return max(f.RetryAfter, 0) + time.Duration(jitter)
}
