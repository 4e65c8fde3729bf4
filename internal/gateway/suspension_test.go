package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/fleetpb"
)

// suspendable makes the host of a view appear suspended for the nanoseconds in the result.
func suspendable(v *view) *atomic.Int64 {
	suspended := new(atomic.Int64)
	boot := v.bootTime
	v.bootTime = func() time.Duration { return boot() + time.Duration(suspended.Load()) }
	return suspended
}

// TestSuspendedEntryWaitsForAnUpdate has an entry whose host was suspended while its routes
// were replaced.
func TestSuspendedEntryWaitsForAnUpdate(t *testing.T) {
	f := newFixture(t, newBackend(t, "a", respondOK))
	f.setQuorumAge(0)
	suspended := suspendable(f.view)
	suspended.Store(int64(5 * time.Second))
	assert.Assert(t, !f.view.isFresh(time.Hour))
	done := make(chan int, 1)
	go func() { done <- f.send(t, http.MethodGet, "/safe/x", "", "Id", "1").status }()
	select {
	case status := <-done:
		t.Fatalf("served with outdated routes: status %d", status)
	case <-time.After(viewTimeout / 4):
	}
	f.view.apply("state host", &fleetpb.Update{Quorum: true})
	assert.Equal(t, <-done, http.StatusOK)
	assert.Equal(t, f.send(t, http.MethodGet, "/safe/x", "", "Id", "2").status, http.StatusOK)
}

// TestAgeOfRoutesCountsSuspension has an entry that heard a quorum shortly before its host was
// suspended, and a host without a quorum afterwards.
func TestAgeOfRoutesCountsSuspension(t *testing.T) {
	f := newFixture(t, newBackend(t, "a", respondOK))
	f.view.apply("majority", &fleetpb.Update{Quorum: true})
	suspended := suspendable(f.view)
	suspended.Store(int64(minPartitionDelay + time.Second))
	f.view.apply("minority", &fleetpb.Update{})
	assert.Equal(t, f.send(t, http.MethodGet, "/safe/x", "", "Id", "1").status, http.StatusServiceUnavailable)
}
