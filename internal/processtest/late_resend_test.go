package processtest

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// forgottenAfter is longer than a sidecar keeps the result of an ended attempt, which can't be
// observed from outside. With a shorter time the test proves less, but it doesn't fail.
const forgottenAfter = 40 * time.Second

// TestLateResendOfBookingOfKilledServer kills the entry through which a booking runs, and
// then the service, so that nobody records an outcome. The caller resends the call when
// the sidecar no longer keeps the result of the attempt. The booking must not run again.
func TestLateResendOfBookingOfKilledServer(t *testing.T) {
	s := startSystem(t, defaultContract(), slowService)
	call := booking("plan", "convoy-7")
	first := s.startBooking(s.Nodes[0].URL(), call)
	s.Nodes[0].Kill()
	s.Service.Backend.Kill()
	assert.Assert(t, (<-first).err != nil)
	assert.NilError(t, s.Service.Backend.Start())
	time.Sleep(forgottenAfter)
	s.waitForServers(s.Nodes[1].URL(), s.Nodes[2].URL())
	for _, node := range s.Nodes[1:] {
		_, err := s.sendOnce(node.URL(), call)
		assert.Check(t, s.effectCount(call) == 1, "the booking ran %d times", s.effectCount(call))
		assertOutcomeUnknown(t, err)
	}
}
