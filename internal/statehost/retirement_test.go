package statehost

import (
	"errors"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/raft"
)

// startRetirement asks a host to retire, through host b.
func (c *cluster) startRetirement(address string) {
	c.t.Helper()
	c.eventually("accept the retirement", func() error {
		return c.nodes["b"].host.StartRetirement(c.t.Context(), "host-"+address)
	})
}

// awaitRetirement waits until a host has retired, as host c sees it.
func (c *cluster) awaitRetirement(address string) {
	c.t.Helper()
	c.eventually("retire the host", func() error {
		done, err := c.nodes["c"].host.Retired(c.t.Context(), "host-"+address)
		if err == nil && !done {
			err = errors.New("host is not replaced yet")
		}
		return err
	})
}

// hostRetirement powers off a host as soon as it is reported as retired. Then another host
// loses its disk, and a third one is lost. The remaining hosts must have the whole state.
func hostRetirement(t *testing.T, c *cluster) {
	l := c.caller()
	defer l.pool.Close()
	l.keepFirstState(t, c)
	c.startRetirement("a")
	c.awaitRetirement("a")
	c.powerOff("a")
	time.Sleep(maxPowerLossDelay / 2)
	c.replaceDisk("b")
	c.checkRoutes(1)
	time.Sleep(catchUpDelay)
	c.powerOff("c")
	l.checkChain(t, "turn 1", 1)
}

// replacementDuringRetirement loses a host for good while another one retires. Its
// successor must not take the place of the retiring host, which would leave two voters:
// afterwards another host loses its disk.
func replacementDuringRetirement(t *testing.T, c *cluster) {
	l := c.caller()
	defer l.pool.Close()
	l.keepFirstState(t, c)
	c.powerOff("a")
	c.nodes["late"].bootstrap = false
	c.start("late")
	c.startRetirement("b")
	time.Sleep(catchUpDelay)
	c.replaceDisk("c")
	time.Sleep(catchUpDelay)
	l.keepTurn(t, "turn 2", "p", "turn 1")
	c.applyRoutes(2)
	c.awaitRetirement("b")
	c.powerOff("b")
	c.checkRoutes(2)
}

// foundedByStandbyHosts checks that regular hosts take over from standby hosts that were
// the seeds, and that the loss of all seeds then loses nothing.
func foundedByStandbyHosts(t *testing.T, c *cluster) {
	l := c.caller()
	defer l.pool.Close()
	l.keepTurn(t, "turn", "p", "")
	c.applyRoutes(1)
	time.Sleep(2 * catchUpDelay)
	c.powerOff("standby-1", "standby-2", "standby-3")
	c.checkRoutes(1)
	l.checkChain(t, "turn", 1)
}

// leaderOf returns the host that leads a group, or nil.
func (c *cluster) leaderOf(group uint64) *node {
	for _, n := range c.runningNodes() {
		status, err := n.host.replicas.Status(c.t.Context(), group)
		if err == nil && status.Role == raft.RoleLeader {
			return n
		}
	}
	return nil
}

const (
	// maxOperatorWait is the time within which an operator must get a response, so that
	// several attempts fit into the time in which a change must be acknowledged.
	maxOperatorWait = time.Second
	// maxRepeatedWait is the time within which an acknowledged change is acknowledged
	// again.
	maxRepeatedWait = 100 * time.Millisecond
)

// routesWhileLeaderIsFrozen changes the routes through hosts whose last known leader does
// not respond.
func routesWhileLeaderIsFrozen(t *testing.T, c *cluster) {
	c.applyRoutes(1)
	c.checkRoutes(1)
	frozen := c.leaderOf(ConfigGroup)
	c.setIsolated(frozen.address, true)
	start := time.Now()
	acknowledged := false
	for !acknowledged && time.Since(start) < 2*maxOperatorWait {
		for _, n := range c.runningNodes() {
			attempt := time.Now()
			err := n.host.ApplyRoutes(t.Context(), []byte(strconv.Itoa(2)))
			assert.Assert(t, time.Since(attempt) <= maxOperatorWait, "response of %s after %s", n.address, time.Since(attempt))
			acknowledged = acknowledged || err == nil
		}
	}
	assert.Assert(t, acknowledged, "no acknowledgement within %s", 2*maxOperatorWait)
	for _, n := range c.runningNodes() {
		attempt := time.Now()
		assert.NilError(t, n.host.ApplyRoutes(t.Context(), []byte(strconv.Itoa(2))))
		assert.Assert(t, time.Since(attempt) <= maxRepeatedWait, "repeated change acknowledged by %s after %s", n.address, time.Since(attempt))
	}
	c.setIsolated(frozen.address, false)
	c.checkRoutes(2)
}
