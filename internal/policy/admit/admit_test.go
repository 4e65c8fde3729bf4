package admit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestDecide(t *testing.T) {
	policy := Policy{
		Capacity: 10, MaxWait: 100 * time.Second, LowestPriorityShare: 0.1, NewProgramShare: 0.5, EnforceDeadlines: true,
		NewProgramMemory: 0.9, LowestPriorityMemory: 0.5,
		MinRetryAfter: time.Second, MaxRetryAfter: 30 * time.Second,
	}
	tests := []struct {
		name  string
		req   Request
		load  Load
		want  Reason
		retry time.Duration
	}{
		{"idle", Request{}, Load{}, ReasonNone, 0},
		{"full", Request{Priority: 9}, Load{Waiting: 10, ExpectedWait: 5 * time.Second}, ReasonQueueFull, 5 * time.Second},
		{"full without a wait", Request{Priority: 9}, Load{Waiting: 10}, ReasonQueueFull, time.Second},
		{"low priority", Request{Priority: 0}, Load{ExpectedWait: 12 * time.Second}, ReasonOverload, 2 * time.Second},
		{"high priority", Request{Priority: 9}, Load{ExpectedWait: 100 * time.Second}, ReasonNone, 0},
		{"new program", Request{Priority: 9, NewProgram: true}, Load{ExpectedWait: 90 * time.Second}, ReasonOverload, 30 * time.Second},
		{"priority above the range", Request{Priority: 50}, Load{ExpectedWait: 101 * time.Second}, ReasonOverload, time.Second},
		{"memory", Request{NewProgram: true, RunTime: 4 * time.Second}, Load{Running: 1, MemoryShare: 0.5}, ReasonMemory, 4 * time.Second},
		{"memory for high priority", Request{Priority: 9, NewProgram: true}, Load{Running: 1, MemoryShare: 0.89}, ReasonNone, 0},
		{"memory for a running program", Request{}, Load{Running: 1, MemoryShare: 1}, ReasonNone, 0},
		{"memory of an idle engine", Request{NewProgram: true}, Load{MemoryShare: 1}, ReasonNone, 0},
		{"deadline", Request{Deadline: 13 * time.Second, RunTime: 4 * time.Second}, Load{ExpectedWait: 7 * time.Second}, ReasonDeadline, time.Second},
		{"deadline can be met", Request{Deadline: 14 * time.Second, RunTime: 4 * time.Second}, Load{ExpectedWait: 7 * time.Second}, ReasonNone, 0},
		{"deadline passed", Request{Deadline: 1}, Load{}, ReasonDeadline, time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := policy.Decide(test.req, test.load, 3*time.Second)
			assert.Equal(t, d.Reason, test.want)
			assert.Equal(t, d.Admit, test.want == ReasonNone)
			assert.Equal(t, d.RetryAfter, test.retry)
		})
	}
}

func TestDecideStart(t *testing.T) {
	policy := Policy{EnforceDeadlines: true, Capacity: 1, MaxWait: 1, MinRetryAfter: time.Second, MaxRetryAfter: 30 * time.Second}
	const now = 3 * time.Second
	inTime := Request{Deadline: 7 * time.Second, RunTime: 4 * time.Second}
	assert.Equal(t, policy.DecideStart(inTime, now), Decision{Admit: true})
	late := inTime
	late.Deadline--
	assert.Equal(t, policy.DecideStart(late, now), Decision{Reason: ReasonDeadline, RetryAfter: time.Second})
	passed := Request{Deadline: time.Second, RunTime: 4 * time.Second}
	assert.Equal(t, policy.DecideStart(passed, now), Decision{Reason: ReasonDeadline, RetryAfter: 4 * time.Second})
	assert.Equal(t, policy.DecideStart(Request{RunTime: time.Hour}, now), Decision{Admit: true}, "no deadline")
	policy.EnforceDeadlines = false
	assert.Equal(t, policy.DecideStart(passed, now), Decision{Admit: true}, "deadlines are not enforced")
}

// TestAdmittedCallMayStartWithinExpectedWait checks that a call which Decide admits is not
// refused at its start unless it has waited longer than Decide expected.
func TestAdmittedCallMayStartWithinExpectedWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := DefaultPolicy()
		draw := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, name))
		}
		now, expected := draw("now"), draw("expected wait")
		req := Request{Priority: 9, RunTime: draw("run time"), Deadline: now + draw("time left")}
		if !policy.Decide(req, Load{ExpectedWait: expected}, now).Admit {
			return
		}
		wait := time.Duration(rapid.Int64Range(0, int64(expected)).Draw(t, "wait"))
		assert.Assert(t, policy.DecideStart(req, now+wait).Admit)
	})
}

// TestLowerPriorityIsRefusedFirst checks that a call is refused for overload
// whenever a call of higher priority is, and that the Retry-After hint of each
// refusal is within the policy's limits.
func TestLowerPriorityIsRefusedFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := DefaultPolicy()
		load := Load{ExpectedWait: time.Duration(rapid.Int64Range(0, int64(2*time.Minute)).Draw(t, "wait"))}
		req := Request{Priority: rapid.Int32Range(1, 9).Draw(t, "priority"), NewProgram: rapid.Bool().Draw(t, "new")}
		high := policy.Decide(req, load, 0)
		req.Priority--
		low := policy.Decide(req, load, 0)
		assert.Assert(t, high.Admit || !low.Admit)
		for _, d := range []Decision{high, low} {
			assert.Assert(t, d.Admit || d.RetryAfter >= policy.MinRetryAfter && d.RetryAfter <= policy.MaxRetryAfter)
		}
	})
}

func TestSlotLimit(t *testing.T) {
	assert.Equal(t, SlotLimit(16, 0), 16)
	assert.Equal(t, SlotLimit(16, 1000), 16)
	assert.Equal(t, SlotLimit(16, 500), 8)
	assert.Equal(t, SlotLimit(16, 1), 1)
}
