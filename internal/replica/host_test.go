package replica_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/internal/wal/waltest"
)

func TestReplicatesToAllHosts(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		leader := c.leader(testGroup)
		result, err := c.nodes[leader].host.Propose(t.Context(), testGroup, []byte("x=1"))
		assert.NilError(t, err)
		assert.Equal(t, result.Result, "")
		result, err = c.nodes[leader].host.Propose(t.Context(), testGroup, []byte("x=2"))
		assert.NilError(t, err)
		assert.Equal(t, result.Result, "1")
		for _, address := range c.addresses() {
			c.waitValue(address, "x", "2")
			assert.Equal(t, c.nodes[address].host.Leader(testGroup), leader)
		}
	})
}

func TestRequestsToFollowerAreRefused(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		host := c.nodes[c.follower()].host
		_, err := host.Propose(t.Context(), testGroup, []byte("x=1"))
		assert.ErrorIs(t, err, replica.ErrNotLeader)
		assert.ErrorIs(t, host.ReadBarrier(t.Context(), testGroup), replica.ErrNotLeader)
		_, err = host.Propose(t.Context(), 99, nil)
		assert.ErrorIs(t, err, replica.ErrUnknownGroup)
		assert.ErrorIs(t, host.ReadBarrier(t.Context(), 99), replica.ErrUnknownGroup)
		assert.Equal(t, host.Leader(99), "")
		assert.ErrorIs(t, host.AddGroup(testGroup, nil, newKV()), replica.ErrGroupExists)
	})
}

func TestRestartOfAllHostsKeepsState(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		c.putMany("before", 20)
		for _, address := range c.addresses() {
			c.kill(address)
		}
		for _, address := range c.addresses() {
			c.start(address, testGroup)
		}
		c.put(testGroup, "after", "1")
		for _, address := range c.addresses() {
			c.waitValue(address, "after", "1")
			assert.Equal(t, c.nodes[address].machines[testGroup].size(), 21)
		}
	})
}

func TestStopTransfersLeadership(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		leader := c.leader(testGroup)
		ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
		defer cancel()
		assert.NilError(t, c.nodes[leader].host.Stop(ctx))
		_, err := c.nodes[leader].host.Propose(t.Context(), testGroup, []byte("x=1"))
		assert.ErrorIs(t, err, replica.ErrStopped)
		c.network.detach(leader)
		c.nodes[leader].host = nil
		next := c.findLeader(testGroup, nil)
		assert.Assert(t, next != "", "no leader right after the stop")
		c.put(testGroup, "x", "2")
	})
}

// TestStopAnswersProposals stops the leader while clients propose. Each proposal that it
// has accepted must return its outcome, never ErrUncertain.
func TestStopAnswersProposals(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		const proposers = 20
		leader := c.leader(testGroup)
		host := c.nodes[leader].host
		var clients sync.WaitGroup
		for range proposers {
			clients.Go(func() {
				var err error
				for err == nil {
					_, err = host.Propose(t.Context(), testGroup, []byte("x=1"))
				}
				assert.Check(t, !errors.Is(err, replica.ErrUncertain), "%v", err)
			})
		}
		time.Sleep(electionTimeout)
		// The slow disk lets the other hosts commit the proposals before they are
		// durable on this one.
		c.nodes[leader].fs.SetFault(waltest.Fault{SyncDelay: 4 * tick})
		time.Sleep(2 * tick)
		ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
		defer cancel()
		assert.NilError(t, host.Stop(ctx))
		clients.Wait()
		c.network.detach(leader)
		c.nodes[leader].host = nil
	})
}

// TestHostsThatStopTogether stops two hosts that both lead groups, while the third one is
// down. They must not transfer leaderships back and forth, which would raise the terms
// of the groups and delay the stop.
func TestHostsThatStopTogether(t *testing.T) {
	const last = 16
	runCluster(t, func(t *testing.T, c *cluster) {
		c.addGroups(last)
		c.kill(c.follower())
		before := c.terms(last)
		ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
		defer cancel()
		start := time.Now()
		var stops sync.WaitGroup
		for _, address := range c.addresses() {
			if host := c.nodes[address].host; host != nil {
				stops.Go(func() { assert.Check(t, host.Stop(ctx)) })
			}
		}
		stops.Wait()
		assert.Assert(t, time.Since(start) < waitTimeout/2)
		for _, address := range c.addresses() {
			c.network.detach(address)
			c.nodes[address].host = nil
		}
		for _, address := range c.addresses() {
			c.start(address)
			for group := testGroup; group <= last; group++ {
				assert.NilError(t, c.addGroup(address, group))
			}
		}
		grown := c.terms(last) - before
		assert.Assert(t, grown <= 5*last, "%d terms in %d groups", grown, last)
	})
}

// terms returns the sum of the terms of all groups up to last, once each has a leader.
func (c *cluster) terms(last uint64) uint64 {
	c.t.Helper()
	sum := uint64(0)
	for group := testGroup; group <= last; group++ {
		sum += c.status(c.leader(group), group).Term
	}
	return sum
}
