package replica_test

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/raft"
	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/internal/wal/waltest"
	"ibistray.example/ibistray/proto/raftpb"
)

const (
	tick            = 10 * time.Millisecond
	electionTimeout = raft.DefaultElectionTicks * tick
	waitTimeout     = 100 * electionTimeout // virtual time
	testGroup       = uint64(1)
)

// cluster runs hosts in the virtual time of a synctest bubble.
type cluster struct {
	t         *testing.T
	network   *network
	nodes     map[string]*node
	members   []*raftpb.Member // initial members of each group
	configure func(*replica.Options)
	failure   error // with which hosts may have stopped; nil: replica.ErrStorage
}

// node is one host with its disk, which survives restarts.
type node struct {
	address  string
	fs       *waltest.FS
	host     *replica.Host // nil while the process is not running
	endpoint *endpoint
	machines map[uint64]*kv
	joins    bool // its replicas wait to be added to their groups
	// confirmed says that its replicas are initial members that all others must confirm.
	confirmed bool
}

// runCluster runs a test on three hosts, "a", "b" and "c", with one group that has a
// leader.
func runCluster(t *testing.T, test func(*testing.T, *cluster)) {
	t.Helper()
	runClusterWith(t, nil, test)
}

func runClusterWith(t *testing.T, configure func(*replica.Options), test func(*testing.T, *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t, network: newNetwork(), nodes: make(map[string]*node), configure: configure}
		for i, address := range []string{"a", "b", "c"} {
			c.members = append(c.members, &raftpb.Member{
				Id:            uint64(i + 1),
				Address:       address,
				FailureDomain: "domain-" + address,
			})
			c.nodes[address] = &node{address: address, fs: waltest.New()}
		}
		defer c.close()
		for _, address := range c.addresses() {
			c.start(address, testGroup)
		}
		c.waitActive(testGroup)
		c.leader(testGroup)
		test(t, c)
	})
}

func (c *cluster) addresses() []string {
	var addresses []string
	for address := range c.nodes {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

// open starts a host without groups.
func (c *cluster) open(address string) error {
	n := c.nodes[address]
	n.endpoint = &endpoint{network: c.network, address: address}
	n.machines = make(map[uint64]*kv)
	opts := replica.Options{
		Dir:          "/data",
		FS:           n.fs,
		Address:      address,
		Transport:    n.endpoint,
		TickInterval: tick,
		Workers:      2,
		Seed:         uint64(address[0]),
	}
	if c.configure != nil {
		c.configure(&opts)
	}
	host, err := replica.NewHost(opts)
	if err != nil {
		return err
	}
	n.host = host
	c.network.attach(address, host)
	return nil
}

// start starts a host with groups.
func (c *cluster) start(address string, groups ...uint64) {
	c.t.Helper()
	assert.NilError(c.t, c.open(address))
	for _, group := range groups {
		assert.NilError(c.t, c.addGroup(address, group))
	}
}

func (c *cluster) addGroup(address string, group uint64) error {
	n := c.nodes[address]
	members := c.members
	if n.joins {
		members = nil
	}
	n.machines[group] = newKV()
	if n.confirmed && !n.host.Stored(group) {
		return n.host.AddConfirmedGroup(group, members, n.machines[group])
	}
	return n.host.AddGroup(group, members, n.machines[group])
}

// addNode starts a new host, whose replicas wait to be added to their groups.
func (c *cluster) addNode(address string, groups ...uint64) {
	c.t.Helper()
	c.nodes[address] = &node{address: address, fs: waltest.New(), joins: true}
	c.start(address, groups...)
}

// kill stops a host abruptly. Its disk loses all unsynced data.
func (c *cluster) kill(address string) {
	c.t.Helper()
	n := c.nodes[address]
	if n.host == nil {
		return
	}
	n.endpoint.stopped.Store(true)
	c.network.detach(address)
	n.fs = n.fs.Crash(waltest.LoseUnsynced)
	c.stopNow(n)
}

// killAll simulates a power failure of all hosts at the same time.
func (c *cluster) killAll() {
	c.t.Helper()
	disks := make(map[string]*waltest.FS)
	for _, address := range c.addresses() {
		disks[address] = c.nodes[address].fs.Crash(waltest.LoseUnsynced)
	}
	for _, address := range c.addresses() {
		c.kill(address)
		c.nodes[address].fs = disks[address]
	}
}

func (c *cluster) stopNow(n *node) {
	c.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := n.host.Stop(ctx); err != nil {
		assert.ErrorIs(c.t, err, cmp.Or(c.failure, replica.ErrStorage))
	}
	n.host = nil
}

func (c *cluster) close() {
	for _, address := range c.addresses() {
		n := c.nodes[address]
		if n.host != nil {
			c.network.detach(address)
			c.stopNow(n)
		}
	}
}

// eventually waits, in virtual time, until a condition holds, and fails the test after
// waitTimeout.
func (c *cluster) eventually(what string, condition func() bool) {
	c.t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > waitTimeout {
			c.t.Fatalf("%s: not within %s", what, waitTimeout)
		}
		time.Sleep(tick / 2)
	}
}

// leader waits until a host not in except leads a group and confirms a read.
func (c *cluster) leader(group uint64, except ...string) string {
	c.t.Helper()
	found := ""
	c.eventually("leader", func() bool {
		found = c.findLeader(group, except)
		return found != ""
	})
	return found
}

func (c *cluster) findLeader(group uint64, except []string) string {
	for _, address := range c.addresses() {
		n := c.nodes[address]
		if n.host == nil || slices.Contains(except, address) {
			continue
		}
		status, err := n.host.Status(c.t.Context(), group)
		if err == nil && status.Role == raft.RoleLeader && c.confirmsRead(n, group) {
			return address
		}
	}
	return ""
}

func (c *cluster) confirmsRead(n *node, group uint64) bool {
	ctx, cancel := context.WithTimeout(c.t.Context(), electionTimeout)
	defer cancel()
	return n.host.ReadBarrier(ctx, group) == nil
}

// put writes a key through a leader that is not in except, and retries until that
// succeeds.
func (c *cluster) put(group uint64, key, value string, except ...string) {
	c.t.Helper()
	c.eventually("put "+key, func() bool {
		address := c.findLeader(group, except)
		if address == "" {
			return false
		}
		return c.tryPut(address, group, key, value) == nil
	})
}

func (c *cluster) tryPut(address string, group uint64, key, value string) error {
	ctx, cancel := context.WithTimeout(c.t.Context(), 5*electionTimeout)
	defer cancel()
	_, err := c.nodes[address].host.Propose(ctx, group, []byte(key+"="+value))
	return err
}

// putMany writes keys "prefix-0" to "prefix-(count-1)".
func (c *cluster) putMany(prefix string, count int) {
	c.t.Helper()
	for i := range count {
		c.put(testGroup, fmt.Sprintf("%s-%d", prefix, i), "value")
	}
}

// waitValue waits until a host has applied a value in testGroup.
func (c *cluster) waitValue(address, key, value string) {
	c.t.Helper()
	c.eventually(address+" holds "+key, func() bool {
		return c.nodes[address].machines[testGroup].get(key) == value
	})
}

func (c *cluster) status(address string, group uint64) replica.GroupStatus {
	c.t.Helper()
	status, err := c.nodes[address].host.Status(c.t.Context(), group)
	assert.NilError(c.t, err)
	return status
}

// follower returns a running host that does not lead testGroup.
func (c *cluster) follower() string {
	c.t.Helper()
	leader := c.leader(testGroup)
	for _, address := range c.addresses() {
		if address != leader && c.nodes[address].host != nil {
			return address
		}
	}
	c.t.Fatal("no follower")
	return ""
}
