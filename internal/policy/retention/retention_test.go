package retention

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestDecide covers the levels, the turns that each refuses and the delays.
func TestDecide(t *testing.T) {
	first, lessUrgent := Turn{First: true, Kept: true}, Turn{First: true, Kept: true, Priority: 1}
	freedAfter := func(bytes int64) time.Duration { return time.Duration(bytes) * time.Second }
	cases := []struct {
		name       string
		turn       Turn
		resource   Resource
		retryAfter time.Duration // 0: admitted
	}{
		{"room", lessUrgent, Resource{Used: 74, Capacity: 100}, 0},
		{"less urgent from the first level", lessUrgent, Resource{Used: 75, Capacity: 100}, time.Second},
		{"urgent below the second level", first, Resource{Used: 89, Capacity: 100}, 0},
		{"urgent from the second level", first, Resource{Used: 90, Capacity: 100}, time.Second},
		{"beyond the capacity", first, Resource{Used: 120, Capacity: 100}, 31 * time.Second},
		{"less urgent waits for more", lessUrgent, Resource{Used: 120, Capacity: 100}, 46 * time.Second},
		{"later turn", Turn{Kept: true, Priority: 3}, Resource{Used: 120, Capacity: 100}, 0},
		{"turn that is not kept", Turn{First: true, Priority: 3}, Resource{Used: 120, Capacity: 100}, 0},
		{"programs under way", first, Resource{Used: 60, Capacity: 100, Programs: 4, Running: 1}, time.Second},
		{"many programs under way", first, Resource{Used: 60, Capacity: 100, Programs: 4, Running: 3}, GrowthPeriod},
		{"fewer programs under way", first, Resource{Used: 56, Capacity: 100, Programs: 4, Running: 1}, 0},
		{"little is kept", first, Resource{Used: 24, Capacity: 100, Programs: 1, Running: 100}, 0},
		{"no limit", first, Resource{Used: 1 << 40}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := Decide(c.turn, c.resource, freedAfter)
			assert.Equal(t, got, Decision{Admit: c.retryAfter == 0, RetryAfter: c.retryAfter})
		})
	}
}

// TestCapacityFitsTheDisk guards against two snapshots that do not fit a disk side by side.
func TestCapacityFitsTheDisk(t *testing.T) {
	assert.Equal(t, Disk{}.Capacity(), int64(0))
	rapid.Check(t, func(r *rapid.T) {
		d := Disk{Size: rapid.Int64Range(1000, 1_000_000).Draw(r, "size")}
		d.Log, d.Bodies = rapid.Int64Range(0, d.Size/4).Draw(r, "log"), rapid.Int64Range(0, d.Size/4).Draw(r, "bodies")
		d.Memory = rapid.Int64Range(0, d.Size).Draw(r, "memory")
		kept := d.Capacity()
		assert.Assert(r, d.Log+2*kept+min(d.Bodies, max(0, kept-d.Memory)) <= d.Size)
		assert.Assert(r, kept >= d.Size/8)
		d.Large = rapid.Int64Range(0, d.Size).Draw(r, "large")
		d.Spilled = rapid.Int64Range(0, d.Size).Draw(r, "spilled")
		files := 2*d.Large + min(d.Bodies, 2*d.Spilled)
		assert.Assert(r, d.Capacity() <= kept)
		assert.Assert(r, d.Capacity() == 1 || d.Log+2*d.Capacity()+files <= d.Size)
		d.Large, d.Memory = 0, 0
		assert.Equal(r, d.Capacity(), (d.Size-d.Size/reserveShare-d.Log-d.Bodies)/2, "ordinary bodies need no more than their share")
	})
}

// load is a number of clients, each of which runs one program after the other.
type load struct {
	clients, turns, turnBytes int
	pause, retention          time.Duration
}

// replay runs a load on a disk of a capacity and returns the most that is kept, and how many programs
// begin and are refused.
func replay(l load, capacity int64) (most, begun, refused int64) {
	const step = 100 * time.Millisecond
	type program struct {
		left       int
		bytes      int64
		next, last time.Duration
	}
	random := rand.New(rand.NewPCG(1, 1))
	running, kept := make([]program, l.clients), []program(nil)
	for now := time.Duration(0); now < 10*time.Minute; now += step {
		var used, programs, growing int64
		rest := kept[:0]
		for _, p := range kept {
			if now-p.last < l.retention {
				used, programs, rest = used+p.bytes, programs+1, append(rest, p)
				if now-p.last < GrowthPeriod {
					growing++
				}
			}
		}
		kept = rest
		for _, p := range running {
			if p.left > 0 {
				used, programs, growing = used+p.bytes, programs+1, growing+1
			}
		}
		most = max(most, used)
		for i := range running {
			p := &running[i]
			if now < p.next {
				continue
			}
			if p.left == 0 {
				resource := Resource{Used: used, Capacity: capacity, Programs: programs, Running: growing}
				d := Decide(Turn{First: true, Kept: true}, resource, func(int64) time.Duration { return GrowthPeriod })
				if !d.Admit {
					refused++
					p.next = now + d.RetryAfter
					continue
				}
				begun, growing = begun+1, growing+1
				*p = program{left: 1 + random.IntN(l.turns)}
			}
			p.left--
			p.bytes += int64(random.IntN(l.turnBytes))
			p.last, p.next = now, now+time.Duration(random.Int64N(int64(l.pause)))
			if p.left == 0 {
				kept = append(kept, *p)
				*p = program{next: p.next}
			}
		}
	}
	return most, begun, refused
}

// TestProgramsUnderWayFindRoom replays a load of several times the capacity, and one that fits it.
func TestProgramsUnderWayFindRoom(t *testing.T) {
	const capacity = 87 << 20
	large := load{clients: 120, turns: 40, turnBytes: 60_000, pause: 1200 * time.Millisecond, retention: 90 * time.Second}
	most, begun, refused := replay(large, capacity)
	t.Logf("%d of %d bytes kept, %d programs begin, %d are refused", most, capacity, begun, refused)
	assert.Check(t, most <= capacity)
	assert.Check(t, most >= capacity/2)
	assert.Check(t, begun > 0 && refused > 0)
	small := load{clients: 120, turns: 11, turnBytes: 1000, pause: 200 * time.Millisecond, retention: 90 * time.Second}
	most, begun, refused = replay(small, capacity)
	t.Logf("%d of %d bytes kept, %d programs begin", most, capacity, begun)
	assert.Check(t, begun > 0)
	assert.Equal(t, refused, int64(0))
}

// TestSmallDiskOfAStandbyRefusesNoTurns replays short programs on two large disks and one of a standby
// host, which takes part while a third large one is away.
func TestSmallDiskOfAStandbyRefusesNoTurns(t *testing.T) {
	const large, small = 120 << 20, 25 << 20
	load := load{clients: 200, turns: 9, turnBytes: 10_000, pause: 4 * time.Second, retention: 90 * time.Second}
	most, begun, refused := replay(load, QuorumCapacity([]int64{large, small, large}))
	t.Logf("%d bytes kept, %d programs begin, %d are refused", most, begun, refused)
	assert.Assert(t, most > small && most < large)
	assert.Equal(t, refused, int64(0))
}

func TestQuorumCapacity(t *testing.T) {
	for _, c := range []struct {
		capacities []int64
		want       int64
	}{
		{nil, 0}, {[]int64{5}, 5}, {[]int64{0}, 0}, {[]int64{9, 5}, 5}, {[]int64{0, 5}, 5}, {[]int64{9, 1, 5}, 5}, {[]int64{0, 1, 0}, 0},
		{[]int64{1, 9, 1}, 1}, {[]int64{8, 1, 9, 5}, 5}, {[]int64{8, 1, 9, 5, 2}, 5},
	} {
		assert.Equal(t, QuorumCapacity(c.capacities), c.want, "%v", c.capacities)
	}
}
