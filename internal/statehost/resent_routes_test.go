package statehost

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// resentRoutes guards against changes that are refused when they are sent again after their
// acknowledgement, and against copies of a change that each add its document to the log.
func resentRoutes(t *testing.T, c *cluster) {
	c.applyRoutes(7)
	c.checkRoutes(7)
	leader := c.leaderOf(ConfigGroup)
	before, err := leader.host.replicas.Status(t.Context(), ConfigGroup)
	assert.NilError(t, err)
	for range 20 {
		for _, n := range c.runningNodes() {
			for _, version := range []int{7, 3} {
				assert.NilError(t, n.host.ApplyRoutes(t.Context(), []byte(strconv.Itoa(version))))
			}
		}
	}
	after, err := leader.host.replicas.Status(t.Context(), ConfigGroup)
	assert.NilError(t, err)
	assert.Equal(t, after.CommitIndex, before.CommitIndex)
	c.checkRoutes(7)

	time.Sleep(time.Second) // until each host has applied the version
	c.setIsolated("a", true)
	time.Sleep(catchUpDelay)
	assert.NilError(t, c.nodes["a"].host.ApplyRoutes(t.Context(), []byte("7")))
	assert.ErrorIs(t, c.nodes["a"].host.ApplyRoutes(t.Context(), []byte("8")), ErrUnavailable)
	c.setIsolated("a", false)
	c.applyRoutes(9)
	c.checkRoutes(9)
}

func TestTransferTimeGrowsWithTheDocument(t *testing.T) {
	assert.Equal(t, transferTime(0), time.Duration(0))
	assert.Equal(t, transferTime(12<<20), 12*time.Second)
}
