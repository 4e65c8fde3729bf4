package gate

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ibistray.example/ibistray/internal/policy/admit"
	"ibistray.example/ibistray/internal/policy/order"
)

// newFullGate returns a gate with as many requests in flight as its limit allows.
func newFullGate(t *testing.T) *Gate[string] {
	t.Helper()
	g := New[string](DefaultPolicy())
	for range maxInFlight {
		admitted, _, err := g.Acquire(0, order.Call{}, nil, "")
		assert.NilError(t, err)
		assert.Assert(t, admitted)
	}
	return g
}

func enqueue(t *testing.T, g *Gate[string], id string, priority int32) {
	t.Helper()
	admitted, shed, err := g.Acquire(0, order.Call{ID: id, Priority: priority}, nil, id)
	assert.NilError(t, err)
	assert.Assert(t, !admitted && shed == nil)
}

// TestSettlementsAndRunningProgramsGoFirst checks the order in which queued requests
// are admitted when new programs start while others are running.
func TestSettlementsAndRunningProgramsGoFirst(t *testing.T) {
	g := newFullGate(t)
	enqueue(t, g, "new, less urgent", BeginPriority(1, true))
	enqueue(t, g, "new, urgent", BeginPriority(0, true))
	enqueue(t, g, "running, less urgent", BeginPriority(1, false))
	enqueue(t, g, "running, urgent", BeginPriority(0, false))
	enqueue(t, g, "settlement", PrioritySettle)
	var admitted []string
	for range 5 {
		for _, next := range g.Release(time.Millisecond, time.Millisecond, Responded) {
			admitted = append(admitted, next.Value)
		}
	}
	assert.DeepEqual(t, admitted, []string{"settlement", "running, urgent", "running, less urgent", "new, urgent", "new, less urgent"})
}

// TestNewProgramsAreRefusedAfterLongExpectedWait simulates a leader that responds to one
// request every 20 ms while the queue is never empty. A new program is refused; the
// next turn of a running one is still queued.
func TestNewProgramsAreRefusedAfterLongExpectedWait(t *testing.T) {
	g := newFullGate(t)
	now := time.Duration(0)
	for i := range 120 {
		enqueue(t, g, fmt.Sprint(i), PrioritySettle)
		if i >= 20 {
			now += 20 * time.Millisecond
			assert.Equal(t, len(g.Release(now, 20*time.Millisecond, Responded)), 1)
		}
	}
	priority := BeginPriority(0, true)
	_, _, err := g.Acquire(now, order.Call{ID: "new", Priority: priority}, &admit.Request{Priority: priority, NewProgram: true}, "")
	var overload *OverloadError
	assert.Assert(t, errors.As(err, &overload))
	assert.ErrorIs(t, err, ErrOverloaded)
	assert.Equal(t, overload.Reason, admit.ReasonOverload)
	assert.Assert(t, overload.RetryAfter >= DefaultPolicy().Admission.MinRetryAfter)
	priority = BeginPriority(0, false)
	_, _, err = g.Acquire(now, order.Call{ID: "running", Priority: priority}, &admit.Request{Priority: priority}, "")
	assert.NilError(t, err)
}

// TestLimitShrinksWithoutLeaderAndRecovers simulates a leader election: the limit
// falls to its minimum on overload, does not change on inconclusive outcomes, and
// grows again once requests get responses.
func TestLimitShrinksWithoutLeaderAndRecovers(t *testing.T) {
	g := New[string](DefaultPolicy())
	assert.Assert(t, g.HasSpareCapacity())
	now := time.Duration(0)
	send := func(latency time.Duration, outcome Outcome) {
		_, _, err := g.Acquire(now, order.Call{}, nil, "")
		assert.NilError(t, err)
		now += latency
		g.Release(now, latency, outcome)
	}
	for range 10 {
		send(DefaultPolicy().Window.DecreaseInterval, Overloaded)
	}
	assert.Equal(t, g.Limit(), minInFlight)
	assert.Assert(t, !g.HasSpareCapacity())
	for range 10 {
		send(time.Second, Inconclusive)
	}
	assert.Equal(t, g.Limit(), minInFlight)
	for range maxInFlight * maxInFlight {
		send(time.Millisecond, Responded)
	}
	assert.Assert(t, g.HasSpareCapacity())
}

// TestNoRequestWaitsBelowLimit checks over random sequences of arriving, ending and
// cancelled requests that none stays queued while fewer are in flight than allowed.
func TestNoRequestWaitsBelowLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := DefaultPolicy()
		policy.Window.Max, policy.Window.Min, policy.Order.Capacity = 4, 1, 6
		g := New[int](policy)
		now := time.Duration(0)
		inFlight, waiting := 0, make(map[int]bool)
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond
			switch {
			case inFlight > 0 && rapid.Bool().Draw(t, "ends"):
				inFlight--
				outcome := Outcome(rapid.IntRange(0, 2).Draw(t, "outcome"))
				for _, next := range g.Release(now, time.Millisecond, outcome) {
					delete(waiting, next.Value)
					inFlight++
				}
			case len(waiting) > 0 && rapid.IntRange(0, 3).Draw(t, "cancels") == 0:
				for id := range waiting {
					assert.Assert(t, g.Cancel(fmt.Sprint(id)))
					delete(waiting, id)
					break
				}
			default:
				call := order.Call{ID: fmt.Sprint(i), Priority: int32(rapid.IntRange(0, 9).Draw(t, "priority"))}
				admitted, shed, err := g.Acquire(now, call, nil, i)
				if shed != nil {
					delete(waiting, shed.Value)
				}
				if admitted {
					inFlight++
				} else if err == nil {
					waiting[i] = true
				}
			}
			if g.Waiting() != len(waiting) {
				t.Fatalf("%d requests wait, but Waiting returns %d", len(waiting), g.Waiting())
			}
			if len(waiting) > 0 && inFlight < g.Limit() {
				t.Fatalf("%d requests wait while %d of %d are in flight", len(waiting), inFlight, g.Limit())
			}
		}
	})
}
