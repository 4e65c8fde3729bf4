package placement

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func randomHosts(t *rapid.T) []Host {
	domains := []string{"a", "b", "c", "d"}
	n := rapid.IntRange(1, 12).Draw(t, "hosts")
	hosts := make([]Host, n)
	for i := range hosts {
		hosts[i] = Host{
			ReplicaID:     uint64(i + 1),
			FailureDomain: rapid.SampledFrom(domains).Draw(t, "domain"),
		}
	}
	return hosts
}

func countDomains(hosts []Host) int {
	seen := make(map[string]bool)
	for _, h := range hosts {
		seen[h.FailureDomain] = true
	}
	return len(seen)
}

func TestReplicasSpreadOverFailureDomains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := randomHosts(t)
		group := rapid.Uint64Min(firstShardGroup).Draw(t, "group")
		chosen := Replicas(group, hosts)
		assert.Equal(t, len(chosen), min(ReplicasPerGroup, len(hosts)))
		assert.Equal(t, countDomains(chosen), min(ReplicasPerGroup, countDomains(hosts)))
	})
}

func TestReplicasDoNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := randomHosts(t)
		shuffled := rapid.Permutation(slices.Clone(hosts)).Draw(t, "order")
		assert.DeepEqual(t, Replicas(7, hosts), Replicas(7, shuffled))
	})
}

func TestEachHostHasAReplicaOfTheConfigurationGroup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := randomHosts(t)
		assert.DeepEqual(t, Replicas(ConfigGroup, hosts), hosts)
	})
}

func TestGroupAndShardAreInverse(t *testing.T) {
	shard, ok := ShardOfGroup(GroupOf(41))
	assert.Assert(t, ok)
	assert.Equal(t, shard, uint32(41))
	_, ok = ShardOfGroup(ConfigGroup)
	assert.Assert(t, !ok)
}
