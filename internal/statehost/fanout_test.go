package statehost

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/fleet"
	"ibistray.example/ibistray/proto/fleetpb"
)

// separated reports whether connections between two hosts drop all data. The caller holds
// the mutex.
func (c *cluster) separated(a, b string) bool {
	return c.isolated[a] || c.isolated[b] || c.cut == [2]string{a, b} || c.cut == [2]string{b, a}
}

// setCut cuts the connections between two hosts, or none.
func (c *cluster) setCut(a, b string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = [2]string{a, b}
}

// sendHeartbeats sends one heartbeat of each of count backend servers to a host.
func (c *cluster) sendHeartbeats(address string, count int, sequence uint64) {
	c.t.Helper()
	for i := range count {
		assert.NilError(c.t, c.nodes[address].host.Heartbeat(&fleet.Instance{
			ID: fmt.Sprint("server-", i), Service: "chat", Address: fmt.Sprintf("10.0.0.%d:80", i+1),
			State: fleetpb.State_STATE_READY, StartUnixMs: 1, Sequence: sequence, LastHeartbeat: time.Now(),
		}))
	}
}

// reportsSent returns how many reports of backend servers the hosts have sent to each other.
func (c *cluster) reportsSent() int {
	total := 0.0
	for _, address := range c.addresses() {
		families, err := c.nodes[address].registry.Gather()
		assert.NilError(c.t, err)
		for _, family := range families {
			for _, metric := range family.GetMetric() {
				if family.GetName() == "ibistray_watch_reports_total" && metric.GetLabel()[0].GetValue() == watcherPeer {
					total += metric.GetCounter().GetValue()
				}
			}
		}
	}
	return int(total)
}

// heartbeatsTravelOnce counts the reports that hosts send each other: each heartbeat goes
// from its receiver to each other host, and no host passes it on.
func heartbeatsTravelOnce(t *testing.T, c *cluster) {
	const servers, rounds = 10, 5
	c.eventually("contact", func() error {
		return c.nodes["a"].host.Heartbeat(&fleet.Instance{ID: "x", Service: "chat", Address: "10.0.1.1:80"})
	})
	time.Sleep(catchUpDelay)
	c.sendHeartbeats("a", servers, 1)
	time.Sleep(time.Second)
	before := c.reportsSent()
	for round := range rounds {
		c.sendHeartbeats("a", servers, uint64(round+2))
		time.Sleep(time.Second)
	}
	others := len(c.addresses()) - 1
	assert.Equal(t, c.reportsSent()-before, servers*rounds*others)
}

// heartbeatsReachCutOffHost sends all heartbeats to a host that another one cannot reach. The
// other one must receive them through the rest and must not take the servers for silent.
func heartbeatsReachCutOffHost(t *testing.T, c *cluster) {
	time.Sleep(catchUpDelay)
	c.eventually("contact", func() error {
		return c.nodes["a"].host.Heartbeat(&fleet.Instance{ID: "x", Service: "chat", Address: "10.0.1.1:80"})
	})
	c.sendHeartbeats("a", 3, 1)
	time.Sleep(time.Second)
	c.setCut("a", "c")
	silentSamples := 0
	for sequence := range uint64(20) {
		c.sendHeartbeats("a", 3, sequence+2)
		for range 10 {
			time.Sleep(100 * time.Millisecond)
			instances := c.nodes["c"].host.servers.NewestByAddress(nil)
			silent := slices.ContainsFunc(instances, func(i *fleet.Instance) bool { return i.Silent && i.ID != "x" })
			if !silent {
				silentSamples = 0
				continue
			}
			silentSamples++
			assert.Assert(t, silentSamples <= 2, "servers are silent at the host that is cut off")
		}
	}
}
