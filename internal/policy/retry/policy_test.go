package retry

import (
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestClassify(t *testing.T) {
	tests := []struct {
		failure Failure
		class   Class
		reason  Reason
	}{
		{Failure{Kind: KindStatus, Status: 529}, ClassTransient, ReasonOverloaded},
		{Failure{Kind: KindStatus, Status: 429}, ClassTransient, ReasonRateLimited},
		{Failure{Kind: KindStatus, Status: 503}, ClassTransient, ReasonUnavailable},
		{Failure{Kind: KindStatus, Status: 408}, ClassTransient, ReasonTimeout},
		{Failure{Kind: KindStatus, Status: 402}, ClassQuota, ReasonQuota},
		{Failure{Kind: KindStatus, Status: 400}, ClassPermanent, ReasonRejected},
		{Failure{Kind: KindStatus, Status: 401}, ClassPermanent, ReasonRejected},
		{Failure{Kind: KindStatus, Status: 404}, ClassPermanent, ReasonRejected},
		{Failure{Kind: KindStatus, Status: 409}, ClassPermanent, ReasonFenced},
		{Failure{Kind: KindStatus, Status: 500}, ClassUnknown, ReasonServerError},
		{Failure{Kind: KindStatus, Status: 200}, ClassUnknown, ReasonUnknown},
		{Failure{Kind: KindQuota}, ClassQuota, ReasonQuota},
		{Failure{Kind: KindShed}, ClassRefused, ReasonShed},
		{Failure{Kind: KindRefused}, ClassRefused, ReasonRefused},
		{Failure{Kind: KindCancelled}, ClassPermanent, ReasonCancelled},
		{Failure{Kind: KindServerDied}, ClassTransient, ReasonServerDied},
		{Failure{}, ClassUnknown, ReasonUnknown},
	}
	for _, test := range tests {
		v := Classify(test.failure)
		assert.Equal(t, v.Class, test.class, "%+v", test.failure)
		assert.Equal(t, v.Reason, test.reason, "%+v", test.failure)
	}
}

func TestNext(t *testing.T) {
	policy := Policy{MaxRetries: 3, MaxUnknownRetries: 1, BaseDelay: time.Second, MaxDelay: 4 * time.Second, MaxElapsed: 10 * time.Second}
	overloaded := Failure{Kind: KindStatus, Status: 529, Err: errors.New("529 overloaded")}
	tests := []struct {
		name    string
		call    Call
		failure Failure
		now     time.Duration
		want    StopReason
	}{
		{"transient", Call{Repeatable: true}, overloaded, 0, StopNone},
		{"permanent", Call{Repeatable: true}, Failure{Kind: KindFenced}, 0, StopPermanent},
		{"quota", Call{Repeatable: true}, Failure{Kind: KindQuota, RetryAfter: 1}, 0, StopQuota},
		{"refused", Call{Repeatable: true}, Failure{Kind: KindRefused, NotRun: true, RetryAfter: 1}, 0, StopRefused},
		{"aborted", Call{Repeatable: true, Aborted: true}, overloaded, 0, StopAborted},
		{"output released", Call{Repeatable: true, OutputReleased: true}, overloaded, 0, StopOutputReleased},
		{"stream resumes", Call{Repeatable: true, OutputReleased: true, CanResume: true}, overloaded, 0, StopNone},
		{"not repeatable", Call{}, overloaded, 0, StopNotRepeatable},
		{"not run", Call{}, Failure{Kind: KindLeaving, NotRun: true}, 0, StopNone},
		{"last retry", Call{Repeatable: true, Retries: 2}, overloaded, 0, StopNone},
		{"retries used up", Call{Repeatable: true, Retries: 3}, overloaded, 0, StopRetries},
		{"unknown", Call{Repeatable: true}, Failure{Kind: KindStatus, Status: 500}, 0, StopNone},
		{"unknown again", Call{Repeatable: true, Retries: 1, UnknownRetries: 1}, Failure{}, 0, StopRetries},
		{"elapsed", Call{Repeatable: true, Started: 1}, overloaded, 11 * time.Second, StopElapsed},
		{"hint exceeds the elapsed time limit", Call{Repeatable: true}, Failure{Kind: KindStatus, Status: 429, RetryAfter: time.Minute}, 0, StopElapsed},
		{"deadline", Call{Repeatable: true, Deadline: 5}, overloaded, 5, StopDeadline},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := policy.Next(test.call, test.failure, nil, 1<<62, test.now)
			assert.Equal(t, d.Stop, test.want)
			assert.Equal(t, d.Retry, test.want == StopNone)
			assert.Assert(t, d.Err == test.failure.Err) //nolint:errorlint // Err must be the same error, not a wrapper of it
		})
	}
}

func TestFirstRetryOnAnotherServerIsNotDelayed(t *testing.T) {
	policy := DefaultPolicy()
	d := policy.Next(Call{Repeatable: true}, Failure{Kind: KindServerDied}, nil, 1<<63, 0)
	assert.Assert(t, d.Retry && d.ExcludeServer)
	assert.Equal(t, d.Delay, time.Duration(0))
	d = policy.Next(Call{Repeatable: true, Retries: 1}, Failure{Kind: KindServerDied}, nil, 1<<63, 0)
	assert.Equal(t, d.Delay, policy.BaseDelay)
}

func TestAbortKeepsOriginalError(t *testing.T) {
	failure := Failure{Kind: KindStatus, Status: 529, Err: errors.New("529 overloaded")}
	d := Abort(DefaultPolicy().Next(Call{Repeatable: true}, failure, nil, 0, 0))
	assert.Assert(t, !d.Retry)
	assert.Equal(t, d.Stop, StopAborted)
	assert.ErrorIs(t, d.Err, failure.Err)
}

// TestAttemptsAreBounded checks for any randomness that each delay is at least the
// server's hint and exceeds it by no more than MaxDelay, that no attempt starts after
// MaxElapsed, and that there are no more than MaxRetries retries.
func TestAttemptsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := DefaultPolicy()
		policy.MaxElapsed = time.Duration(rapid.Int64Range(1, int64(5*time.Minute)).Draw(t, "cap"))
		hint := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "hint"))
		call := Call{Repeatable: true}
		now := time.Duration(0)
		for {
			failure := Failure{Kind: KindStatus, Status: 529, RetryAfter: hint}
			d := policy.Next(call, failure, nil, rapid.Uint64().Draw(t, "rnd"), now)
			if !d.Retry {
				break
			}
			assert.Assert(t, d.Delay >= hint && d.Delay <= hint+policy.MaxDelay)
			now += d.Delay
			call.Retries++
			assert.Assert(t, now <= policy.MaxElapsed)
		}
		assert.Assert(t, call.Retries <= policy.MaxRetries)
	})
}

func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		burst := rapid.IntRange(0, 20).Draw(t, "burst")
		b := NewBudget(share, burst)
		calls, retries := 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "call") {
				b.RecordFirstAttempt()
				calls++
			} else if b.TrySpend() {
				retries++
			}
			assert.Assert(t, float64(retries) <= float64(burst)+share*float64(calls))
		}
	})
}

func TestBudgetUnderContention(t *testing.T) {
	const workers, tries, burst = 8, 1000, 50
	b := NewBudget(0.1, burst)
	var spent atomic.Int64
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for range tries {
				b.RecordFirstAttempt()
				if b.TrySpend() {
					spent.Add(1)
				}
			}
		})
	}
	wg.Wait()
	assert.Assert(t, spent.Load() <= burst+workers*tries/10)
	assert.Assert(t, spent.Load() >= workers*tries/10)
}

func TestBudgetChargesOnlyAttemptsThatMayHaveRun(t *testing.T) {
	b := NewBudget(0, 1)
	policy := DefaultPolicy()
	d := policy.Next(Call{Repeatable: true}, Failure{Kind: KindQuota}, b, 0, 0)
	assert.Equal(t, d.Stop, StopQuota)
	for range 3 {
		d = policy.Next(Call{Repeatable: true}, Failure{Kind: KindConnect, NotRun: true}, b, 0, 0)
		assert.Assert(t, d.Retry)
	}
	d = policy.Next(Call{Repeatable: true}, Failure{Kind: KindServerDied}, b, 0, 0)
	assert.Assert(t, d.Retry)
	d = policy.Next(Call{Repeatable: true}, Failure{Kind: KindServerDied}, b, 0, 0)
	assert.Equal(t, d.Stop, StopBudget)
}
