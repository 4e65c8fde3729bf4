package replica_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/internal/wal/waltest"
	"ibistray.example/ibistray/proto/raftpb"
)

const quorumDelay = 5 * electionTimeout

// runUnstarted runs a test on three hosts, "a", "b" and "c", that are not started.
func runUnstarted(t *testing.T, configure func(*replica.Options), test func(*testing.T, *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t, network: newNetwork(), nodes: make(map[string]*node), configure: configure}
		for i, address := range []string{"a", "b", "c"} {
			c.members = append(c.members, &raftpb.Member{Id: uint64(i + 1), Address: address})
			c.nodes[address] = &node{address: address, fs: waltest.New()}
		}
		defer c.close()
		test(t, c)
	})
}

func quorumStarts(opts *replica.Options) { opts.BootstrapQuorumDelay = quorumDelay }

// A group never started if one of its initial members was lost before it had confirmed the others.
func TestGroupStartsWithoutALostInitialMember(t *testing.T) {
	runUnstarted(t, quorumStarts, func(t *testing.T, c *cluster) {
		c.start("a", testGroup)
		c.start("b", testGroup)
		time.Sleep(quorumDelay - electionTimeout)
		assert.Equal(t, c.status("a", testGroup).Active, false)
		c.put(testGroup, "x", "1")
		c.start("c", testGroup)
		c.waitValue("c", "x", "1")
		c.kill("a")
		c.put(testGroup, "x", "2") // with the vote of c
	})
}

// One member alone must not start a group, however long it waits.
func TestGroupDoesNotStartWithoutAMajority(t *testing.T) {
	runUnstarted(t, quorumStarts, func(t *testing.T, c *cluster) {
		c.start("a", testGroup)
		time.Sleep(10 * quorumDelay)
		assert.Equal(t, c.status("a", testGroup).Active, false)
	})
}

// A group never started if its initial members ended before it was active and were then started
// as hosts that join.
func TestInitialMembersContinueAfterARestart(t *testing.T) {
	runUnstarted(t, nil, func(t *testing.T, c *cluster) {
		c.start("a", testGroup)
		c.start("b", testGroup)
		time.Sleep(2 * electionTimeout)
		c.killAll()
		c.nodes["a"].joins, c.nodes["b"].joins = true, true
		for _, address := range c.addresses() {
			c.start(address, testGroup)
		}
		c.waitActive(testGroup)
		c.put(testGroup, "x", "1")
		c.killAll()
		for _, address := range c.addresses() {
			c.start(address, testGroup)
		}
		c.waitValue("c", "x", "1")
	})
}

// A host whose initial members were wrong at the first start uses those of the next one.
func TestInitialMembersAreReplacedByLaterOnes(t *testing.T) {
	runUnstarted(t, nil, func(t *testing.T, c *cluster) {
		members := c.members
		c.members = []*raftpb.Member{members[0], members[1], {Id: 3, Address: "unknown"}}
		c.start("a", testGroup)
		time.Sleep(2 * electionTimeout)
		c.killAll()
		c.members = members
		for _, address := range c.addresses() {
			c.start(address, testGroup)
		}
		c.waitActive(testGroup)
		c.put(testGroup, "x", "1")
		c.killAll()
		for _, address := range c.addresses() {
			c.start(address, testGroup)
		}
		c.waitValue("a", "x", "1")
		assert.Equal(t, len(c.status("a", testGroup).Membership.GetMembers()), 3)
		c.waitActive(testGroup)
	})
}

// A member that lost its disk and is refused must not continue as an initial member later.
func TestRefusedInitialMemberJoinsAfterARestart(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		lost := c.follower()
		oldID := c.memberID(lost)
		c.kill(lost)
		c.nodes[lost].fs = waltest.New()
		c.start(lost, testGroup)
		c.eventually("new identity", func() bool { return c.status(lost, testGroup).LostDisk })
		c.kill(lost)
		c.nodes[lost].joins = true
		c.start(lost, testGroup)
		assert.Assert(t, c.status(lost, testGroup).ID != oldID)
		c.put(testGroup, "x", "1")
		c.replaceMember(oldID, lost)
		c.waitValue(lost, "x", "1")
	})
}

// A group never started if most of its initial members ended before they had recorded anything.
func TestGroupStartsAfterMostInitialMembersBeginAnew(t *testing.T) {
	runUnstarted(t, quorumStarts, func(t *testing.T, c *cluster) {
		c.start("a", testGroup)
		for _, address := range []string{"b", "c"} {
			c.nodes[address].confirmed = true
			c.start(address, testGroup)
		}
		c.waitActive(testGroup)
		c.put(testGroup, "x", "1")
		c.killAll()
		for _, address := range c.addresses() {
			c.start(address, testGroup)
		}
		c.waitValue("b", "x", "1")
	})
}

// An initial member whose disk may have been emptied must not take part without all others, nor go on
// as one that a majority confirms after a restart, and must not take part if another one knows its disk.
func TestInitialMemberThatBeginsAnewNeedsAllOthers(t *testing.T) {
	runUnstarted(t, quorumStarts, func(t *testing.T, c *cluster) {
		c.start("a", testGroup)
		c.start("b", testGroup)
		c.put(testGroup, "x", "1")
		c.kill("b")
		c.kill("a")
		c.nodes["a"].fs, c.nodes["a"].confirmed = waltest.New(), true
		for range 2 {
			c.start("a", testGroup)
			c.start("c", testGroup)
			time.Sleep(10 * quorumDelay)
			assert.Equal(t, c.status("a", testGroup).Active, false)
			assert.Equal(t, c.nodes["a"].host.Stored(testGroup), false)
			c.kill("a")
			c.kill("c")
		}
		for _, address := range c.addresses() {
			c.start(address, testGroup)
		}
		c.waitValue("c", "x", "1")
		assert.Assert(t, c.status("a", testGroup).LostDisk)
	})
}

// An initial member that never took part and was replaced took part on an empty disk, since no other
// member knew an earlier disk of it.
func TestReplacedInitialMemberDoesNotBeginAnew(t *testing.T) {
	runUnstarted(t, quorumStarts, func(t *testing.T, c *cluster) {
		c.start("b", testGroup)
		c.start("c", testGroup)
		c.put(testGroup, "x", "1")
		c.nodes["a"].joins = true
		c.start("a", testGroup)
		c.replaceMember(1, "a")
		c.kill("a")
		c.nodes["a"] = &node{address: "a", fs: waltest.New(), confirmed: true}
		c.start("a", testGroup)
		c.eventually("new identity", func() bool { return c.status("a", testGroup).LostDisk })
	})
}
