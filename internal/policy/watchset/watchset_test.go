package watchset

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// byName ranks hosts by their names, which have one letter.
func byName(address string) uint64 { return uint64(address[0]) }

func TestChoose(t *testing.T) {
	serving := func(name string) Host {
		return Host{Address: name, Serving: true, Watched: true, WatchedFor: time.Minute}
	}
	fresh := func(name string) Host { return Host{Address: name} }
	tried := func(name string, ago time.Duration) Host {
		return Host{Address: name, Tried: true, LastTried: ago}
	}
	onTrial := func(name string, since time.Duration) Host {
		return Host{Address: name, Watched: true, WatchedFor: since}
	}
	tests := []struct {
		name  string
		hosts []Host
		want  []string
	}{
		{"start: all", []Host{fresh("a"), fresh("b"), fresh("c"), fresh("d"), fresh("e")}, []string{"a", "b", "c", "d", "e"}},
		{"enough serve: no others", []Host{serving("d"), serving("b"), serving("a"), fresh("c"), onTrial("e", 0)}, []string{"a", "b", "d"}},
		{"more than enough serve", []Host{serving("a"), serving("b"), serving("c"), serving("d")}, []string{"a", "b", "c"}},
		{"one is missing: two on trial", []Host{serving("a"), serving("e"), fresh("b"), fresh("c"), fresh("d")}, []string{"a", "b", "c", "e"}},
		{"a trial goes on", []Host{serving("a"), serving("b"), onTrial("e", time.Second), fresh("c"), fresh("d")}, []string{"a", "b", "c", "e"}},
		{"a trial ends", []Host{serving("a"), serving("b"), onTrial("e", TrialPeriod), fresh("c"), fresh("d")}, []string{"a", "b", "c", "d"}},
		{"the oldest trial is repeated first", []Host{serving("a"), serving("b"), tried("c", time.Second), tried("d", time.Minute), tried("e", 2*time.Minute)}, []string{"a", "b", "d", "e"}},
		{
			"a host whose trial has just ended comes last, whenever it was watched before",
			[]Host{serving("a"), serving("b"), {Address: "e", Watched: true, WatchedFor: TrialPeriod, Tried: true, LastTried: time.Hour}, tried("c", time.Second), tried("d", 2*time.Second)},
			[]string{"a", "b", "c", "d"},
		},
		{"few hosts", []Host{serving("a"), fresh("b")}, []string{"a", "b"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.DeepEqual(t, choose(test.hosts, 3, byName), test.want)
		})
	}
}

// TestEnoughServingHostsAreFound replays hosts that lose and regain contact to a quorum, one
// choice every half second. Once enough of them serve for long enough that each host had a
// trial, the process watches as many as it wants and no others.
func TestEnoughServingHostsAreFound(t *testing.T) {
	const step = 500 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(3, 40).Draw(t, "hosts")
		wanted := rapid.IntRange(1, min(5, count)).Draw(t, "wanted")
		sim := newSimulation(count, wanted)
		for range rapid.IntRange(1, 4).Draw(t, "phases") {
			healthy := rapid.Permutation(sim.names).Draw(t, "order")[:rapid.IntRange(wanted, count).Draw(t, "healthy")]
			for range sim.stepsOfAllTrials(step) {
				sim.step(step, healthy)
			}
			assert.Equal(t, len(sim.watched), wanted, "%v", sim.watched)
			for _, name := range sim.watched {
				assert.Assert(t, slices.Contains(healthy, name))
			}
		}
	})
}

// simulation is one process and its state hosts in virtual time.
type simulation struct {
	wanted  int
	names   []string
	hosts   map[string]*Host
	watched []string
}

func newSimulation(count, wanted int) *simulation {
	s := &simulation{wanted: wanted, hosts: make(map[string]*Host)}
	for i := range count {
		name := fmt.Sprintf("host-%d", i)
		s.names = append(s.names, name)
		s.hosts[name] = &Host{Address: name}
	}
	return s
}

// stepsOfAllTrials returns the number of steps within which each host has had a trial.
func (s *simulation) stepsOfAllTrials(step time.Duration) int {
	return len(s.names)*int(TrialPeriod/step+1) + 2
}

func (s *simulation) step(step time.Duration, healthy []string) {
	input := make([]Host, 0, len(s.hosts))
	for _, name := range s.names {
		input = append(input, *s.hosts[name])
	}
	s.watched = Choose("viewer", input, s.wanted)
	for name, h := range s.hosts {
		watched := slices.Contains(s.watched, name)
		switch {
		case watched && h.Watched:
			h.WatchedFor += step
		case watched:
			h.WatchedFor = 0
		case h.Watched:
			h.Tried, h.LastTried = true, 0
		default:
			h.LastTried += step
		}
		h.Watched = watched
		h.Serving = watched && slices.Contains(healthy, name)
	}
}
