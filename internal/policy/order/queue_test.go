package order

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func popAllIDs(q *Queue[int]) string {
	var ids []string
	for {
		item, ok := q.Pop(0)
		if !ok {
			return strings.Join(ids, " ")
		}
		ids = append(ids, item.Call.ID)
	}
}

func mustPush(t assert.TestingT, q *Queue[int], calls ...Call) {
	for _, c := range calls {
		_, err := q.Push(c, 0)
		assert.NilError(t, err)
	}
}

func TestPopOrder(t *testing.T) {
	tests := []struct {
		name   string
		policy Policy
		calls  []Call
		want   string
	}{
		{"arrival", Policy{}, []Call{
			{ID: "b", Arrived: 2, Priority: 9}, {ID: "a", Arrived: 1},
		}, "a b"},
		{"priority", Policy{Priority: true}, []Call{
			{ID: "low", Priority: 1}, {ID: "high", Priority: 5},
		}, "high low"},
		{"age weighted priority", Policy{Priority: true, AgingInterval: 10}, []Call{
			{ID: "high", Priority: 5, Arrived: 100}, {ID: "old", Priority: 1, Arrived: 50}, {ID: "low", Priority: 1, Arrived: 70},
		}, "old high low"},
		{"least attained", Policy{LeastAttained: true}, []Call{
			{ID: "long", AttainedTokens: 9000}, {ID: "short", AttainedTokens: 100}, {ID: "same", AttainedTokens: 101},
		}, "short same long"},
		{"fair share", Policy{FairShare: true}, []Call{
			{ID: "a1", Customer: "a"}, {ID: "a2", Customer: "a"}, {ID: "a3", Customer: "a"}, {ID: "b1", Customer: "b"},
		}, "a1 b1 a2 a3"},
		{"weighted share", Policy{FairShare: true}, []Call{
			{ID: "a1", Customer: "a", SharePermille: 1}, {ID: "a2", Customer: "a", SharePermille: 1},
			{ID: "b1", Customer: "b", SharePermille: 2}, {ID: "b2", Customer: "b", SharePermille: 2}, {ID: "b3", Customer: "b", SharePermille: 2},
		}, "a1 b1 b2 a2 b3"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := NewQueue[int](test.policy)
			mustPush(t, q, test.calls...)
			assert.Equal(t, popAllIDs(q), test.want)
		})
	}
}

func TestIdleCustomerKeepsNoCredit(t *testing.T) {
	q := NewQueue[int](Policy{FairShare: true})
	mustPush(t, q, Call{ID: "b1", Customer: "busy"})
	for i := range 100 {
		mustPush(t, q, Call{ID: fmt.Sprint("busy", i), Customer: "busy"})
		_, _ = q.Pop(0)
	}
	mustPush(t, q,
		Call{ID: "b2", Customer: "busy"},
		Call{ID: "n1", Customer: "new"}, Call{ID: "n2", Customer: "new"}, Call{ID: "n3", Customer: "new"})
	assert.Equal(t, popAllIDs(q), "n1 busy99 n2 b2 n3")
}

func TestPushShedsLowestPriorityFirst(t *testing.T) {
	q := NewQueue[int](Policy{Priority: true, Capacity: 3})
	mustPush(t, q, Call{ID: "p2", Priority: 2}, Call{ID: "p1 old", Priority: 1, Arrived: 1}, Call{ID: "p1 new", Priority: 1, Arrived: 2})
	shed, err := q.Push(Call{ID: "p3", Priority: 3}, 0)
	assert.NilError(t, err)
	assert.Equal(t, shed.Call.ID, "p1 new")
	_, err = q.Push(Call{ID: "p1", Priority: 1}, 0)
	assert.ErrorIs(t, err, ErrFull)
	_, err = q.Push(Call{ID: "p2", Priority: 9}, 0)
	assert.ErrorIs(t, err, ErrDuplicate)
	assert.Equal(t, popAllIDs(q), "p3 p2 p1 old")
}

func TestExpiredCallsAreNotPopped(t *testing.T) {
	q := NewQueue[int](Policy{})
	mustPush(t, q, Call{ID: "a", Deadline: 5}, Call{ID: "b"}, Call{ID: "c", Deadline: 3}, Call{ID: "d", Deadline: 9})
	next, ok := q.NextDeadline()
	assert.Assert(t, ok)
	assert.Equal(t, next, time.Duration(3))
	expired := q.Expire(5)
	assert.Equal(t, len(expired), 2)
	assert.Equal(t, expired[0].Call.ID+expired[1].Call.ID, "ac")
	item, ok := q.Pop(9)
	assert.Assert(t, ok)
	assert.Equal(t, item.Call.ID, "b")
	_, ok = q.Pop(9)
	assert.Assert(t, !ok)
}

func TestRemoveAndPopIf(t *testing.T) {
	q := NewQueue[int](Policy{Priority: true})
	mustPush(t, q, Call{ID: "a", Customer: "x"}, Call{ID: "b", Customer: "y"}, Call{ID: "c", Customer: "x", Priority: 4})
	assert.Equal(t, q.Ahead(1), 1)
	assert.Equal(t, q.Ahead(0), 3)
	item, ok := q.PopIf(0, func(c *Call) bool { return c.Customer == "y" })
	assert.Assert(t, ok)
	assert.Equal(t, item.Call.ID, "b")
	_, ok = q.Remove("a")
	assert.Assert(t, ok)
	_, ok = q.Remove("a")
	assert.Assert(t, !ok)
	assert.Equal(t, popAllIDs(q), "c")
	assert.Equal(t, len(q.customers.entries), 0)
}

// TestStarvationBound checks that an overdue call is popped after at most
// StarvationPeriod pops for itself and for each older call, however many calls
// that rank higher keep arriving.
func TestStarvationBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := DefaultPolicy()
		policy.StarvationPeriod = rapid.IntRange(1, 10).Draw(t, "period")
		policy.Capacity = 0
		q := NewQueue[int](policy)
		older := rapid.IntRange(0, 5).Draw(t, "older")
		for i := range older {
			mustPush(t, q, Call{ID: fmt.Sprint("older", i), Customer: "low", AttainedTokens: 1 << 20})
		}
		mustPush(t, q, Call{ID: "low", Customer: "low", AttainedTokens: 1 << 20, Arrived: 1})
		now := policy.StarvationWait + 1
		bound := policy.StarvationPeriod * (older + 1)
		for i := range bound {
			mustPush(t, q, Call{ID: fmt.Sprint("high", i), Customer: "high", Priority: 9, Arrived: now})
			item, ok := q.Pop(now)
			assert.Assert(t, ok)
			if item.Call.ID == "low" {
				return
			}
		}
		t.Fatalf("not taken within %d pops", bound)
	})
}

func randomCall(t *rapid.T, id int) Call {
	return Call{
		ID:             fmt.Sprint(id),
		Customer:       rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"),
		Priority:       rapid.Int32Range(0, 2).Draw(t, "priority"),
		SharePermille:  rapid.Uint32Range(0, 3).Draw(t, "share"),
		AttainedTokens: rapid.Uint64Range(0, 8).Draw(t, "attained"),
		Arrived:        time.Duration(rapid.IntRange(0, 3).Draw(t, "arrived")),
		Deadline:       time.Duration(rapid.IntRange(0, 20).Draw(t, "deadline")),
	}
}

// TestQueueIsDeterministicAndLosesNothing checks that each pushed call is removed
// exactly once, and that the same operations on two queues give the same order.
func TestQueueIsDeterministicAndLosesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := Policy{
			StarvationWait:   time.Duration(rapid.IntRange(0, 5).Draw(t, "starvation")),
			StarvationPeriod: rapid.IntRange(0, 3).Draw(t, "period"),
			Priority:         rapid.Bool().Draw(t, "priority"),
			AgingInterval:    time.Duration(rapid.IntRange(0, 2).Draw(t, "step")),
			FairShare:        rapid.Bool().Draw(t, "fair"),
			LeastAttained:    rapid.Bool().Draw(t, "attained"),
			Capacity:         rapid.IntRange(0, 6).Draw(t, "capacity"),
		}
		queues := [2]*Queue[int]{NewQueue[int](policy), NewQueue[int](policy)}
		removed := make(map[string]int)
		pushed := 0
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now := time.Duration(step / 2)
			var ids [2][]string
			kind := rapid.IntRange(0, 4).Draw(t, "kind")
			remove := fmt.Sprint(rapid.IntRange(0, step).Draw(t, "remove"))
			call := randomCall(t, step)
			for i, q := range queues {
				ids[i] = apply(t, q, kind, call, remove, now)
			}
			assert.DeepEqual(t, ids[0], ids[1])
			if kind <= 1 {
				pushed++
			}
			for _, id := range ids[0] {
				removed[id]++
			}
		}
		for id, n := range removed {
			assert.Equal(t, n, 1, "call %s removed %d times", id, n)
		}
		assert.Equal(t, pushed, len(removed)+queues[0].Len())
	})
}

// apply runs one operation and returns the IDs of the calls that it removed from
// the queue or refused.
func apply(t assert.TestingT, q *Queue[int], kind int, call Call, remove string, now time.Duration) []string {
	var out []string
	switch kind {
	case 0, 1:
		shed, err := q.Push(call, 0)
		if err != nil {
			out = append(out, call.ID)
		}
		if shed != nil {
			out = append(out, shed.Call.ID)
		}
	case 2:
		if item, ok := q.Pop(now); ok {
			out = append(out, item.Call.ID)
		}
	case 3:
		if item, ok := q.Remove(remove); ok {
			assert.Equal(t, item.Call.ID, remove)
			out = append(out, item.Call.ID)
		}
	default:
		for _, item := range q.Expire(now) {
			out = append(out, item.Call.ID)
		}
	}
	return out
}

func BenchmarkPop(b *testing.B) {
	q := NewQueue[int](DefaultPolicy())
	for i := range 256 {
		mustPush(b, q, Call{ID: fmt.Sprint(i), Customer: fmt.Sprint(i % 7), Priority: int32(i % 10)})
	}
	b.ReportAllocs()
	for b.Loop() {
		item, _ := q.Pop(0)
		_, _ = q.Push(item.Call, 0)
	}
}
