package gateway

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestOverloadedServerGetsFewerConcurrentRequests has a server that refuses requests while more
// come than it has slots.
func TestOverloadedServerGetsFewerConcurrentRequests(t *testing.T) {
	f := newFixture(t, newBackend(t, "a", respondOK))
	servers := f.view.usableServers("s")
	sel := selection{servers: servers, now: testTime, mayAsk: true}
	fill := func() int {
		n := 0
		for f.loads.acquire(sel) != nil {
			n++
		}
		return n
	}
	full := fill()
	assert.Equal(t, full, servers[0].Slots)
	for range full {
		f.loads.release("a", outcomeRefused, testTime)
	}
	reduced := fill()
	assert.Assert(t, reduced <= full/2, "%d of %d", reduced, full)
	for range reduced {
		f.loads.release("a", outcomeOK, testTime)
	}
	waiting := sel
	waiting.mayAsk = false
	assert.Assert(t, f.loads.acquire(waiting) == nil, "places of a reduced window go to those that wait")
	for range 200 {
		f.loads.acquireServer("a")
		f.loads.release("a", outcomeOK, testTime)
	}
	assert.Equal(t, fill(), full)
}
