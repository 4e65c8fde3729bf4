package replica_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/internal/wal/waltest"
	"ibistray.example/ibistray/proto/raftpb"
)

const manyGroups = uint64(64)

func (c *cluster) addGroups(last uint64) {
	c.t.Helper()
	for group := testGroup + 1; group <= last; group++ {
		for _, address := range c.addresses() {
			assert.NilError(c.t, c.addGroup(address, group))
		}
	}
	c.waitActive(last)
}

// TestGroupsShareSyncs proposes to many groups at once while the disks are slow. The
// log must sync the entries of many groups together.
func TestGroupsShareSyncs(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		c.addGroups(manyGroups)
		for group := testGroup; group <= manyGroups; group++ {
			c.put(group, "x", "1")
		}
		leaders := make(map[uint64]string)
		for group := testGroup; group <= manyGroups; group++ {
			leaders[group] = c.leader(group)
		}
		var before int
		for _, n := range c.nodes {
			n.fs.SetFault(waltest.Fault{SyncDelay: linkDelay})
			before += n.fs.SyncCount()
		}
		var clients sync.WaitGroup
		for group := testGroup; group <= manyGroups; group++ {
			clients.Go(func() { assert.Check(t, c.tryPut(leaders[group], group, "x", "2")) })
		}
		clients.Wait()
		after := 0
		for _, n := range c.nodes {
			after += n.fs.SyncCount()
		}
		assert.Assert(t, after-before <= 12, "%d syncs", after-before)
	})
}

// TestIdleGroupsSendNothing counts messages while all groups are quiesced. Only the
// heartbeats between hosts may be sent, whose number does not depend on the number
// of groups.
func TestIdleGroupsSendNothing(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		c.addGroups(manyGroups)
		for group := testGroup; group <= manyGroups; group++ {
			c.leader(group)
		}
		for group := testGroup; group <= manyGroups; group++ {
			c.waitQuiesced(group)
		}
		time.Sleep(2 * linkDelay)
		grouped := c.network.groupMessages.Load()
		before := c.network.messages.Load()
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, c.network.groupMessages.Load(), grouped)
		heartbeats := int64(3 * 2 * time.Second / (2 * tick))
		sent := c.network.messages.Load() - before
		assert.Assert(t, sent <= heartbeats+6, "%d messages, want %d", sent, heartbeats)
	})
}

// TestInactiveGroupReleasesLogSegments writes many entries to one group and one entry to
// another. The inactive group must not keep old log segments from being removed.
func TestInactiveGroupReleasesLogSegments(t *testing.T) {
	smallSegments := func(opts *replica.Options) {
		opts.SegmentSize = 1 << 10
		opts.MaxSegments = 4
		opts.SnapshotEntries = 50
	}
	runClusterWith(t, smallSegments, func(t *testing.T, c *cluster) {
		c.addGroups(2)
		c.put(2, "little", "1")
		for i := range 300 {
			c.put(testGroup, fmt.Sprintf("much-%d", i), "value")
		}
		c.eventually("segments removed", func() bool {
			for _, n := range c.nodes {
				if len(n.fs.Files(".wal")) > 8 {
					return false
				}
			}
			return true
		})
		for _, address := range c.addresses() {
			c.kill(address)
		}
		for _, address := range c.addresses() {
			c.start(address, testGroup, 2)
		}
		leader := c.leader(2)
		assert.Equal(t, c.nodes[leader].machines[2].get("little"), "1")
		leader = c.leader(testGroup)
		assert.Equal(t, c.nodes[leader].machines[testGroup].size(), 300)
	})
}

// TestRemovedReplicaGetsNewID removes a replica and adds its group again with the
// initial members. The replica must get a new ID, even after a restart, and not
// participate under the earlier one.
func TestRemovedReplicaGetsNewID(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		c.put(testGroup, "x", "1")
		removed := c.follower()
		oldID := c.memberID(removed)
		assert.NilError(t, c.nodes[c.leader(testGroup)].host.RemoveMember(t.Context(), testGroup, oldID))
		host := c.nodes[removed].host
		assert.NilError(t, host.RemoveGroup(testGroup))
		assert.ErrorIs(t, host.RemoveGroup(testGroup), replica.ErrUnknownGroup)
		assert.NilError(t, c.addGroup(removed, testGroup))
		assert.Assert(t, c.status(removed, testGroup).ID != oldID)

		assert.NilError(t, host.RemoveGroup(testGroup))
		c.kill(removed)
		c.start(removed, testGroup)
		assert.Assert(t, c.status(removed, testGroup).ID != oldID)
		time.Sleep(10 * electionTimeout)
		assert.Equal(t, c.nodes[removed].machines[testGroup].get("x"), "")
	})
}

// TestSingleMember runs a group with one member. AddGroup must reject initial
// members that do not include its host.
func TestSingleMember(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		const group = 7
		machine := newKV()
		host := c.nodes["b"].host
		assert.NilError(t, host.AddGroup(group, []*raftpb.Member{{Id: 5, Address: "b"}}, machine))
		c.eventually("leader", func() bool { return host.Leader(group) == "b" })
		_, err := host.Propose(t.Context(), group, []byte("x=1"))
		assert.NilError(t, err)
		assert.NilError(t, host.ReadBarrier(t.Context(), group))
		assert.Equal(t, machine.get("x"), "1")
		err = host.AddGroup(8, []*raftpb.Member{{Id: 5, Address: "elsewhere"}}, machine)
		assert.ErrorIs(t, err, replica.ErrConfig)
	})
}
