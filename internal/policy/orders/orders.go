// Package orders decides which orders to model engines start: loads of models,
// adapters and versions, and changes of role. All of them that read weights
// pass one limiter, because the weight store is rate limited. Fencing numbers
// keep an old owner's order from taking effect after a newer one.
package orders

import (
	"cmp"
	"errors"
	"slices"
	"time"
)

// ErrFenced means that an order carries an older fencing number than one that
// was seen before. The order has no effect and must not be sent again.
var ErrFenced = errors.New("orders: the fencing number is old")

// Order asks an engine to change. Of several orders for one server, only the
// one with the highest fencing number counts.
type Order struct {
	Server      string
	Fencing     uint64
	Priority    int32
	ReadsWeight bool // it loads from the weight store
	Bytes       int64
	Asked       time.Duration
}

// Limits bound the use of the weight store.
type Limits struct {
	BytesPerSecond float64
	BurstBytes     int64
	MaxConcurrent  int // loads at the same time
}

// Store is the limiter's state: a token bucket of bytes. The level may be
// negative: an order larger than the burst starts with a full bucket and the
// next one waits until it is paid for.
type Store struct {
	Level   float64 // bytes
	Updated time.Duration
	Running int // loads in progress
}

// NewStore returns a store with a full bucket.
func NewStore(l Limits, now time.Duration) Store {
	return Store{Level: float64(l.BurstBytes), Updated: now}
}

// At returns the state at a later time.
func (s Store) At(l Limits, now time.Duration) Store {
	elapsed := max(now-s.Updated, 0).Seconds()
	s.Level = min(s.Level+elapsed*l.BytesPerSecond, float64(l.BurstBytes))
	s.Updated = max(now, s.Updated)
	return s
}

// Plan is what to start now and when to ask again.
type Plan struct {
	Start []Order
	// Wait is the time until the bucket lets another order start; 0 when none
	// waits for the bucket.
	Wait  time.Duration
	Store Store // after Start
}

// Next returns the orders to start. Superseded orders are dropped; the rest
// start by priority, then by the time they were asked for. Orders that read no
// weights start at once.
func Next(pending []Order, store Store, limits Limits, now time.Duration) Plan {
	plan := Plan{Store: store.At(limits, now)}
	blocked := false
	for _, order := range rank(newest(pending)) {
		switch {
		case !order.ReadsWeight:
			plan.Start = append(plan.Start, order)
		case blocked:
		case plan.Store.startable(limits, order):
			plan.Store.Running++
			plan.Store.Level -= float64(order.Bytes)
			plan.Start = append(plan.Start, order)
		default:
			blocked = true
			plan.Wait = plan.Store.wait(limits, order)
		}
	}
	return plan
}

// Ended returns the state after a load ended.
func (s Store) Ended() Store {
	s.Running = max(s.Running-1, 0)
	return s
}

// needed is the level at which an order may start.
func needed(l Limits, order Order) float64 {
	return float64(min(order.Bytes, l.BurstBytes))
}

func (s Store) startable(l Limits, order Order) bool {
	return s.Running < l.MaxConcurrent && s.Level >= needed(l, order)
}

func (s Store) wait(l Limits, order Order) time.Duration {
	missing := needed(l, order) - s.Level
	if missing <= 0 || l.BytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(missing / l.BytesPerSecond * float64(time.Second))
}

// newest keeps the order with the highest fencing number of each server.
func newest(pending []Order) []Order {
	byServer := make(map[string]int)
	var kept []Order
	for _, order := range pending {
		i, ok := byServer[order.Server]
		if !ok {
			byServer[order.Server] = len(kept)
			kept = append(kept, order)
			continue
		}
		if order.Fencing > kept[i].Fencing {
			kept[i] = order
		}
	}
	return kept
}

func rank(pending []Order) []Order {
	slices.SortFunc(pending, func(a, b Order) int {
		return cmp.Or(
			cmp.Compare(b.Priority, a.Priority),
			cmp.Compare(a.Asked, b.Asked),
			cmp.Compare(a.Server, b.Server),
		)
	})
	return pending
}

// Fence is the highest fencing number that the sidecar of an engine has seen.
type Fence struct {
	Highest uint64
}

// Check returns the fence after an order with the given number, or ErrFenced.
// The same number again is accepted: a resend is idempotent.
func (f Fence) Check(number uint64) (Fence, error) {
	if number < f.Highest {
		return f, ErrFenced
	}
	return Fence{Highest: number}, nil
}

// MayIssue reports whether a new owner may give orders to an engine. An engine
// that checks fencing numbers takes them at once; for one that ignores them the
// owner waits until the lease of the owner before has run out.
func MayIssue(engineChecksFencing bool, previousLeaseEnd, now time.Duration) bool {
	return engineChecksFencing || now >= previousLeaseEnd
}
