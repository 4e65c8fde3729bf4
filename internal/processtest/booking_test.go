package processtest

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/load"
	"ibistray.example/ibistray/internal/localcluster"
)

// slowService gives a test the time to end a process while a booking runs.
var slowService = localcluster.Options{ServiceArgs: []string{"--delay", "1500ms"}}

// sent is the outcome of a call that runs in the background.
type sent struct {
	answer *load.ServiceAnswer
	err    error
}

// sendBooking sends a booking to one entry and returns once it has its effect.
func (s *system) sendBooking(base string, call load.ServiceCall) <-chan sent {
	s.t.Helper()
	outcome := make(chan sent, 1)
	go func() {
		answer, err := s.once(base, call)
		outcome <- sent{answer, err}
	}()
	s.wait("the effect of "+call.CallID, func() bool { return s.effectsOf(call) > 0 })
	return outcome
}

// TestEntryKilledDuringBooking kills the entry through which a booking runs. The
// caller asks another entry and gets the answer of the one run.
func TestEntryKilledDuringBooking(t *testing.T) {
	s := startSystem(t, defaultContract(), slowService)
	call := booking("plan", "convoy-7")
	first := s.sendBooking(s.Nodes[0].URL(), call)
	s.Nodes[0].Kill()
	assert.Assert(t, (<-first).err != nil)
	answer, err := s.client(s.Nodes[1].URL()).CallService(s.ctx, call)
	assert.NilError(t, err)
	again, err := s.client(s.Nodes[2].URL()).CallService(s.ctx, call)
	assert.NilError(t, err)
	assert.Equal(t, string(again.Body), string(answer.Body))
	assert.Equal(t, s.effectsOf(call), 1)
}

// TestSidecarCommitsForALostEntry kills the entry through which a booking runs and
// does not ask again: the sidecar makes the answer durable.
func TestSidecarCommitsForALostEntry(t *testing.T) {
	s := startSystem(t, defaultContract(), slowService)
	call := booking("plan", "convoy-7")
	first := s.sendBooking(s.Nodes[0].URL(), call)
	s.Nodes[0].Kill()
	assert.Assert(t, (<-first).err != nil)
	s.waitIdle()
	answer, err := s.once(s.Nodes[1].URL(), call)
	assert.NilError(t, err)
	assert.Assert(t, len(answer.Body) > 0)
	assert.Equal(t, s.effectsOf(call), 1)
}

// TestSidecarKilledDuringBooking kills the sidecar of the service while a
// booking runs. Nobody can tell its outcome any more: every resend says so, and
// none runs it again.
func TestSidecarKilledDuringBooking(t *testing.T) {
	s := startSystem(t, defaultContract(), slowService)
	call := booking("plan", "convoy-7")
	first := s.sendBooking(s.Nodes[0].URL(), call)
	s.Service.Sidecar.Kill()
	assert.NilError(t, s.Service.Sidecar.Start())
	assertUnknown(t, (<-first).err)
	s.waitServers(s.EntryURLs()...)
	for _, base := range s.EntryURLs() {
		_, err := s.once(base, call)
		assertUnknown(t, err)
	}
	assert.Equal(t, s.effectsOf(call), 1)
	next := booking("plan", "convoy-8")
	_, err := s.client(s.EntryURLs()...).CallService(s.ctx, next)
	assert.NilError(t, err)
	assert.Equal(t, s.effectsOf(next), 1)
}

// TestBookingAfterSidecarRestart sends bookings at once after the sidecar was
// started again, while entries still know the former process. None of them ran
// there, so each is answered.
func TestBookingAfterSidecarRestart(t *testing.T) {
	s := startSystem(t, defaultContract(), localcluster.Options{})
	const rounds = 4
	for round := range rounds {
		s.Service.Sidecar.Kill()
		assert.NilError(t, s.Service.Sidecar.Start())
		assert.NilError(t, s.Probe.WaitReady(s.ctx, s.Service.SidecarURL()))
		call := booking("plan", fmt.Sprintf("convoy-%d", round))
		_, err := s.client(s.EntryURLs()[round%len(s.EntryURLs())]).CallService(s.ctx, call)
		assert.NilError(t, err)
		assert.Equal(t, s.effectsOf(call), 1)
	}
}

func assertUnknown(t *testing.T, err error) {
	t.Helper()
	var failure *load.CallError
	assert.Assert(t, errors.As(err, &failure), "%v", err)
	assert.Equal(t, failure.Reason, "outcome_unknown")
	assert.Assert(t, !failure.NotRun)
}

// TestFrozenEntryWakesUpLate freezes the entry through which a booking runs until
// the caller has its answer through another entry. What the first one does when
// it wakes up changes nothing.
func TestFrozenEntryWakesUpLate(t *testing.T) {
	s := startSystem(t, defaultContract(), slowService)
	call := booking("plan", "convoy-7")
	first := s.sendBooking(s.Nodes[0].URL(), call)
	assert.NilError(t, s.Nodes[0].Pause())
	answer, err := s.client(s.Nodes[1].URL()).CallService(s.ctx, call)
	assert.NilError(t, err)
	assert.NilError(t, s.Nodes[0].Resume())
	late := <-first
	if late.err == nil {
		assert.Equal(t, string(late.answer.Body), string(answer.Body))
	}
	again, err := s.client(s.Nodes[0].URL()).CallService(s.ctx, call)
	assert.NilError(t, err)
	assert.Equal(t, string(again.Body), string(answer.Body))
	assert.Equal(t, s.effectsOf(call), 1)
}

// TestFrozenSidecarWakesUpLate freezes the sidecar that runs a booking until the
// entry has given the call up. When the sidecar wakes up nothing runs again,
// and the outcome on record stays.
func TestFrozenSidecarWakesUpLate(t *testing.T) {
	s := startSystem(t, defaultContract(), slowService)
	call := booking("plan", "convoy-7")
	first := s.sendBooking(s.Nodes[0].URL(), call)
	assert.NilError(t, s.Service.Sidecar.Pause())
	assertUnknown(t, (<-first).err)
	assert.NilError(t, s.Service.Sidecar.Resume())
	s.waitServers(s.EntryURLs()...)
	for _, base := range s.EntryURLs() {
		_, err := s.once(base, call)
		assertUnknown(t, err)
	}
	next := booking("plan", "convoy-8")
	_, err := s.client(s.EntryURLs()...).CallService(s.ctx, next)
	assert.NilError(t, err)
	assert.Equal(t, s.effectsOf(call), 1)
	assert.Equal(t, s.effectsOf(next), 1)
}
