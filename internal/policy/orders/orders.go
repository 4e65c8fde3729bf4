// Package orders schedules orders to model engines: loads of models, adapters and
// versions, and changes of role. Orders that read weights pass a shared limiter,
// because the weight store is rate limited. Fencing tokens keep the order of a
// previous owner from taking effect after a newer one.
package orders

import (
	"cmp"
	"errors"
	"slices"
	"time"
)

// ErrFenced is returned for an order whose fencing token is lower than one seen
// before. The order has no effect and must not be sent again.
var ErrFenced = errors.New("orders: fencing token is outdated")

// Order asks an engine to load a model, an adapter or a version, or to change its
// role. Of several orders for one server, only the one with the highest fencing
// token takes effect.
type Order struct {
	Server       string
	FencingToken uint64
	Priority     int32 // higher values go first
	ReadsWeights bool  // the order loads from the weight store
	Bytes        int64 // to read from the weight store
	RequestedAt  time.Duration
}

// Limits restricts the use of the weight store.
type Limits struct {
	BytesPerSecond float64
	BurstBytes     int64 // capacity of the token bucket
	MaxConcurrent  int   // loads at the same time
}

// Limiter is the state of the limiter for the weight store: a token bucket with a
// token per byte, and the number of running loads. The level may be negative: an
// order larger than the burst starts when the bucket is full, and the next one
// waits until the deficit is made up and the bucket holds enough for it.
type Limiter struct {
	Level   float64 // bytes
	Updated time.Duration
	Running int // loads in progress
}

// NewLimiter returns a limiter with a full bucket and no running loads.
func NewLimiter(limits Limits, now time.Duration) Limiter {
	return Limiter{Level: float64(limits.BurstBytes), Updated: now}
}

// Refill returns the limiter with the tokens added that have accrued by the given time.
func (l Limiter) Refill(limits Limits, now time.Duration) Limiter {
	elapsed := max(now-l.Updated, 0).Seconds()
	l.Level = min(l.Level+elapsed*limits.BytesPerSecond, float64(limits.BurstBytes))
	l.Updated = max(now, l.Updated)
	return l
}

// Plan lists the orders to start now and says when to plan again.
type Plan struct {
	Start []Order
	// Wait is the time until the bucket allows the next order; 0 if no order
	// waits for the bucket.
	Wait    time.Duration
	Limiter Limiter // state after Start
}

// Next plans the orders to start. Orders with a lower fencing token than another
// one for the same server are dropped. Orders that read no weights start at once;
// the others start by priority, then by the time of the request. An order that the
// limiter blocks also blocks those behind it, so that small ones cannot overtake
// it forever.
func Next(pending []Order, limiter Limiter, limits Limits, now time.Duration) Plan {
	plan := Plan{Limiter: limiter.Refill(limits, now)}
	blocked := false
	for _, order := range sortByPriority(dropSuperseded(pending)) {
		switch {
		case !order.ReadsWeights:
			plan.Start = append(plan.Start, order)
		case blocked:
		case plan.Limiter.allows(limits, order):
			plan.Limiter.Running++
			plan.Limiter.Level -= float64(order.Bytes)
			plan.Start = append(plan.Start, order)
		default:
			blocked = true
			plan.Wait = plan.Limiter.wait(limits, order)
		}
	}
	return plan
}

// LoadEnded returns the limiter after a load has ended.
func (l Limiter) LoadEnded() Limiter {
	l.Running = max(l.Running-1, 0)
	return l
}

// requiredLevel returns the level of the bucket at which an order may start.
func requiredLevel(limits Limits, order Order) float64 {
	return float64(min(order.Bytes, limits.BurstBytes))
}

// allows reports whether the limiter lets the order start now.
func (l Limiter) allows(limits Limits, order Order) bool {
	return l.Running < limits.MaxConcurrent && l.Level >= requiredLevel(limits, order)
}

// wait returns the time until the bucket allows the order; 0 if the bucket is not
// what blocks it.
func (l Limiter) wait(limits Limits, order Order) time.Duration {
	deficit := requiredLevel(limits, order) - l.Level
	if deficit <= 0 || limits.BytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(deficit / limits.BytesPerSecond * float64(time.Second))
}

// dropSuperseded keeps the order with the highest fencing token of each server.
func dropSuperseded(pending []Order) []Order {
	byServer := make(map[string]int)
	var kept []Order
	for _, order := range pending {
		i, ok := byServer[order.Server]
		if !ok {
			byServer[order.Server] = len(kept)
			kept = append(kept, order)
			continue
		}
		if order.FencingToken > kept[i].FencingToken {
			kept[i] = order
		}
	}
	return kept
}

// sortByPriority sorts the orders in place by priority, then by the time of the
// request, and returns them.
func sortByPriority(pending []Order) []Order {
	slices.SortFunc(pending, func(a, b Order) int {
		return cmp.Or(
			cmp.Compare(b.Priority, a.Priority),
			cmp.Compare(a.RequestedAt, b.RequestedAt),
			cmp.Compare(a.Server, b.Server),
		)
	})
	return pending
}

// Fence records the highest fencing token that the sidecar of an engine has seen.
type Fence struct {
	Highest uint64
}

// Check returns the fence updated with the token of an order, or ErrFenced if the
// token is too low. An equal token is accepted, since a resend is idempotent.
func (f Fence) Check(token uint64) (Fence, error) {
	if token < f.Highest {
		return f, ErrFenced
	}
	return Fence{Highest: token}, nil
}

// MayIssue reports whether a new owner may send orders to an engine. If the engine
// checks fencing tokens, it may at once; otherwise it must wait until the lease of
// the previous owner has expired.
func MayIssue(engineChecksFencing bool, previousLeaseEnd, now time.Duration) bool {
	return engineChecksFencing || now >= previousLeaseEnd
}
