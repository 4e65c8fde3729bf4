package configlease

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// newSteadySimulation returns a simulation that makes no random steps. Every holder
// has version 1 and a lease from the control process at index 1.
func newSteadySimulation(t *testing.T) *simulation {
	s := newSimulation(t, 0)
	s.interleaveDepth = maxInterleaveDepth
	s.appendChange()
	for _, h := range s.hosts {
		h.catchUp(1)
	}
	s.renewAll()
	s.renewAll()
	assert.Assert(t, s.holders[0].Valid(time.Now()))
	assert.Equal(t, s.versionInForce(), uint64(1))
	return s
}

// renewAll renews the lease of each control process, then of each holder, and
// reports the holders' versions to the leader.
func (s *simulation) renewAll() {
	for _, h := range s.hosts {
		h.grantor.renew(s.t.Context())
	}
	for i := range s.holders {
		s.renewHolder(s.hosts[1], i)
	}
	for _, h := range s.hosts {
		h.grantor.renew(s.t.Context())
	}
	s.checkInvariants()
}

// versionInForce returns the version that is in force now.
func (s *simulation) versionInForce() uint64 {
	names := make([]string, len(s.hosts))
	for i, h := range s.hosts {
		names[i] = h.name
	}
	return s.tracker.InForce(s.leaderHost().state.Version(), names, time.Now())
}

// TestChangeWaitsForPartitionedControlProcess partitions the control process that
// serves the holders from the leader. A change must come into force only after the
// leases of all these holders have expired, and within a bounded time.
func TestChangeWaitsForPartitionedControlProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSteadySimulation(t)
		s.hosts[1].partitioned = true
		s.appendChange()
		began := time.Now()
		for s.versionInForce() < 2 {
			for _, i := range []int{0, 2} {
				s.hosts[i].catchUp(len(s.log))
				s.hosts[i].grantor.renew(t.Context())
			}
			s.renewHolder(s.hosts[1], 0) // the holder still reaches its partitioned control process
			s.checkInvariants()
			time.Sleep(renewInterval)
		}
		assert.Assert(t, time.Since(began) <= hostExpiryTimeout+2*renewInterval, "%s", time.Since(began))
		for _, holder := range s.holders {
			assert.Assert(t, !holder.Valid(time.Now()))
		}
	})
}

// TestPausedHolderHasNoLeaseAfterResume pauses a holder while its message is
// answered. The lease must run from when the message was sent, not from when the
// holder resumes and reads the response.
func TestPausedHolderHasNoLeaseAfterResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSteadySimulation(t)
		holder := s.holders[0]
		sent := time.Now()
		response := s.hosts[1].grantor.HandleRenewal("holder-0", 1, sent)
		assert.Assert(t, response.Fresh)
		time.Sleep(hostExpiryTimeout)
		holder.Renew(response, sent)
		assert.Assert(t, !holder.Valid(time.Now()))
	})
}

// TestNewLeaderWaitsForUnknownLeases elects a leader that receives renewals from two
// of three control processes. The third may still serve holders that the new leader
// does not know, so nothing may be in force until their leases have expired.
func TestNewLeaderWaitsForUnknownLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSteadySimulation(t)
		s.hosts[1].partitioned = true
		s.tracker = NewVersionTracker()
		s.tracker.BecomeLeader(time.Now())
		s.appendChange()
		for _, i := range []int{0, 2} {
			s.hosts[i].catchUp(len(s.log))
			s.hosts[i].grantor.renew(t.Context())
		}
		assert.Equal(t, s.versionInForce(), uint64(0))
		time.Sleep(hostExpiryTimeout + time.Millisecond)
		assert.Equal(t, s.versionInForce(), uint64(2))
		s.checkInvariants()
	})
}
