// Package retain decides how long an engine keeps the cached prefix of a program
// while the program waits for a tool, which prefixes to release when memory is
// short, and which to move before a planned stop. It does no I/O; time is an
// argument.
package retain

import (
	"cmp"
	"slices"
	"time"
)

const (
	// bucketCount and firstBucket define the histogram of pauses: bucket i counts
	// pauses of up to firstBucket << i that are longer than those of bucket i-1. The
	// last bucket also counts all longer pauses.
	bucketCount = 18
	firstBucket = 62500 * time.Microsecond
	// maxTools is the maximum number of tools in the table. If it is exceeded, the
	// least recently seen tool is evicted.
	maxTools = 256
	// decayThreshold is the number of pauses at which the counts of a tool are
	// halved, so that old pauses lose weight.
	decayThreshold = 512
	// minObservations is the number of pauses that a tool needs before its own
	// histogram is used instead of that of all tools.
	minObservations = 8
)

// ToolPauses keeps statistics of the pauses of programs that wait for a tool, by
// tool. It holds at most 256 tools and is not safe for concurrent use.
type ToolPauses struct {
	tools    map[string]*pauseStats
	all      pauseStats // used for tools with too few pauses of their own
	sequence uint64     // increases with each observation
}

// pauseStats holds the pauses of one tool. Old pauses count only in part.
type pauseStats struct {
	counts    [bucketCount]float64 // histogram of the pauses that ended
	resumed   float64              // pauses after which the program resumed
	abandoned float64              // pauses after which the program never resumed
	lastSeen  uint64               // ToolPauses.sequence of the latest observation
}

// NewToolPauses returns an empty table.
func NewToolPauses() *ToolPauses {
	return &ToolPauses{tools: make(map[string]*pauseStats)}
}

// Observe records a pause after which the program resumed.
func (t *ToolPauses) Observe(tool string, pause time.Duration) {
	t.touch(tool).observe(pause)
	t.all.observe(pause)
}

// ObserveAbandoned records a pause after which the program never resumed.
func (t *ToolPauses) ObserveAbandoned(tool string) {
	t.touch(tool).abandoned++
	t.all.abandoned++
}

// Quantile returns the q-quantile of the tool's pauses, rounded up to 62.5 ms times a
// power of two. While the tool has too few pauses, it uses those of all tools; it
// returns false if these are too few as well.
func (t *ToolPauses) Quantile(tool string, q float64) (time.Duration, bool) {
	p := t.statsFor(tool)
	if p == nil {
		return 0, false
	}
	sum := 0.0
	for i, n := range p.counts {
		sum += n
		if sum >= q*p.resumed {
			return firstBucket << i, true
		}
	}
	return firstBucket << (bucketCount - 1), true
}

// Remaining estimates the time until a program resumes that has paused for the given
// time, and the probability that it does.
func (t *ToolPauses) Remaining(tool string, elapsed time.Duration) (remaining time.Duration, probability float64) {
	p := t.statsFor(tool)
	if p == nil {
		return defaultPause, 1
	}
	longer, total := 0.0, 0.0
	for i, n := range p.counts {
		if end := firstBucket << i; end > elapsed {
			longer += n
			total += n * (end - elapsed).Seconds()
		}
	}
	if longer == 0 {
		return elapsed + defaultPause, 0
	}
	mean := time.Duration(total / longer * float64(time.Second))
	return mean, longer / (longer + p.abandoned)
}

// Len returns the number of tools in the table.
func (t *ToolPauses) Len() int { return len(t.tools) }

// statsFor returns the statistics of the tool, or those of all tools if the tool has
// too few pauses, or nil if these are too few as well.
func (t *ToolPauses) statsFor(tool string) *pauseStats {
	if p := t.tools[tool]; p != nil && p.resumed >= minObservations {
		return p
	}
	if t.all.resumed >= minObservations {
		return &t.all
	}
	return nil
}

// touch returns the entry of the tool and marks it as just seen. It adds the entry if
// it does not exist, and evicts another one if the table is full.
func (t *ToolPauses) touch(tool string) *pauseStats {
	t.sequence++
	p := t.tools[tool]
	if p == nil {
		t.evictOldest()
		p = &pauseStats{}
		t.tools[tool] = p
	}
	p.lastSeen = t.sequence
	return p
}

// evictOldest removes the least recently seen tool if the table is full.
func (t *ToolPauses) evictOldest() {
	if len(t.tools) < maxTools {
		return
	}
	names := make([]string, 0, len(t.tools))
	for name := range t.tools {
		names = append(names, name)
	}
	oldest := slices.MinFunc(names, func(a, b string) int {
		return cmp.Compare(t.tools[a].lastSeen, t.tools[b].lastSeen)
	})
	delete(t.tools, oldest)
}

// observe adds a pause to the histogram.
func (p *pauseStats) observe(pause time.Duration) {
	i := 0
	for i < bucketCount-1 && pause > firstBucket<<i {
		i++
	}
	p.counts[i]++
	p.resumed++
	if p.resumed >= decayThreshold {
		p.decay()
	}
}

// decay halves all counts.
func (p *pauseStats) decay() {
	for i := range p.counts {
		p.counts[i] /= 2
	}
	p.resumed /= 2
	p.abandoned /= 2
}
