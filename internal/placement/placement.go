// Package placement maps customers to shards, shards to replication groups and
// groups to the control hosts that hold their replicas. All functions are pure:
// each process computes the same result from the same settings.
package placement

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ConfigGroup is the ID of the configuration group, which replicates all state that
// does not belong to a customer.
const ConfigGroup uint64 = 1

// firstShardGroup is the ID of the group that replicates shard 0.
const firstShardGroup uint64 = 2

// ReplicasPerGroup is the number of replicas of a shard's group; there are fewer if
// there are fewer control hosts.
const ReplicasPerGroup = 3

// ShardOf returns the shard of a customer, in [0, shards).
func ShardOf(customer string, shards uint32) uint32 {
	return uint32(xxhash.Sum64String(customer) % uint64(shards))
}

// GroupOf returns the ID of the group that replicates a shard.
func GroupOf(shard uint32) uint64 {
	return firstShardGroup + uint64(shard)
}

// ShardOfGroup returns the shard that a group replicates; ok is false for the
// configuration group.
func ShardOfGroup(group uint64) (shard uint32, ok bool) {
	if group < firstShardGroup {
		return 0, false
	}
	return uint32(group - firstShardGroup), true
}

// Host is a control host that can hold replicas.
type Host struct {
	ReplicaID     uint64
	Address       string
	FailureDomain string
}

// MaxHosts is the maximum number of control hosts in a region. Each of them holds
// a replica of the configuration group, because it grants leases on the
// configuration.
const MaxHosts = 9

// Replicas returns the hosts that hold the replicas of a group: all of them for the
// configuration group, otherwise up to ReplicasPerGroup, chosen by rendezvous
// hashing from as many failure domains as possible. The result does not depend on
// the order of hosts.
func Replicas(group uint64, hosts []Host) []Host {
	if group == ConfigGroup {
		return sortedByID(hosts)
	}
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b Host) int {
		return cmp.Or(
			cmp.Compare(rendezvousWeight(group, b.ReplicaID), rendezvousWeight(group, a.ReplicaID)),
			cmp.Compare(a.ReplicaID, b.ReplicaID),
		)
	})
	chosen := distinctDomains(ranked, ReplicasPerGroup)
	for _, h := range ranked {
		if len(chosen) == ReplicasPerGroup {
			break
		}
		if !slices.Contains(chosen, h) {
			chosen = append(chosen, h)
		}
	}
	return chosen
}

// sortedByID returns the hosts sorted by replica ID.
func sortedByID(hosts []Host) []Host {
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, func(a, b Host) int { return cmp.Compare(a.ReplicaID, b.ReplicaID) })
	return sorted
}

// distinctDomains returns the first host of each failure domain, up to limit.
func distinctDomains(ranked []Host, limit int) []Host {
	var chosen []Host
	for _, h := range ranked {
		if len(chosen) == limit {
			break
		}
		same := func(c Host) bool { return c.FailureDomain == h.FailureDomain }
		if !slices.ContainsFunc(chosen, same) {
			chosen = append(chosen, h)
		}
	}
	return chosen
}

// rendezvousWeight returns the weight of a replica's host in the choice for a group;
// the hosts with the highest weights are chosen.
func rendezvousWeight(group, replica uint64) uint64 {
	var key [16]byte
	binary.BigEndian.PutUint64(key[:8], group)
	binary.BigEndian.PutUint64(key[8:], replica)
	return xxhash.Sum64(key[:])
}
