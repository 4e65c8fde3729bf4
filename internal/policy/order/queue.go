package order

import (
	"errors"
	"time"
)

// Errors of Push.
var (
	// ErrFull is returned if the queue is at its capacity and no waiting call has
	// a lower priority.
	ErrFull = errors.New("order: queue is full")
	// ErrDuplicate is returned if a call with the same ID is already waiting.
	ErrDuplicate = errors.New("order: call is already waiting")
)

// Item is a waiting call with the value that was pushed with it.
type Item[T any] struct {
	Call  Call
	Value T

	seq      uint64
	customer *customerEntry
}

// Queue holds waiting calls and returns them in the order of its policy. It is
// not safe for concurrent use. Pop takes time linear in the number of waiting
// calls, which the policy's capacity limits.
type Queue[T any] struct {
	policy    Policy
	items     []Item[T]
	byID      map[string]int
	customers fairShares
	nextSeq   uint64
	overtakes int // consecutive pops that passed over an overdue call
}

// NewQueue returns an empty queue.
func NewQueue[T any](policy Policy) *Queue[T] {
	return &Queue[T]{policy: policy, byID: make(map[string]int)}
}

// Len returns the number of waiting calls.
func (q *Queue[T]) Len() int { return len(q.items) }

// Push adds a call. If the queue is full, it removes the call that ranks last
// among those of the lowest waiting priority, provided that this is lower than
// the priority of the new call, and returns it as shed; the caller must refuse
// that call at once. Errors: ErrFull, ErrDuplicate.
func (q *Queue[T]) Push(call Call, value T) (shed *Item[T], err error) {
	if _, ok := q.byID[call.ID]; ok {
		return nil, ErrDuplicate
	}
	if q.policy.Capacity > 0 && len(q.items) >= q.policy.Capacity {
		shed = q.shedBelow(call.Priority)
		if shed == nil {
			return nil, ErrFull
		}
	}
	customer := q.customers.add(call.Customer)
	q.byID[call.ID] = len(q.items)
	q.items = append(q.items, Item[T]{Call: call, Value: value, seq: q.nextSeq, customer: customer})
	q.nextSeq++
	return shed, nil
}

// Pop removes and returns the call that runs next, or returns false if there is
// none. It skips calls whose deadline has passed; Expire removes those.
func (q *Queue[T]) Pop(now time.Duration) (Item[T], bool) {
	return q.PopIf(now, func(*Call) bool { return true })
}

// PopIf is like Pop but considers only calls that eligible accepts.
func (q *Queue[T]) PopIf(now time.Duration, eligible func(*Call) bool) (Item[T], bool) {
	best, oldest := -1, -1
	for i := range q.items {
		c := &q.items[i].Call
		if c.expired(now) || !eligible(c) {
			continue
		}
		if best < 0 || q.policy.compare(q.rankOf(i), q.rankOf(best)) < 0 {
			best = i
		}
		if q.overdue(c, now) && (oldest < 0 || compareArrival(q.rankOf(i), q.rankOf(oldest)) < 0) {
			oldest = i
		}
	}
	if best < 0 {
		return Item[T]{}, false
	}
	item := q.removeAt(q.pick(best, oldest))
	q.customers.charge(&item.Call)
	q.customers.remove(item.Call.Customer)
	return item, true
}

// pick chooses between the best ranked and the oldest overdue call, given by their
// indexes. An oldest of -1 means that no call is overdue.
func (q *Queue[T]) pick(best, oldest int) int {
	if oldest < 0 || best == oldest {
		q.overtakes = 0
		return best
	}
	q.overtakes++
	if q.overtakes < q.policy.StarvationPeriod {
		return best
	}
	q.overtakes = 0
	return oldest
}

// Remove removes a call, for example after its caller has disconnected. It returns
// false if the call is not in the queue.
func (q *Queue[T]) Remove(id string) (Item[T], bool) {
	i, ok := q.byID[id]
	if !ok {
		return Item[T]{}, false
	}
	item := q.removeAt(i)
	q.customers.remove(item.Call.Customer)
	return item, true
}

// Expire removes and returns the calls whose deadline has passed, in the order in
// which they were pushed. The caller must respond to them at once.
func (q *Queue[T]) Expire(now time.Duration) []Item[T] {
	return q.RemoveIf(func(c *Call) bool { return c.expired(now) })
}

// RemoveIf removes and returns the calls for which remove returns true, in the order in
// which they were pushed. The caller must respond to them at once.
func (q *Queue[T]) RemoveIf(remove func(*Call) bool) []Item[T] {
	var removed []Item[T]
	for {
		first := -1
		for i := range q.items {
			if remove(&q.items[i].Call) && (first < 0 || q.items[i].seq < q.items[first].seq) {
				first = i
			}
		}
		if first < 0 {
			return removed
		}
		item := q.removeAt(first)
		q.customers.remove(item.Call.Customer)
		removed = append(removed, item)
	}
}

// NextDeadline returns the earliest deadline of the waiting calls, or false if
// none has a deadline. Expire returns no call before that time.
func (q *Queue[T]) NextDeadline() (time.Duration, bool) {
	var next time.Duration
	for i := range q.items {
		deadline := q.items[i].Call.Deadline
		if deadline != 0 && (next == 0 || deadline < next) {
			next = deadline
		}
	}
	return next, next != 0
}

// Ahead returns the number of waiting calls with the given priority or a higher
// one, an estimate of how many run before a new call of this priority. If the
// policy ignores priorities, it returns the number of all waiting calls.
func (q *Queue[T]) Ahead(priority int32) int {
	if !q.policy.Priority {
		return len(q.items)
	}
	n := 0
	for i := range q.items {
		if q.items[i].Call.Priority >= priority {
			n++
		}
	}
	return n
}

func (c *Call) expired(now time.Duration) bool {
	return c.Deadline != 0 && now >= c.Deadline
}

// overdue reports whether the call has waited for StarvationWait or longer.
func (q *Queue[T]) overdue(c *Call, now time.Duration) bool {
	return q.policy.StarvationWait > 0 && now-c.Arrived >= q.policy.StarvationWait
}

func (q *Queue[T]) rankOf(i int) rank {
	item := &q.items[i]
	return rank{
		call:    &item.Call,
		service: item.customer.service,
		seq:     item.seq,
	}
}

// shedBelow removes and returns the call that ranks last among those of the lowest
// waiting priority. It returns nil if that is not below the given priority.
func (q *Queue[T]) shedBelow(priority int32) *Item[T] {
	last := -1
	for i := range q.items {
		if q.items[i].Call.Priority < priority && (last < 0 || q.shedFirst(i, last)) {
			last = i
		}
	}
	if last < 0 {
		return nil
	}
	item := q.removeAt(last)
	q.customers.remove(item.Call.Customer)
	return &item
}

// shedFirst reports whether the call at index i is shed before the one at index j.
func (q *Queue[T]) shedFirst(i, j int) bool {
	a, b := q.rankOf(i), q.rankOf(j)
	if a.call.Priority != b.call.Priority {
		return a.call.Priority < b.call.Priority
	}
	return q.policy.compare(a, b) > 0
}

// removeAt removes and returns the item at index i and moves the last item there.
func (q *Queue[T]) removeAt(i int) Item[T] {
	item := q.items[i]
	last := len(q.items) - 1
	if i != last {
		q.items[i] = q.items[last]
		q.byID[q.items[i].Call.ID] = i
	}
	q.items[last] = Item[T]{}
	q.items = q.items[:last]
	delete(q.byID, item.Call.ID)
	return item
}
