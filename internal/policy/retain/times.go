// Package retain decides how long the cached prefix of a program stays in an
// engine while the program waits for a tool, which prefixes to release when
// memory is short, and which to move before a planned stop. It does no I/O;
// time is an argument.
package retain

import (
	"cmp"
	"slices"
	"time"
)

const (
	// bucketCount and firstBucket give the histogram of pauses: bucket i counts
	// pauses up to firstBucket << i.
	bucketCount = 18
	firstBucket = 62500 * time.Microsecond
	// maxTools bounds the table; the tool that was seen longest ago leaves it.
	maxTools = 256
	// decayAt halves a tool's counts, so that old pauses lose their weight.
	decayAt = 512
	// minObservations is the number of pauses from which a tool's own times count.
	minObservations = 8
)

// ToolPauses learns the length of the pauses that each tool causes. It holds at
// most 256 tools and is not safe for concurrent use.
type ToolPauses struct {
	tools    map[string]*pauses
	all      pauses // for tools without enough pauses of their own
	sequence uint64
}

type pauses struct {
	counts    [bucketCount]float64
	returned  float64
	abandoned float64 // pauses after which the program never came back
	lastSeen  uint64
}

// NewToolPauses returns an empty table.
func NewToolPauses() *ToolPauses {
	return &ToolPauses{tools: make(map[string]*pauses)}
}

// Observe records a pause after which the program came back.
func (t *ToolPauses) Observe(tool string, pause time.Duration) {
	t.entry(tool).observe(pause)
	t.all.observe(pause)
}

// ObserveAbandoned records a pause after which the program never came back.
func (t *ToolPauses) ObserveAbandoned(tool string) {
	t.entry(tool).abandoned++
	t.all.abandoned++
}

// Quantile returns the pause that the share q of the tool's pauses stay
// within, rounded up to a power of two of 62.5 ms. It returns false while too
// little is known of any tool.
func (t *ToolPauses) Quantile(tool string, q float64) (time.Duration, bool) {
	p := t.known(tool)
	if p == nil {
		return 0, false
	}
	sum := 0.0
	for i, n := range p.counts {
		sum += n
		if sum >= q*p.returned {
			return firstBucket << i, true
		}
	}
	return firstBucket << (bucketCount - 1), true
}

// Remaining estimates the time until a program comes back that has paused for
// the given time, and the chance that it does.
func (t *ToolPauses) Remaining(tool string, elapsed time.Duration) (left time.Duration, chance float64) {
	p := t.known(tool)
	if p == nil {
		return unknownPause, 1
	}
	longer, total := 0.0, 0.0
	for i, n := range p.counts {
		if end := firstBucket << i; end > elapsed {
			longer += n
			total += n * (end - elapsed).Seconds()
		}
	}
	if longer == 0 {
		return elapsed + unknownPause, 0
	}
	mean := time.Duration(total / longer * float64(time.Second))
	return mean, longer / (longer + p.abandoned)
}

// Len returns the number of tools in the table.
func (t *ToolPauses) Len() int { return len(t.tools) }

func (t *ToolPauses) known(tool string) *pauses {
	if p := t.tools[tool]; p != nil && p.returned >= minObservations {
		return p
	}
	if t.all.returned >= minObservations {
		return &t.all
	}
	return nil
}

func (t *ToolPauses) entry(tool string) *pauses {
	t.sequence++
	p := t.tools[tool]
	if p == nil {
		t.makeRoom()
		p = &pauses{}
		t.tools[tool] = p
	}
	p.lastSeen = t.sequence
	return p
}

func (t *ToolPauses) makeRoom() {
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

func (p *pauses) observe(pause time.Duration) {
	i := 0
	for i < bucketCount-1 && pause > firstBucket<<i {
		i++
	}
	p.counts[i]++
	p.returned++
	if p.returned >= decayAt {
		p.halve()
	}
}

func (p *pauses) halve() {
	for i := range p.counts {
		p.counts[i] /= 2
	}
	p.returned /= 2
	p.abandoned /= 2
}
