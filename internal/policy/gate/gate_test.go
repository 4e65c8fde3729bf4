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

// full returns a gate whose places are taken.
func full(t *testing.T) *Gate[string] {
	t.Helper()
	g := New[string](DefaultPolicy())
	for range maxUnderWay {
		passed, _, err := g.Acquire(0, order.Call{}, nil, "")
		assert.NilError(t, err)
		assert.Assert(t, passed)
	}
	return g
}

func wait(t *testing.T, g *Gate[string], id string, priority int32) {
	t.Helper()
	passed, shed, err := g.Acquire(0, order.Call{ID: id, Priority: priority}, nil, id)
	assert.NilError(t, err)
	assert.Assert(t, !passed && shed == nil)
}

// TestSettlementsAndProgramsUnderWayGoFirst replays a burst of new programs while
// others are under way.
func TestSettlementsAndProgramsUnderWayGoFirst(t *testing.T) {
	g := full(t)
	wait(t, g, "new, less urgent", BeginPriority(1, true))
	wait(t, g, "new, urgent", BeginPriority(0, true))
	wait(t, g, "under way, less urgent", BeginPriority(1, false))
	wait(t, g, "under way, urgent", BeginPriority(0, false))
	wait(t, g, "settlement", PrioritySettle)
	var passed []string
	for range 5 {
		for _, next := range g.Release(time.Millisecond, time.Millisecond, Answered) {
			passed = append(passed, next.Value)
		}
	}
	assert.DeepEqual(t, passed, []string{"settlement", "under way, urgent", "under way, less urgent", "new, urgent", "new, less urgent"})
}

// TestNewProgramsThatWouldWaitAreRefused replays a leader that answers once in 20 ms
// while always more requests wait.
func TestNewProgramsThatWouldWaitAreRefused(t *testing.T) {
	g := full(t)
	now := time.Duration(0)
	for i := range 120 {
		wait(t, g, fmt.Sprint(i), PrioritySettle)
		if i >= 20 {
			now += 20 * time.Millisecond
			assert.Equal(t, len(g.Release(now, 20*time.Millisecond, Answered)), 1)
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
	_, _, err = g.Acquire(now, order.Call{ID: "under way", Priority: priority}, &admit.Request{Priority: priority}, "")
	assert.NilError(t, err)
}

// TestGateShrinksWithoutALeaderAndComesBack replays an election.
func TestGateShrinksWithoutALeaderAndComesBack(t *testing.T) {
	g := New[string](DefaultPolicy())
	assert.Assert(t, g.HasSpareCapacity())
	now := time.Duration(0)
	once := func(took time.Duration, f Outcome) {
		_, _, err := g.Acquire(now, order.Call{}, nil, "")
		assert.NilError(t, err)
		now += took
		g.Release(now, took, f)
	}
	for range 10 {
		once(DefaultPolicy().Window.DecreaseInterval, Overloaded)
	}
	assert.Equal(t, g.Limit(), minUnderWay)
	assert.Assert(t, !g.HasSpareCapacity())
	for range 10 {
		once(time.Second, Inconclusive)
	}
	assert.Equal(t, g.Limit(), minUnderWay)
	for range maxUnderWay * maxUnderWay {
		once(time.Millisecond, Answered)
	}
	assert.Assert(t, g.HasSpareCapacity())
}

// TestNoRequestWaitsWhileThereIsRoom draws requests that come, leave and end.
func TestNoRequestWaitsWhileThereIsRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := DefaultPolicy()
		policy.Window.Max, policy.Window.Min, policy.Order.Capacity = 4, 1, 6
		g := New[int](policy)
		now := time.Duration(0)
		underWay, waiting := 0, make(map[int]bool)
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond
			switch {
			case underWay > 0 && rapid.Bool().Draw(t, "ends"):
				underWay--
				fate := Outcome(rapid.IntRange(0, 2).Draw(t, "fate"))
				for _, next := range g.Release(now, time.Millisecond, fate) {
					delete(waiting, next.Value)
					underWay++
				}
			case len(waiting) > 0 && rapid.IntRange(0, 3).Draw(t, "withdraws") == 0:
				for id := range waiting {
					assert.Assert(t, g.Cancel(fmt.Sprint(id)))
					delete(waiting, id)
					break
				}
			default:
				call := order.Call{ID: fmt.Sprint(i), Priority: int32(rapid.IntRange(0, 9).Draw(t, "priority"))}
				passed, shed, err := g.Acquire(now, call, nil, i)
				if shed != nil {
					delete(waiting, shed.Value)
				}
				if passed {
					underWay++
				} else if err == nil {
					waiting[i] = true
				}
			}
			if g.Waiting() != len(waiting) {
				t.Fatalf("%d wait, %d are queued", len(waiting), g.Waiting())
			}
			if len(waiting) > 0 && underWay < g.Limit() {
				t.Fatalf("%d wait while %d of %d are under way", len(waiting), underWay, g.Limit())
			}
		}
	})
}
