package replica_test

import (
	"context"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/raft"
	"ibistray.example/ibistray/proto/raftpb"
)

func (c *cluster) waitQuiesced(group uint64) {
	c.t.Helper()
	c.eventually("quiesced", func() bool {
		for _, address := range c.addresses() {
			if n := c.nodes[address]; n.host != nil && !c.status(address, group).Quiesced {
				return false
			}
		}
		return true
	})
}

// memberID returns the replica ID of the member with an address.
func (c *cluster) memberID(address string) uint64 {
	c.t.Helper()
	members, err := c.nodes[c.leader(testGroup)].host.Members(c.t.Context(), testGroup)
	assert.NilError(c.t, err)
	for _, member := range members {
		if member.GetAddress() == address {
			return member.GetId()
		}
	}
	c.t.Fatalf("%s is not a member", address)
	return 0
}

func (c *cluster) newMember(address string) *raftpb.Member {
	c.t.Helper()
	id, err := c.nodes[address].host.ReplicaID(testGroup)
	assert.NilError(c.t, err)
	return &raftpb.Member{Id: id, Address: address, FailureDomain: "domain-" + address}
}

// replaceMember replaces a member with the replica of a host, and retries until that
// succeeds.
func (c *cluster) replaceMember(oldID uint64, address string) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), waitTimeout)
	defer cancel()
	member := c.newMember(address)
	c.eventually("replacement", func() bool {
		leader := c.leader(testGroup)
		err := c.nodes[leader].host.ReplaceMember(ctx, testGroup, oldID, member)
		if err != nil {
			c.t.Logf("replacement: %v", err)
		}
		return err == nil
	})
}

// hostExcept returns the first of the hosts "a", "b" and "c" that is not in addresses.
func (c *cluster) hostExcept(addresses ...string) string {
	for _, member := range c.members {
		found := false
		for _, address := range addresses {
			found = found || address == member.GetAddress()
		}
		if !found {
			return member.GetAddress()
		}
	}
	c.t.Fatal("no other host")
	return ""
}

// claimedLeader returns a running host that considers itself the leader, or "".
func (c *cluster) claimedLeader() string {
	for _, address := range c.addresses() {
		n := c.nodes[address]
		if n.host != nil && c.status(address, testGroup).Role == raft.RoleLeader {
			return address
		}
	}
	return ""
}

func (c *cluster) runningHost() string {
	for _, address := range c.addresses() {
		if c.nodes[address].host != nil {
			return address
		}
	}
	c.t.Fatal("no host runs")
	return ""
}

// waitActive waits until the initial members of all groups up to last have confirmed
// each other.
func (c *cluster) waitActive(last uint64) {
	c.t.Helper()
	c.eventually("active", func() bool {
		for group := testGroup; group <= last; group++ {
			for _, address := range c.addresses() {
				if !c.status(address, group).Active {
					return false
				}
			}
		}
		return true
	})
}
