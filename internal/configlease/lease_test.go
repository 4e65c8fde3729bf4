package configlease

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// newCalmWorld returns a world without random steps in which every holder has
// a lease from the control process at index 1 and version 1.
func newCalmWorld(t *testing.T) *world {
	w := newWorld(t, 0)
	w.nesting = maxNesting
	w.change()
	for _, h := range w.hosts {
		h.catchUp(1)
	}
	w.round()
	w.round()
	assert.Assert(t, w.holders[0].Valid(time.Now()))
	assert.Equal(t, w.version(), uint64(1))
	return w
}

// round lets each control process renew its lease and each holder its own.
func (w *world) round() {
	for _, h := range w.hosts {
		h.grantor.renew(w.t.Context())
	}
	for i := range w.holders {
		w.exchange(w.hosts[1], i)
	}
	for _, h := range w.hosts {
		h.grantor.renew(w.t.Context())
	}
	w.check()
}

// version returns the version that is in force now.
func (w *world) version() uint64 {
	names := make([]string, len(w.hosts))
	for i, h := range w.hosts {
		names[i] = h.name
	}
	return w.tracker.InForce(w.leading().state.Version(), names, time.Now())
}

// TestChangeWaitsForACutOffControlProcess cuts off the control process that serves
// the holders. The change is in force only after the leases of all of them have
// run out, and within a bounded time.
func TestChangeWaitsForACutOffControlProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCalmWorld(t)
		w.hosts[1].cut = true
		w.change()
		began := time.Now()
		for w.version() < 2 {
			for _, i := range []int{0, 2} {
				w.hosts[i].catchUp(len(w.log))
				w.hosts[i].grantor.renew(t.Context())
			}
			w.exchange(w.hosts[1], 0) // a holder on the cut off side goes on asking
			w.check()
			time.Sleep(renewInterval)
		}
		assert.Assert(t, time.Since(began) <= silence+2*renewInterval, "%s", time.Since(began))
		for _, holder := range w.holders {
			assert.Assert(t, !holder.Valid(time.Now()))
		}
	})
}

// TestFrozenHolderHasNoLeaseWhenItWakesUp freezes a holder while its message is
// answered: the answer does not give it a lease that starts when it wakes up.
func TestFrozenHolderHasNoLeaseWhenItWakesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCalmWorld(t)
		holder := w.holders[0]
		sent := time.Now()
		answer := w.hosts[1].grantor.HandleRenewal("holder-0", 1, sent)
		assert.Assert(t, answer.Fresh)
		time.Sleep(silence)
		holder.Renew(answer, sent)
		assert.Assert(t, !holder.Valid(time.Now()))
	})
}

// TestNewLeaderWaitsForUnknownLeases makes a new leader that hears from two of
// the control processes. The third may serve holders of which it knows nothing.
func TestNewLeaderWaitsForUnknownLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCalmWorld(t)
		w.hosts[1].cut = true
		w.tracker = NewVersionTracker()
		w.tracker.BecomeLeader(time.Now())
		w.change()
		for _, i := range []int{0, 2} {
			w.hosts[i].catchUp(len(w.log))
			w.hosts[i].grantor.renew(t.Context())
		}
		assert.Equal(t, w.version(), uint64(0))
		time.Sleep(silence + time.Millisecond)
		assert.Equal(t, w.version(), uint64(2))
		w.check()
	})
}
