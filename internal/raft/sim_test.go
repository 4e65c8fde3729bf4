package raft

import (
	"container/heap"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/raftpb"
)

// Durations are in units of simulated time, unless noted. The tick lengths of two
// hosts differ by less than the factor 1.5 that the package comment allows.
const (
	minTickLen        = 100
	maxTickLen        = 149
	netDelay          = 60
	diskDelay         = 80
	compactInterval   = 20
	retainedEntries   = 5
	periodicWakeTicks = 40 // ticks after which the host wakes a quiesced replica without a suspicion
)

type event struct {
	at, seq int64
	run     func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// disk is the state of a host that survives a crash.
type disk struct {
	hardState *raftpb.HardState
	snapshot  *raftpb.SnapshotMeta
	data      map[string]string // state at the snapshot
	entries   []*raftpb.Entry
}

// host is a simulated host. It runs one replica at a time.
type host struct {
	slot               int // index in sim.hosts
	id                 uint64
	node               *Node // nil: not running
	disk               disk
	epoch              int // crashes so far; events of earlier epochs are ignored
	crashedAt          int64
	tickLen            int64
	nextTick           int64
	pausedUntil        int64
	unpersisted        []Ready           // writes in progress, oldest first
	diskBusyUntil      int64             // time at which the last write in progress ends
	kv                 map[string]string // state machine
	applied            uint64
	receivedSnapshots  map[uint64]map[string]string // data of received snapshots, by index
	writes             map[uint64]*op               // by log index
	reads              map[uint64]*op               // by context
	unservedReads      []ReadState                  // confirmed, but the index is not yet applied
	quiescedTicks      int                          // ticks since the node quiesced
	leaderEpoch        int                          // epoch of the leader's host when the node quiesced
	ticksWithoutLeader int                          // ticks without contact with the leader's host
}

// sim simulates a group on hosts with a virtual clock, slow disks and a faulty
// network. All random choices follow from the seed.
type sim struct {
	t           *testing.T
	seed        uint64
	rng         *rand.Rand
	now         int64
	seq         int64
	queue       eventHeap
	hosts       []*host
	slotOf      map[uint64]int  // by replica ID
	lastID      uint64          // highest replica ID in use
	cuts        map[[2]int]bool // links that drop messages: from and to, by slot
	lossPercent int             // percentage of messages that are lost or duplicated
	latePercent int             // percentage of messages and writes with a 30 times longer delay
	// quorumTicks is Config.QuorumTicks of the replicas; 0: the default.
	quorumTicks int
	check       *checker
	hist        history
}

func newSim(t *testing.T, seed uint64, size int) *sim {
	return newSimWithQuorumTicks(t, seed, size, 0)
}

// newSimWithQuorumTicks returns a group whose leaders step down after quorumTicks
// without contact with a quorum.
func newSimWithQuorumTicks(t *testing.T, seed uint64, size, quorumTicks int) *sim {
	s := &sim{t: t, seed: seed, quorumTicks: quorumTicks, rng: rand.New(rand.NewPCG(seed, 1)), slotOf: map[uint64]int{}, cuts: map[[2]int]bool{}}
	s.check = newChecker(s)
	m := &raftpb.Membership{}
	for slot := range size {
		m.Members = append(m.Members, &raftpb.Member{Id: uint64(slot + 1)})
	}
	for slot := range size {
		h := &host{slot: slot, id: uint64(slot + 1), tickLen: minTickLen + s.rng.Int64N(maxTickLen-minTickLen+1)}
		h.disk.snapshot = Bootstrap(m).Snapshot
		s.slotOf[h.id] = slot
		s.hosts = append(s.hosts, h)
		s.start(h)
		s.scheduleTick(h)
	}
	s.lastID = uint64(size)
	return s
}

func (s *sim) fail(format string, args ...any) {
	s.t.Helper()
	s.t.Fatalf("seed %d at %d: "+format, append([]any{s.seed, s.now}, args...)...)
}

func (s *sim) after(delay int64, run func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now + delay, seq: s.seq, run: run})
}

// run processes all events up to the time until.
func (s *sim) run(until int64) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
		s.check.checkLeases()
	}
	s.now = until
}

// start starts the replica of a host from the state on its disk.
func (s *sim) start(h *host) {
	initial := InitialState{HardState: h.disk.hardState, Snapshot: h.disk.snapshot, Entries: slices.Clone(h.disk.entries)}
	if h.epoch > 0 {
		initial.SilentTicks = int((s.now - h.crashedAt) / h.tickLen)
	}
	node, err := New(Config{Group: 1, ID: h.id, Seed: s.rng.Uint64(), MaxEntriesPerMessage: 4, MaxInFlight: 3, QuiesceTicks: 5, QuorumTicks: s.quorumTicks}, initial)
	assert.NilError(s.t, err, "seed %d", s.seed)
	h.node = node
	h.kv = maps.Clone(h.disk.data)
	if h.kv == nil {
		h.kv = map[string]string{}
	}
	h.applied = h.disk.snapshot.GetIndex()
	h.receivedSnapshots = map[uint64]map[string]string{}
	h.writes, h.reads, h.unservedReads = map[uint64]*op{}, map[uint64]*op{}, nil
	h.diskBusyUntil, h.quiescedTicks, h.ticksWithoutLeader = s.now, 0, 0
	h.nextTick = s.now + s.rng.Int64N(h.tickLen)
}

// crash stops the replica of a host. Writes in progress are lost.
func (s *sim) crash(h *host) {
	h.node, h.unpersisted = nil, nil
	h.epoch++
	h.crashedAt = s.now
}

// onHost calls run on a host now, or when the host is no longer paused. Overdue
// ticks are delivered first. It does nothing if the host has crashed since epoch.
func (s *sim) onHost(h *host, epoch int, run func()) {
	if h.node == nil || h.epoch != epoch {
		return
	}
	if s.now < h.pausedUntil {
		s.after(h.pausedUntil-s.now, func() { s.onHost(h, epoch, run) })
		return
	}
	s.deliverOverdueTicks(h)
	run()
	s.processReadies(h)
	s.check.checkReplica(h)
}

func (s *sim) deliverOverdueTicks(h *host) {
	for h.nextTick <= s.now {
		h.nextTick += h.tickLen
		h.node.Tick()
		s.watchLeader(h)
	}
}

// watchLeader simulates the host-to-host heartbeats that wake quiesced followers.
func (s *sim) watchLeader(h *host) {
	if !h.node.Quiesced() {
		h.quiescedTicks, h.ticksWithoutLeader = 0, 0
		return
	}
	h.quiescedTicks++
	leader := s.hosts[s.slotOf[h.node.Status().Leader]]
	h.ticksWithoutLeader++
	if leader.node != nil && s.now >= leader.pausedUntil && !s.cuts[[2]int{leader.slot, h.slot}] {
		h.ticksWithoutLeader = 0
	}
	if h.quiescedTicks == 1 {
		h.leaderEpoch = leader.epoch
	}
	suspect := h.ticksWithoutLeader > 5 || h.leaderEpoch != leader.epoch || s.rng.IntN(200) == 0
	if suspect || h.quiescedTicks == periodicWakeTicks {
		h.node.Wake(h.quiescedTicks-1, suspect)
	}
}

func (s *sim) scheduleTick(h *host) {
	s.after(max(h.nextTick-s.now, 1), func() {
		s.onHost(h, h.epoch, func() {})
		s.scheduleTick(h)
	})
}

// processReadies implements the host's loop of the package comment, with a slow
// disk.
func (s *sim) processReadies(h *host) {
	for h.node.HasReady() {
		rd := h.node.Ready()
		s.send(h, rd.Messages)
		s.apply(h, rd.Committed)
		s.serveReads(h, rd.ReadStates)
		h.diskBusyUntil = max(h.diskBusyUntil, s.now+s.delay(diskDelay)) + 1
		h.unpersisted = append(h.unpersisted, rd)
		epoch := h.epoch
		s.after(h.diskBusyUntil-s.now, func() {
			s.onHost(h, epoch, func() { s.persist(h) })
		})
	}
}

func (s *sim) delay(limit int64) int64 {
	if s.rng.IntN(100) < s.latePercent {
		limit *= 30
	}
	return 1 + s.rng.Int64N(limit)
}

// persist completes the oldest write in progress.
func (s *sim) persist(h *host) {
	rd, d := h.unpersisted[0], &h.disk
	h.unpersisted = h.unpersisted[1:]
	if rd.Snapshot != nil {
		d.snapshot, d.entries = rd.Snapshot, nil
		d.data = h.receivedSnapshots[rd.Snapshot.Index]
		h.kv, h.applied = maps.Clone(d.data), rd.Snapshot.Index
		h.node.ReportApplied(h.applied)
	}
	if len(rd.Entries) > 0 {
		first := rd.Entries[0].Index
		d.entries = slices.DeleteFunc(slices.Clone(d.entries), func(e *raftpb.Entry) bool { return e.Index >= first })
		prevTerm := d.snapshot.GetTerm()
		if len(d.entries) > 0 {
			prevTerm = d.entries[len(d.entries)-1].Term
		}
		d.entries = append(d.entries, rd.Entries...)
		s.check.checkEntries(prevTerm, rd.Entries)
	}
	if rd.HardState != nil {
		d.hardState = rd.HardState
	}
	h.node.ReportPersisted(rd.Receipt)
	s.send(h, rd.MessagesAfterPersist)
}

func (s *sim) apply(h *host, entries []*raftpb.Entry) {
	for _, e := range entries {
		assert.Equal(s.t, e.Index, h.applied+1, "seed %d: entries applied out of order", s.seed)
		h.applied = e.Index
		s.check.checkApplied(e)
		if key, value, ok := strings.Cut(string(e.Data), "="); ok && e.Kind == raftpb.EntryKind_ENTRY_KIND_COMMAND {
			h.kv[key] = value
		}
		if w := h.writes[e.Index]; w != nil && w.term == e.Term {
			s.hist.finish(s, w, "")
		}
		delete(h.writes, e.Index)
	}
	h.node.ReportApplied(h.applied)
	if h.applied >= h.disk.snapshot.GetIndex()+compactInterval {
		s.compact(h)
	}
	s.serveReads(h, nil)
}

func (s *sim) compact(h *host) {
	meta, err := h.node.SnapshotMeta(h.applied)
	assert.NilError(s.t, err)
	h.disk.snapshot, h.disk.data = meta, maps.Clone(h.kv)
	h.disk.entries = slices.DeleteFunc(slices.Clone(h.disk.entries), func(e *raftpb.Entry) bool { return e.Index <= meta.Index })
	assert.NilError(s.t, h.node.Compact(meta, Retention{Entries: retainedEntries, Bytes: math.MaxInt}))
}

// send sends messages over the network, which may lose, delay, duplicate or
// reorder them.
func (s *sim) send(h *host, messages []*raftpb.Message) {
	for _, m := range messages {
		to := s.hosts[s.slotOf[m.To]]
		copies := 1
		if s.rng.IntN(100) < s.lossPercent {
			copies = s.rng.IntN(2) * 2
		}
		if m.Kind == raftpb.MessageKind_MESSAGE_KIND_SNAPSHOT {
			s.streamSnapshot(h, to, m, copies > 0)
			continue
		}
		for range copies {
			s.after(s.delay(netDelay), func() { s.deliver(h, to, m) })
		}
	}
}

func (s *sim) deliver(from, to *host, m *raftpb.Message) {
	if !s.cuts[[2]int{from.slot, to.slot}] {
		s.onHost(to, to.epoch, func() { _ = to.node.Step(m) })
	}
}

// streamSnapshot simulates the transfer of snapshot data between two hosts.
func (s *sim) streamSnapshot(from, to *host, m *raftpb.Message, arrives bool) {
	data, epoch := maps.Clone(from.disk.data), from.epoch
	s.after(s.delay(netDelay), func() {
		ok := arrives && to.node != nil && !s.cuts[[2]int{from.slot, to.slot}]
		if ok {
			s.onHost(to, to.epoch, func() {
				to.receivedSnapshots[m.Snapshot.Index] = data
				_ = to.node.Step(m)
			})
		}
		s.onHost(from, epoch, func() { from.node.ReportSnapshot(m.To, ok) })
	})
}

// leader returns the running host whose replica leads in the highest term, nil if
// there is none.
func (s *sim) leader() *host {
	var leader *host
	for _, h := range s.hosts {
		leads := h.node != nil && s.now >= h.pausedUntil && h.node.role == RoleLeader
		if leads && (leader == nil || h.node.term > leader.node.term) {
			leader = h
		}
	}
	return leader
}
