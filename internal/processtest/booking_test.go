package processtest

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/load"
	"ibistray.example/ibistray/internal/localcluster"
)

// slowService makes bookings slow enough for a test to kill or pause a process while
// one is running.
var slowService = localcluster.Options{ServiceArgs: []string{"--delay", "1500ms"}}

// serviceOutcome is the outcome of a service call that runs in the background.
type serviceOutcome struct {
	answer *load.ServiceAnswer
	err    error
}

// startBooking sends a booking to one entry in the background and returns once the
// booking has taken effect.
func (s *system) startBooking(url string, call load.ServiceCall) <-chan serviceOutcome {
	s.t.Helper()
	outcome := make(chan serviceOutcome, 1)
	go func() {
		answer, err := s.sendOnce(url, call)
		outcome <- serviceOutcome{answer, err}
	}()
	s.waitFor("the effect of "+call.CallID, func() bool { return s.effectCount(call) > 0 })
	return outcome
}

// TestEntryKilledDuringBooking kills the entry through which a booking runs. The caller
// resends the call to other entries and gets the answer of the first and only run.
func TestEntryKilledDuringBooking(t *testing.T) {
	s := startSystem(t, defaultContract(), slowService)
	call := booking("plan", "convoy-7")
	first := s.startBooking(s.Nodes[0].URL(), call)
	s.Nodes[0].Kill()
	assert.Assert(t, (<-first).err != nil)
	answer, err := s.client(s.Nodes[1].URL()).CallService(s.ctx, call)
	assert.NilError(t, err)
	again, err := s.client(s.Nodes[2].URL()).CallService(s.ctx, call)
	assert.NilError(t, err)
	assert.Equal(t, string(again.Body), string(answer.Body))
	assert.Equal(t, s.effectCount(call), 1)
}

// TestSidecarCommitsAnswerOfKilledEntry kills the entry through which a booking runs. The
// sidecar must commit the answer to the program ledger without a resend by the caller.
func TestSidecarCommitsAnswerOfKilledEntry(t *testing.T) {
	s := startSystem(t, defaultContract(), slowService)
	call := booking("plan", "convoy-7")
	first := s.startBooking(s.Nodes[0].URL(), call)
	s.Nodes[0].Kill()
	assert.Assert(t, (<-first).err != nil)
	s.waitIdle()
	answer, err := s.sendOnce(s.Nodes[1].URL(), call)
	assert.NilError(t, err)
	assert.Assert(t, len(answer.Body) > 0)
	assert.Equal(t, s.effectCount(call), 1)
}

// TestSidecarKilledDuringBooking kills the sidecar of the service while a booking runs,
// so that its outcome can't be determined any more. Every resend must report an unknown
// outcome, and none may run the booking again.
func TestSidecarKilledDuringBooking(t *testing.T) {
	s := startSystem(t, defaultContract(), slowService)
	call := booking("plan", "convoy-7")
	first := s.startBooking(s.Nodes[0].URL(), call)
	s.Service.Sidecar.Kill()
	assert.NilError(t, s.Service.Sidecar.Start())
	assertOutcomeUnknown(t, (<-first).err)
	s.waitForServers(s.EntryURLs()...)
	for _, url := range s.EntryURLs() {
		_, err := s.sendOnce(url, call)
		assertOutcomeUnknown(t, err)
	}
	assert.Equal(t, s.effectCount(call), 1)
	next := booking("plan", "convoy-8")
	_, err := s.client(s.EntryURLs()...).CallService(s.ctx, next)
	assert.NilError(t, err)
	assert.Equal(t, s.effectCount(next), 1)
}

// TestBookingAfterSidecarRestart sends bookings right after a restart of the sidecar,
// while the entries still know its previous process. No booking ran there, so each must
// be answered.
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
		assert.Equal(t, s.effectCount(call), 1)
	}
}

func assertOutcomeUnknown(t *testing.T, err error) {
	t.Helper()
	var callErr *load.CallError
	assert.Assert(t, errors.As(err, &callErr), "%v", err)
	assert.Equal(t, callErr.Reason, "outcome_unknown")
	assert.Assert(t, !callErr.NotRun)
}

// TestPausedEntryResumesAfterRetry pauses the entry through which a booking runs until the
// caller has the answer through another entry. When the first entry resumes, it must not
// run the booking again or change the answer.
func TestPausedEntryResumesAfterRetry(t *testing.T) {
	s := startSystem(t, defaultContract(), slowService)
	call := booking("plan", "convoy-7")
	first := s.startBooking(s.Nodes[0].URL(), call)
	assert.NilError(t, s.Nodes[0].Pause())
	answer, err := s.client(s.Nodes[1].URL()).CallService(s.ctx, call)
	assert.NilError(t, err)
	assert.NilError(t, s.Nodes[0].Resume())
	firstOutcome := <-first
	if firstOutcome.err == nil {
		assert.Equal(t, string(firstOutcome.answer.Body), string(answer.Body))
	}
	again, err := s.client(s.Nodes[0].URL()).CallService(s.ctx, call)
	assert.NilError(t, err)
	assert.Equal(t, string(again.Body), string(answer.Body))
	assert.Equal(t, s.effectCount(call), 1)
}

// TestPausedSidecarResumesAfterTimeout pauses the sidecar that runs a booking until the
// entry gives the call up. When the sidecar resumes, nothing may run again, and the
// recorded outcome must stay.
func TestPausedSidecarResumesAfterTimeout(t *testing.T) {
	s := startSystem(t, defaultContract(), slowService)
	call := booking("plan", "convoy-7")
	first := s.startBooking(s.Nodes[0].URL(), call)
	assert.NilError(t, s.Service.Sidecar.Pause())
	assertOutcomeUnknown(t, (<-first).err)
	assert.NilError(t, s.Service.Sidecar.Resume())
	s.waitForServers(s.EntryURLs()...)
	for _, url := range s.EntryURLs() {
		_, err := s.sendOnce(url, call)
		assertOutcomeUnknown(t, err)
	}
	next := booking("plan", "convoy-8")
	_, err := s.client(s.EntryURLs()...).CallService(s.ctx, next)
	assert.NilError(t, err)
	assert.Equal(t, s.effectCount(call), 1)
	assert.Equal(t, s.effectCount(next), 1)
}
