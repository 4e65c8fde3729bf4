package membership

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ibistray.example/ibistray/proto/raftpb"
)

const (
	tick = 200 * time.Millisecond // interval at which the leader plans
	// catchUpTicks is how long a host counts as lost after it is back.
	catchUpTicks = 22
	learnTicks   = 2   // until a learner has caught up
	settleTicks  = 200 // within which a group must reach its final membership
	// seriesPerCheck makes rare series likely in the default number of checks.
	seriesPerCheck = 10
)

// world is a group and its hosts, in which hosts retire, are replaced, lose their disks,
// appear, restart or are cut off, as long as no more of them are lost at the same time
// than the group tolerates.
type world struct {
	t         *rapid.T
	tolerance int
	now       int // ticks
	hosts     map[string]*simHost
	members   []*raftpb.Member
	learnedAt map[uint64]int // tick at which a learner has caught up
	lastID    uint64
	leaderID  uint64
	nextHost  int
}

type simHost struct {
	Host             // as it described itself last
	stored    uint64 // ID of the replica on its disk
	downUntil int    // tick at which it runs and is connected again
	lostUntil int    // tick until which it counts as lost
	gone      bool
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, tolerance: rapid.IntRange(1, 2).Draw(t, "tolerance"), hosts: make(map[string]*simHost), learnedAt: make(map[uint64]int)}
	regular := 2*w.tolerance + 1 + rapid.IntRange(0, 2).Draw(t, "spare hosts")
	for range regular {
		w.addHost(0, false)
	}
	for range rapid.SampledFrom([]int{0, 3}).Draw(t, "standby hosts") {
		w.addHost(0, true)
	}
	for _, address := range slices.Sorted(maps.Keys(w.hosts))[:2*w.tolerance+1] {
		w.members = append(w.members, voter(w.hosts[address].stored, address))
		w.lastID = w.hosts[address].stored
	}
	w.leaderID = w.members[0].Id
	return w
}

// newID returns a replica ID that was not used before.
func (w *world) newID() uint64 {
	w.nextHost++
	return uint64(w.nextHost)
}

// addHost adds a host that starts after delay ticks.
func (w *world) addHost(delay int, standby bool) {
	id := w.newID()
	kind := "host"
	if standby {
		kind = "standby"
	}
	address := fmt.Sprintf("%s-%02d", kind, id)
	w.hosts[address] = &simHost{
		Host:      Host{Address: address, FailureDomain: address, Standby: standby},
		stored:    id,
		downUntil: w.now + delay,
		lostUntil: w.now + delay + catchUpTicks,
	}
}

// present returns the hosts that are not gone, in order of their addresses.
func (w *world) present() []*simHost {
	var list []*simHost
	for _, address := range slices.Sorted(maps.Keys(w.hosts)) {
		if !w.hosts[address].gone {
			list = append(list, w.hosts[address])
		}
	}
	return list
}

func (w *world) countLost() int {
	count := 0
	for _, h := range w.present() {
		if h.lostUntil > w.now && w.now > 0 {
			count++
		}
	}
	return count
}

func (w *world) isUp(h *simHost) bool { return h != nil && !h.gone && h.downUntil <= w.now }

// isIntact reports whether the disk of a member still holds its replica.
func (w *world) isIntact(m *raftpb.Member) bool {
	h := w.hosts[m.Address]
	return h != nil && !h.gone && h.stored == m.Id
}

// responds reports whether a member can vote now.
func (w *world) responds(m *raftpb.Member) bool { return w.isIntact(m) && w.isUp(w.hosts[m.Address]) }

func countIf(members []*raftpb.Member, match func(*raftpb.Member) bool) int {
	count := 0
	for _, m := range votersOf(members) {
		if match(m) {
			count++
		}
	}
	return count
}

func quorumOf(members []*raftpb.Member) int { return len(votersOf(members))/2 + 1 }

// strike draws one event.
func (w *world) strike() {
	victims := w.present()
	h := victims[rapid.IntRange(0, len(victims)-1).Draw(w.t, "victim")]
	event := rapid.SampledFrom([]string{"stop", "wipe", "replace", "retire", "add"}).Draw(w.t, "event")
	down := rapid.IntRange(1, 30).Draw(w.t, "down ticks")
	lossAllowed := w.countLost() < w.tolerance
	switch {
	case event == "add":
		w.addHost(0, false)
	case event == "retire" && !h.Standby && h.lostUntil <= w.now && w.enoughWithout(h):
		h.Retiring = true
	case event == "stop" && lossAllowed:
		h.downUntil, h.lostUntil = w.now+down, w.now+down+catchUpTicks
	case event == "wipe" && lossAllowed:
		h.downUntil, h.lostUntil = w.now+down, w.now+down+catchUpTicks
		h.stored = w.newID()
	case event == "replace" && lossAllowed:
		h.gone = true
		w.addHost(down, h.Standby)
	}
}

// enoughWithout reports whether enough hosts remain when h retires.
func (w *world) enoughWithout(h *simHost) bool {
	count := 0
	for _, other := range w.present() {
		if other != h && !other.Retiring {
			count++
		}
	}
	return count >= 2*w.tolerance+1
}

// advance lets one tick pass.
func (w *world) advance() {
	w.now++
	for _, h := range w.hosts {
		h.Silence += tick
		h.Known += tick
		if w.isUp(h) {
			w.describe(h)
		}
	}
	w.elect()
	if w.leaderID != 0 {
		w.perform(Plan(w.input()))
	}
	full := len(votersOf(w.members)) >= 2*w.tolerance+1
	for _, h := range w.present() {
		isMember := slices.ContainsFunc(w.members, func(m *raftpb.Member) bool { return m.Address == h.Address })
		if h.Retiring && !isMember && full {
			h.gone = true
		}
	}
	w.check()
}

// describe tells the leader which replica a host holds. A replica that is not a member and
// cannot become one any more gets a new ID.
func (w *world) describe(h *simHost) {
	isMember := slices.ContainsFunc(w.members, func(m *raftpb.Member) bool { return m.Id == h.stored })
	if !isMember && h.stored <= w.lastID {
		h.stored = w.newID()
	}
	if h.ReplicaID == 0 {
		h.Known = 0
	}
	h.Silence, h.ReplicaID = 0, h.stored
}

// elect keeps the leader or elects another one. There is none without a quorum.
func (w *world) elect() {
	hasQuorum := countIf(w.members, w.responds) >= quorumOf(w.members)
	leader := find(w.members, func(m *raftpb.Member) bool { return m.Id == w.leaderID })
	if hasQuorum && leader != nil && w.responds(leader) {
		return
	}
	w.leaderID = 0
	if next := find(votersOf(w.members), w.responds); hasQuorum && next != nil {
		w.leaderID = next.Id
	}
}

func (w *world) input() Input {
	in := Input{
		LeaderID: w.leaderID, Members: w.members, LastID: w.lastID, Hosts: make(map[string]Host), Voters: 2*w.tolerance + 1,
		ResponseTimeout: 6 * tick, LossTimeout: 12 * tick, StandbyDelay: 50 * tick,
	}
	for address, h := range w.hosts {
		in.Hosts[address] = h.Host
	}
	return in
}

// perform performs a step unless the group refuses it.
func (w *world) perform(s Step) {
	switch s.Kind {
	case None:
		return
	case Transfer:
		if w.responds(s.Member) {
			w.leaderID = s.Member.Id
		}
		return
	case Promote:
		if !w.responds(s.Member) || w.now < w.learnedAt[s.Member.Id] {
			return
		}
	case Add:
		w.learnedAt[s.Member.Id] = w.now + learnTicks
	}
	next := Input{Members: w.members, LastID: w.lastID}.afterStep(s)
	if s.Kind != Add && countIf(next.Members, w.responds) < quorumOf(next.Members) {
		return
	}
	w.members, w.lastID = next.Members, next.LastID
}

// check fails if the group can never have a quorum again, or if the losses that the
// tolerance still allows would have that effect.
func (w *world) check() {
	spare := countIf(w.members, w.isIntact) - quorumOf(w.members)
	if spare < max(0, w.tolerance-w.countLost()) {
		w.t.Fatalf("tick %d: %d of %d voters have an intact disk, %d hosts are lost, tolerance %d", w.now,
			countIf(w.members, w.isIntact), len(votersOf(w.members)), w.countLost(), w.tolerance)
	}
}

// checkSettled fails if the plan does not come to its end: a member on a retiring host, a
// missing voter, or a standby voter although a regular host could take its place.
func (w *world) checkSettled() {
	for range settleTicks {
		w.advance()
	}
	regular := 0
	for _, h := range w.present() {
		if h.Retiring {
			w.t.Fatalf("%s still retires", h.Address)
		}
		if !h.Standby {
			regular++
		}
	}
	if len(w.members) != 2*w.tolerance+1 {
		w.t.Fatalf("%d members", len(w.members))
	}
	onStandby := countIf(w.members, func(m *raftpb.Member) bool { return w.hosts[m.Address].Standby })
	if wanted := max(0, 2*w.tolerance+1-regular); onStandby != wanted {
		w.t.Fatalf("%d voters on standby hosts, want %d", onStandby, wanted)
	}
	if s := Plan(w.input()); s.Kind != None {
		w.t.Fatalf("the plan does not end: %s", formatStep(s))
	}
}

// TestSeriesOfLossesLeavesAQuorum plays random series of retirements, replacements, wiped
// disks, new hosts, restarts and partitions.
func TestSeriesOfLossesLeavesAQuorum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for range seriesPerCheck {
			playSeries(t)
		}
	})
}

func playSeries(t *rapid.T) {
	w := newWorld(t)
	for range rapid.IntRange(1, 12).Draw(t, "events") {
		w.strike()
		for range rapid.IntRange(1, 40).Draw(t, "ticks until the next event") {
			w.advance()
		}
	}
	w.checkSettled()
}
