// Package retention decides which turns may begin while the state hosts run short of room for the
// turns that they keep.
//
// It answers a load whose kept turns exceed the memory or the disks of the state hosts. Only time
// frees what is kept, and the turns of a program under way must be kept too, so programs that would
// begin are refused while there still is room for those under way: first on less urgent routes,
// then on all. Decisions are pure functions of their inputs.
package retention

import (
	"slices"
	"time"
)

// Level says how short the room for kept turns is.
type Level uint8

// Levels, in ascending order of the shortage.
const (
	Free Level = iota // all turns may begin
	Low               // no program may begin on a less urgent route
	Full              // no first turn may begin
)

func (l Level) String() string {
	switch l {
	case Free:
		return "free"
	case Low:
		return "low"
	default:
		return "full"
	}
}

// shares are the parts of a capacity from which a level applies. What is left above the last one is
// for programs under way that grow more than expected.
var shares = [...]float64{Low: 0.75, Full: 0.9}

const (
	// growthFactor is by how much programs under way are expected to grow, in units of the mean size
	// of the programs that are kept. Short programs end first, so that mean is too low at first.
	growthFactor = 2
	// maxGrowthShare limits the part of a capacity that is expected of programs under way, so that
	// programs begin while little is kept.
	maxGrowthShare = 0.65
)

// Resource is the use of the memory or of a disk by the turns that are kept.
type Resource struct {
	Used     int64 // bytes
	Capacity int64 // bytes, 0: not limited
	Programs int64 // whose turns are kept
	Running  int64 // programs under way
}

// Growth returns the bytes that the programs under way are expected to add.
func (r Resource) Growth() int64 {
	growth := growthFactor * (r.Used / max(1, r.Programs)) * r.Running
	return min(growth, int64(maxGrowthShare*float64(r.Capacity)))
}

// excess returns by how much the expected use exceeds the least use of a level; negative: it does
// not.
func (r Resource) excess(level Level) int64 {
	return r.Used + r.Growth() - int64(shares[level]*float64(r.Capacity))
}

// Level returns the level of the resource.
func (r Resource) Level() Level {
	for level := Full; level > Free && r.Capacity > 0; level-- {
		if r.excess(level) >= 0 {
			return level
		}
	}
	return Free
}

// Turn describes a turn that would begin.
type Turn struct {
	First    bool // it continues from no other turn
	Kept     bool // it will be kept
	Priority int  // of its route, 0 being the most urgent
}

// refusedFrom returns the level from which the turn is refused, Free if it never is.
func (t Turn) refusedFrom() Level {
	switch {
	case !t.First || !t.Kept:
		return Free
	case t.Priority <= 0:
		return Full
	default:
		return Low
	}
}

const (
	// MinRetryAfter is the least delay of a refusal.
	MinRetryAfter = time.Second
	// GrowthPeriod is how long a program without commands counts as under way. The expected growth
	// falls within it once programs have ended.
	GrowthPeriod = 5 * time.Second
)

// Decision admits a turn or refuses it with the delay after which room is expected.
type Decision struct {
	Admit      bool
	RetryAfter time.Duration // set for a refusal
}

// Decide admits a turn, or refuses it because of a resource. freedAfter returns the time after which
// that many bytes of the resource will have been freed.
func Decide(t Turn, r Resource, freedAfter func(bytes int64) time.Duration) Decision {
	level := t.refusedFrom()
	if level == Free || r.Level() < level {
		return Decision{Admit: true}
	}
	excess := r.excess(level)
	wait := freedAfter(excess + 1)
	if excess < r.Growth() {
		// It is due to programs under way, which may end before.
		wait = min(wait, GrowthPeriod)
	}
	return Decision{RetryAfter: max(wait, MinRetryAfter)}
}

// Disk divides a disk among the files of a state host. All fields are in bytes.
type Disk struct {
	Size   int64 // 0: not known
	Log    int64 // most that the log takes
	Bodies int64 // most that bodies of turns take besides the log and the snapshots
	Memory int64 // bodies that are not on the disk besides the log and the snapshots

	Spilled int64 // bodies of kept turns that are within Bodies now
	Large   int64 // further ones, which no limit of Bodies applies to
}

// sparseFactor is how much more than its bodies a file of bodies may take: it is rewritten once less
// than half of it is in use.
const sparseFactor = 2

// reserveShare is the part of a disk for file headers, snapshots of small groups and small files.
const reserveShare = 32

// Capacity returns how many bytes of turns can be kept: the disk holds two snapshots with all of them
// while one replaces the other, and the bodies. 0: not limited.
func (d Disk) Capacity() int64 {
	if d.Size <= 0 {
		return 0
	}
	room := d.Size - d.Size/reserveShare - d.Log
	files := sparseFactor*d.Large + min(d.Bodies, sparseFactor*d.Spilled)
	return max(1, min((room-files)/2, max(d.Memory, (room-d.Bodies)/2)))
}

// QuorumCapacity returns the largest capacity that a majority of the members has; 0: not limited. The
// others keep what a smaller disk cannot, so that one refuses no turns.
func QuorumCapacity(capacities []int64) int64 {
	limited := slices.DeleteFunc(slices.Clone(capacities), func(c int64) bool { return c <= 0 })
	slices.Sort(limited)
	minority := (len(capacities) - 1) / 2
	if minority >= len(limited) {
		return 0
	}
	return limited[minority]
}
