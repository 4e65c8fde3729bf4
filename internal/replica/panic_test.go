package replica_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/replica"
)

// TestPanicOfAStateMachineStopsItsHost guards against a process that ends when a command cannot be
// applied. The host must stop without a further word and be as before when it is opened again.
func TestPanicOfAStateMachineStopsItsHost(t *testing.T) {
	failures := make(chan error, 3)
	reportFailure := func(opts *replica.Options) { opts.OnFailure = func(err error) { failures <- err } }
	runClusterWith(t, reportFailure, func(t *testing.T, c *cluster) {
		c.failure = replica.ErrPanic
		c.putMany("k", 20)
		address := c.leader(testGroup)
		n := c.nodes[address]
		n.machines[testGroup].panicAt("x")
		assert.ErrorIs(t, c.tryPut(address, testGroup, "x", "1"), replica.ErrUncertain)
		assert.ErrorIs(t, <-failures, replica.ErrPanic)
		<-n.host.Done()
		assert.ErrorIs(t, c.tryPut(address, testGroup, "x", "2"), replica.ErrStopped)
		c.put(testGroup, "y", "1", address)
		c.reopen(address)
		c.waitValue(address, "y", "1")
		c.waitValue(address, "x", "1")
		c.waitValue(address, "k-19", "value")
	})
}
