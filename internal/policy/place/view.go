package place

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// subsetSize is the number of servers among which the calls of a program are
	// placed.
	subsetSize = 8
	// bucketCount is the number of buckets. Programs hash to buckets, and each
	// bucket has a precomputed subset, so that the cost of a choice does not depend
	// on the number of servers.
	bucketCount = 1024
)

// Params holds the parameters of Choose.
type Params struct {
	// MeanOutputTokens is the output of an average call. It converts a number of
	// waiting calls into a time.
	MeanOutputTokens float64
	// RecomputeFactor weights the time to recompute a prefix in the comparison with
	// the wait at the server that has it cached. A factor of 1 considers this call
	// only; larger values account for other calls that the recomputation delays.
	RecomputeFactor float64
	// Choices is the number of random candidates within the subset, 1 to 8.
	Choices int
	// IgnorePrefix chooses without regard to cached prefixes.
	IgnorePrefix bool
}

// DefaultParams returns the parameters that entries use.
func DefaultParams() Params {
	return Params{MeanOutputTokens: 200, RecomputeFactor: 8, Choices: 4}
}

// subset holds indexes into View.servers by descending weight; -1 marks an unused
// element.
type subset [subsetSize]int32

// View is an immutable snapshot of the backend servers of one model or service.
// It is safe for concurrent use.
type View struct {
	params  Params
	servers []Server // sorted by ID
	byID    map[string]int32
	subsets []subset
}

// NewView returns a view of the servers, whose IDs must be unique. It computes one
// hash for each pair of server and bucket and is too slow to be called per request.
func NewView(params Params, servers []Server) *View {
	return (&View{params: params}).WithServers(servers)
}

// WithServers returns a view of the given servers with the same parameters. The
// subset of a program changes only if a server joins or leaves it, and by no more
// than these servers. If the IDs are unchanged, it costs one copy; otherwise one
// hash per bucket for each added server, and a new computation of each subset that
// contained a removed server.
func (v *View) WithServers(servers []Server) *View {
	next := &View{params: v.params, servers: slices.Clone(servers)}
	slices.SortFunc(next.servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	if sameIDs(v.servers, next.servers) {
		next.copyMembership(v)
		return next
	}
	next.indexServers()
	next.deriveSubsets(v)
	return next
}

// Len returns the number of servers.
func (v *View) Len() int { return len(v.servers) }

// Server returns the server with the given ID, or nil. The caller must not modify it.
func (v *View) Server(id string) *Server {
	i, ok := v.byID[id]
	if !ok {
		return nil
	}
	return &v.servers[i]
}

// Servers returns all servers, sorted by ID. The caller must not modify them.
func (v *View) Servers() []Server { return v.servers }

// AvailableCount returns the number of servers that may get new work.
func (v *View) AvailableCount(now time.Duration) int {
	n := 0
	for i := range v.servers {
		if v.servers[i].Available(now) {
			n++
		}
	}
	return n
}

func sameIDs(a, b []Server) bool {
	return slices.EqualFunc(a, b, func(x, y Server) bool { return x.ID == y.ID })
}

// copyMembership takes over the index and the subsets of a view with the same IDs.
func (v *View) copyMembership(old *View) {
	v.byID = old.byID
	v.subsets = old.subsets
	for i := range v.servers {
		v.servers[i].hash = old.servers[i].hash
	}
}

// indexServers fills byID and the hashes of the servers.
func (v *View) indexServers() {
	v.byID = make(map[string]int32, len(v.servers))
	for i := range v.servers {
		v.byID[v.servers[i].ID] = int32(i)
		v.servers[i].hash = xxhash.Sum64String(v.servers[i].ID)
	}
}

// deriveSubsets computes all subsets, starting from those of the previous view.
func (v *View) deriveSubsets(old *View) {
	var added []int32
	for i := range v.servers {
		if _, ok := old.byID[v.servers[i].ID]; !ok {
			added = append(added, int32(i))
		}
	}
	newIndexes := v.indexesOf(old)
	v.subsets = make([]subset, bucketCount)
	for bucket := range v.subsets {
		v.subsets[bucket] = v.deriveSubset(bucket, old, newIndexes, added)
	}
}

// indexesOf returns the index in v of each server of the other view, or -1 if v does
// not contain it.
func (v *View) indexesOf(other *View) []int32 {
	indexes := make([]int32, len(other.servers))
	for i := range other.servers {
		index, ok := v.byID[other.servers[i].ID]
		if !ok {
			index = -1
		}
		indexes[i] = index
	}
	return indexes
}

// deriveSubset returns the servers with the highest rendezvous weights for the
// bucket, in descending order. newIndexes maps indexes of the old view to v, and
// added lists the servers that the old view does not contain.
func (v *View) deriveSubset(bucket int, old *View, newIndexes, added []int32) subset {
	seed := bucketSeed(bucket)
	if len(old.servers) == 0 {
		return v.highestWeights(seed, added)
	}
	var candidates []int32
	for _, oldIndex := range old.subsets[bucket] {
		if oldIndex < 0 {
			break
		}
		if newIndexes[oldIndex] < 0 {
			return v.highestWeights(seed, v.allIndexes())
		}
		candidates = append(candidates, newIndexes[oldIndex])
	}
	return v.highestWeights(seed, append(candidates, added...))
}

func (v *View) allIndexes() []int32 {
	indexes := make([]int32, len(v.servers))
	for i := range indexes {
		indexes[i] = int32(i)
	}
	return indexes
}

// highestWeights returns the subset of the indexes with the highest weights for the seed.
func (v *View) highestWeights(seed uint64, indexes []int32) subset {
	var weights [subsetSize]uint64
	chosen := subset{-1, -1, -1, -1, -1, -1, -1, -1}
	for _, index := range indexes {
		insertByWeight(&chosen, &weights, index, mix(seed^v.servers[index].hash))
	}
	return chosen
}

// insertByWeight inserts the index if its weight is among the highest so far, and
// drops the lowest one if chosen is full.
func insertByWeight(chosen *subset, weights *[subsetSize]uint64, index int32, weight uint64) {
	last := subsetSize - 1
	if chosen[last] >= 0 && weights[last] >= weight {
		return
	}
	pos := last
	for pos > 0 && (chosen[pos-1] < 0 || weights[pos-1] < weight) {
		chosen[pos], weights[pos] = chosen[pos-1], weights[pos-1]
		pos--
	}
	chosen[pos], weights[pos] = index, weight
}

// bucketSeed returns the seed for the rendezvous weights of a bucket.
func bucketSeed(bucket int) uint64 {
	return xxhash.Sum64String("bucket " + strconv.Itoa(bucket))
}

// mix spreads the bits of x (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// subsetOf returns the subset of servers for a program.
func (v *View) subsetOf(program string) *subset {
	return &v.subsets[xxhash.Sum64String(program)%bucketCount]
}
