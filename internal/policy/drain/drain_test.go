package drain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// grace is the time from the start of a stop until all responses must be complete.
const grace = 7 * time.Second

// replay has a request of a route arrive every 20 ms through a stop. Each takes run. It returns
// how many were taken, how many of these were cut off at the end, and how many were refused
// though they would have ended in time.
func replay(r Request, run time.Duration) (taken, cut, needless int) {
	for at := time.Duration(0); at < grace+time.Second; at += 20 * time.Millisecond {
		left := grace - at
		ends := min(run, r.TimeLimit) <= left
		switch {
		case Admit(r, left) && !ends:
			taken, cut = taken+1, cut+1
		case Admit(r, left):
			taken++
		case ends && left > 0:
			needless++
		}
	}
	return taken, cut, needless
}

// TestUnsafeRequestsThatOutlastTheStopAreRefused replays a stop whose unsafe requests take from
// 0.3 to 7 s and have a time limit beyond its end.
func TestUnsafeRequestsThatOutlastTheStopAreRefused(t *testing.T) {
	for _, run := range []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second, 7 * time.Second} {
		known := Request{TimeLimit: 10 * time.Second, Runs: Runs{Count: minRuns, Longest: run}}
		taken, cut, needless := replay(known, run)
		assert.Equal(t, cut, 0, "%v", run)
		assert.Assert(t, time.Duration(needless)*20*time.Millisecond <= run/2+300*time.Millisecond, "%v: %d refused needlessly, %d taken", run, needless, taken)
	}
	taken, cut, _ := replay(Request{TimeLimit: 10 * time.Second}, time.Second)
	assert.Equal(t, taken+cut, 0, "without an estimate")
}

// TestQuickRequestsWithLongTimeLimitsAreServed replays a stop whose requests have a time limit of
// 6 s and take 0.2 s.
func TestQuickRequestsWithLongTimeLimitsAreServed(t *testing.T) {
	r := Request{TimeLimit: 6 * time.Second, Runs: Runs{Count: 20, Longest: 200 * time.Millisecond}}
	taken, cut, needless := replay(r, 150*time.Millisecond)
	assert.Assert(t, taken > 320 && cut == 0 && needless <= 18, "%d taken, %d cut, %d refused needlessly", taken, cut, needless)
}

// TestStreamsThatTakeLongerThanTheOthersAreNotBrokenOff replays a stop whose streams can be resumed
// and take a fifth longer than the longest one that is known.
func TestStreamsThatTakeLongerThanTheOthersAreNotBrokenOff(t *testing.T) {
	for _, longest := range []time.Duration{500 * time.Millisecond, time.Second, 3 * time.Second} {
		r := Request{Repeatable: true, Stream: true, TimeLimit: 10 * time.Second, Runs: Runs{Count: minRuns, Longest: longest}}
		taken, cut, _ := replay(r, longest*6/5)
		assert.Assert(t, taken > 0 && cut == 0, "%v: %d taken, %d cut", longest, taken, cut)
	}
}

func TestRepeatableRequestIsTakenUntilItsUsualRunDoesNotFit(t *testing.T) {
	r := Request{Repeatable: true, TimeLimit: 10 * time.Second, Runs: Runs{Count: minRuns, Longest: time.Second}}
	assert.Assert(t, Admit(r, time.Second))
	assert.Assert(t, !Admit(r, time.Second-1))
	r.Runs = Runs{Count: minRuns - 1, Longest: time.Second}
	assert.Assert(t, Admit(r, 5*time.Second))
	assert.Assert(t, !Admit(r, 5*time.Second-1))
}

func TestRequestThatEndsInAnyCaseIsTaken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 20_000).Draw(t, name)) * time.Millisecond
		}
		r := Request{
			Repeatable: rapid.Bool().Draw(t, "repeatable"),
			TimeLimit:  duration("limit"),
			Runs:       Runs{Count: rapid.IntRange(0, 2*minRuns).Draw(t, "runs"), Longest: duration("longest")},
		}
		left := duration("left")
		assert.Assert(t, !Admit(r, 0))
		assert.Assert(t, left == 0 || r.TimeLimit > left || Admit(r, left))
		assert.Assert(t, !Admit(r, left) || Admit(r, left+time.Second), "more time is never worse")
	})
}
