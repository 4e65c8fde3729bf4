package founding

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	modelTick  = 100 * time.Millisecond
	modelTicks = 120
	modelSeeds = 3
	modelHosts = 4 // the last one is no seed
	quorum     = 2
)

var modelNames = []string{"a", "b", "c", "d"}

// modelDisk is what a host has stored.
type modelDisk struct {
	bindings map[int]*modelDisk // by seed: its first disk that asked
	replaced map[int]bool       // by seed: the group has another replica of it
	recorded bool               // the initial members
	joined   bool               // waits to be added to the group
	active   bool               // takes part in the group
	acks     int                // newest change that it holds
}

type modelHost struct {
	disk      *modelDisk
	running   bool
	bootstrap bool
	started   time.Duration
	recordAt  time.Duration // of an initial member that was started with the system
	beginning bool          // waits for the confirmation of the others
	needsAll  bool
	lost      bool // its disk was lost and does not hold the group's state yet
}

// model is a system that starts for the first time, with the rules of the initial members of package
// replica, while its hosts are killed, cut off and lose one disk after the other.
type model struct {
	t     *rapid.T
	now   time.Duration
	hosts [modelHosts]*modelHost
	cut   [modelHosts][modelHosts]bool
	acks  int // newest acknowledged change
}

// TestNothingIsForgottenAfterAStart checks that no two hosts go on without a change that was
// acknowledged, in whatever order hosts start, end, are cut off and lose one disk at a time, also if
// some start far later than StartSpread allows.
func TestNothingIsForgottenAfterAStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t}
		spread := rapid.SampledFrom([]time.Duration{StartSpread, 10 * time.Second}).Draw(t, "spread")
		for i := range m.hosts {
			at := time.Duration(rapid.IntRange(0, int(spread/modelTick)).Draw(t, "start")) * modelTick
			m.hosts[i] = &modelHost{disk: newModelDisk(), started: at}
		}
		launched := make(map[int]bool)
		for range modelTicks {
			for i, h := range m.hosts {
				if !launched[i] && h.started <= m.now {
					launched[i] = true
					m.start(i, true)
				}
			}
			for range rapid.IntRange(0, 2).Draw(t, "events") {
				m.disturb(rapid.IntRange(0, modelHosts-1).Draw(t, "host"), launched)
			}
			m.step()
			m.now += modelTick
		}
	})
}

func newModelDisk() *modelDisk {
	return &modelDisk{bindings: make(map[int]*modelDisk), replaced: make(map[int]bool)}
}

func (m *model) start(i int, bootstrap bool) {
	h := m.hosts[i]
	h.running, h.bootstrap, h.started, h.beginning, h.needsAll = true, bootstrap, m.now, false, false
	h.recordAt = m.now + time.Duration(rapid.IntRange(0, 2).Draw(m.t, "record after"))*modelTick
}

// disturb starts or ends a host, takes its disk away or changes a link.
func (m *model) disturb(i int, launched map[int]bool) {
	h := m.hosts[i]
	switch rapid.IntRange(0, 4).Draw(m.t, "event") {
	case 0, 1:
		if h.running {
			h.running = false
		} else if launched[i] {
			m.start(i, false)
		}
	case 2:
		j := rapid.IntRange(0, modelHosts-1).Draw(m.t, "other")
		m.cut[i][j], m.cut[j][i] = !m.cut[i][j], !m.cut[i][j]
	case 3:
		if launched[i] && i < modelSeeds && !m.anyLost() {
			h.running, h.disk, h.lost = false, newModelDisk(), true
		}
	}
}

// confirms reports whether a host is an initial member, which confirms or refuses others.
func (h *modelHost) confirms() bool { return h.beginning || h.disk.active && !h.disk.joined }

func (m *model) anyLost() bool {
	for _, h := range m.hosts {
		if h.lost {
			return true
		}
	}
	return false
}

func (m *model) connected(i, j int) bool {
	return m.hosts[i].running && m.hosts[j].running && !m.cut[i][j]
}

func (m *model) step() {
	for i := range modelSeeds {
		if h := m.hosts[i]; h.running && !h.disk.active && !h.disk.joined {
			m.advance(i, h)
		}
	}
	for i := range modelSeeds {
		for j := range i {
			if m.connected(i, j) && m.hosts[i].disk.active && m.hosts[j].disk.active {
				m.acknowledge(i, j)
			}
		}
	}
}

// advance makes the next step of a host that does not take part.
func (m *model) advance(i int, h *modelHost) {
	if !h.beginning {
		switch {
		case h.disk.recorded, h.bootstrap && m.now >= h.recordAt:
			h.disk.recorded, h.beginning = true, true
		case h.bootstrap:
			return
		default:
			switch Decide(m.input(i)) {
			case Begin:
				h.beginning, h.needsAll = true, true
			case Join:
				h.disk.joined = true
			}
			return
		}
	}
	confirmed := 1
	for j := range modelSeeds {
		other := m.hosts[j]
		if j == i || !m.connected(i, j) || !other.confirms() {
			continue
		}
		if other.disk.bindings[i] == nil {
			other.disk.bindings[i] = h.disk
		}
		if other.disk.bindings[i] != h.disk || other.disk.replaced[i] {
			h.disk.joined, h.beginning = true, false
			return
		}
		confirmed++
	}
	majority := !h.needsAll && m.now-h.started >= QuorumDelay
	if confirmed == modelSeeds || majority && confirmed >= quorum {
		h.disk.active, h.lost = true, false
	}
}

func (m *model) input(i int) Input {
	in := Input{Address: modelNames[i], Seeds: modelNames[:modelSeeds], Running: m.now - m.hosts[i].started}
	for j, other := range m.hosts {
		if j == i || !m.connected(i, j) {
			continue
		}
		r := Report{
			Address: modelNames[j], Witness: other.bootstrap, Age: m.now - other.started,
			InitialMember: other.beginning && !other.disk.active, Seeds: modelNames[:modelSeeds],
		}
		for k := range modelSeeds {
			r.LeaderKnown = r.LeaderKnown || k != j && m.connected(j, k) && other.disk.active && m.hosts[k].disk.active
		}
		in.Reports = append(in.Reports, r)
	}
	return in
}

// acknowledge acknowledges a change at two hosts, which then add those that wait to be added.
func (m *model) acknowledge(i, j int) {
	a, b := m.hosts[i], m.hosts[j]
	if max(a.disk.acks, b.disk.acks) < m.acks {
		m.t.Fatalf("%s and %s go on without change %d at %s", modelNames[i], modelNames[j], m.acks, m.now)
	}
	m.acks++
	a.disk.acks, b.disk.acks = m.acks, m.acks
	for k := range modelSeeds {
		h := m.hosts[k]
		if k != i && k != j && h.disk.joined && m.connected(i, k) {
			h.disk.active, h.lost, h.disk.acks = true, false, m.acks
			a.disk.replaced[k], b.disk.replaced[k] = true, true
		}
	}
}
