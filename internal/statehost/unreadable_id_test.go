package statehost

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/fleet"
	"ibistray.example/ibistray/proto/fleetpb"
)

// unreadableServerIDs guards against reports of backend servers that no message can carry:
// every update that included one failed, so that hosts and entries received no updates at all.
func unreadableServerIDs(t *testing.T, c *cluster) {
	time.Sleep(catchUpDelay)
	first := c.nodes["a"].host
	c.eventually("contact", func() error { return first.Heartbeat(readyServer("first", 1)) })
	long := strings.Repeat("x", 1<<20)
	var refusals []error
	for _, id := range []string{"\xff\xfe", "i-\x80", long} {
		refusals = append(refusals, first.Heartbeat(readyServer(id, 2)), first.Deregister(id, 0))
	}
	for i := range 20 {
		// As a build that accepts such names sends them.
		report := &fleetpb.Instance{Id: fmt.Sprint("long-", i), Service: long, Address: "10.0.2.1:80", Sequence: 1}
		first.mergePeerUpdate("b", &fleetpb.Update{Instances: []*fleetpb.Instance{report}})
	}
	assert.NilError(t, first.Heartbeat(readyServer("last", 3)))
	for _, address := range []string{"b", "c"} {
		c.eventually("updates at "+address, func() error {
			known := c.nodes[address].host.servers.NewestByAddress(nil)
			if !slices.ContainsFunc(known, func(i *fleet.Instance) bool { return i.ID == "last" }) {
				return fmt.Errorf("%d servers are known, not the last one", len(known))
			}
			return nil
		})
	}
	for _, err := range refusals {
		assert.ErrorIs(t, err, fleet.ErrInvalid)
	}
}

// manyServers reports more servers than one update carries.
func manyServers(t *testing.T, c *cluster) {
	time.Sleep(catchUpDelay)
	const count = 3*maxReportsPerUpdate + 1
	c.setCut("a", "b")
	c.eventually("contact", func() error { return c.nodes["a"].host.Heartbeat(readyServer("0", 1)) })
	for n := range count {
		assert.NilError(t, c.nodes["a"].host.Heartbeat(readyServer(fmt.Sprint(n), n%200+1)))
	}
	c.setCut("", "")
	c.eventually("all reports", func() error {
		known, _ := c.nodes["b"].host.servers.ChangedSince(0, true)
		if len(known) != count {
			return fmt.Errorf("%d of %d servers are known", len(known), count)
		}
		return nil
	})
}

// readyServer returns a heartbeat of a ready server.
func readyServer(id string, host int) *fleet.Instance {
	return &fleet.Instance{ID: id, Service: "chat", Address: fmt.Sprintf("10.0.0.%d:80", host), StartUnixMs: 1, Sequence: 2, LastHeartbeat: time.Now()}
}
