package place

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// subsetSize is the number of servers that the calls of one program choose from.
	subsetSize = 8
	// bucketCount is the number of subsets. Programs hash to buckets, so a
	// choice costs the same with any number of servers.
	bucketCount = 1024
)

// Params are the constants of a choice.
type Params struct {
	// MeanOutputTokens is the output of a usual call; it turns calls that wait
	// into time.
	MeanOutputTokens float64
	// RecomputeFactor multiplies the cost of recomputing a prefix before it is
	// compared with the wait at the server that has the prefix. 1 compares the
	// times of this call alone; more accounts for the calls that the
	// recomputation delays.
	RecomputeFactor float64
	// Choices is the number of random candidates within the subset, 1 to 8.
	Choices int
	// IgnorePrefix chooses without regard to cached prefixes.
	IgnorePrefix bool
}

// DefaultParams returns the constants in use.
func DefaultParams() Params {
	return Params{MeanOutputTokens: 200, RecomputeFactor: 8, Choices: 4}
}

type subset [subsetSize]int32 // indexes into View.servers, -1: none

// View is an immutable snapshot of the backend servers of one model or service.
// It is safe for concurrent use.
type View struct {
	params  Params
	servers []Server // sorted by ID
	byID    map[string]int32
	subsets []subset
}

// NewView returns a view of the servers. IDs must be unique. It costs one hash
// for each pair of server and bucket and belongs off the path of a request.
func NewView(params Params, servers []Server) *View {
	return (&View{params: params}).WithServers(servers)
}

// WithServers returns a view that holds the given servers instead, with the
// same parameters. Subsets of programs change only where a server joined or
// left, and by no more than these servers. While the IDs stay the same it costs
// one copy; a server that joined costs one hash for each bucket, one that left
// a new computation of the buckets that held it.
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

// Server returns the server with the ID, or nil. The caller must not change it.
func (v *View) Server(id string) *Server {
	i, ok := v.byID[id]
	if !ok {
		return nil
	}
	return &v.servers[i]
}

// Servers returns all servers, sorted by ID. The caller must not change them.
func (v *View) Servers() []Server { return v.servers }

// AvailableCount returns how many servers may get new work.
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

func (v *View) copyMembership(old *View) {
	v.byID = old.byID
	v.subsets = old.subsets
	for i := range v.servers {
		v.servers[i].hash = old.servers[i].hash
	}
}

func (v *View) indexServers() {
	v.byID = make(map[string]int32, len(v.servers))
	for i := range v.servers {
		v.byID[v.servers[i].ID] = int32(i)
		v.servers[i].hash = xxhash.Sum64String(v.servers[i].ID)
	}
}

// deriveSubsets computes the subsets from those of the view before.
func (v *View) deriveSubsets(old *View) {
	var joined []int32
	for i := range v.servers {
		if _, ok := old.byID[v.servers[i].ID]; !ok {
			joined = append(joined, int32(i))
		}
	}
	moved := v.indexesOf(old)
	v.subsets = make([]subset, bucketCount)
	for bucket := range v.subsets {
		v.subsets[bucket] = v.deriveSubset(bucket, old, moved, joined)
	}
}

// indexesOf returns the index in v of each server of the other view, -1 for
// those that left.
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
// bucket, heaviest first.
func (v *View) deriveSubset(bucket int, old *View, moved, joined []int32) subset {
	seed := bucketSeed(bucket)
	if len(old.servers) == 0 {
		return v.heaviest(seed, joined)
	}
	var candidates []int32
	for _, oldIndex := range old.subsets[bucket] {
		if oldIndex < 0 {
			break
		}
		if moved[oldIndex] < 0 {
			return v.heaviest(seed, v.allIndexes())
		}
		candidates = append(candidates, moved[oldIndex])
	}
	return v.heaviest(seed, append(candidates, joined...))
}

func (v *View) allIndexes() []int32 {
	indexes := make([]int32, len(v.servers))
	for i := range indexes {
		indexes[i] = int32(i)
	}
	return indexes
}

func (v *View) heaviest(seed uint64, indexes []int32) subset {
	var weights [subsetSize]uint64
	chosen := subset{-1, -1, -1, -1, -1, -1, -1, -1}
	for _, index := range indexes {
		insertHeaviest(&chosen, &weights, index, mix(seed^v.servers[index].hash))
	}
	return chosen
}

func insertHeaviest(chosen *subset, weights *[subsetSize]uint64, index int32, weight uint64) {
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

func (v *View) subsetOf(program string) *subset {
	return &v.subsets[xxhash.Sum64String(program)%bucketCount]
}
