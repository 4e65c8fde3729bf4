package replica

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/raft"
	"ibistray.example/ibistray/internal/wal"
	"ibistray.example/ibistray/proto/raftpb"
)

const (
	// maxWaitingMessages bounds the received messages that wait for a worker.
	maxWaitingMessages = 8192
	// maxOverdueElections bounds the ticks that are made up for after a pause, in
	// election timeouts. All leases have run out by then.
	maxOverdueElections = 4
	// maxApplyBacklog bounds the committed entries that wait for the state machine
	// of a leader that takes proposals.
	maxApplyBacklog = 8192
	// noDisk is the disk ID of a replica that was removed from this host.
	noDisk = 0
)

// group is the replica of one group. The core mailbox drives the raft core, the
// apply mailbox the state machine; each runs on one goroutine at a time.
type group struct {
	host   *Host
	id     uint64
	logger hclog.Logger
	core   mailbox
	apply  mailbox
	view   atomic.Pointer[view]

	// Used by the core mailbox only.
	node      *raft.Node // nil until the replica takes part
	replicaID uint64
	retired   bool
	tick      uint64            // host tick up to which the node was ticked
	quiesced  bool              // the node was quiesced at the end of the last run
	addresses map[uint64]string // by replica ID: of the members and of senders
	others    []string          // addresses of the other members; replaced as a whole
	leader    raft.SoftState
	boot      *bootstrap        // not nil while first members confirm
	bindings  map[uint64]uint64 // durable: disk ID by replica ID
	binding   map[uint64]bool   // replica IDs whose disk ID is being written
	lostDisk  bool
	writes    []*write
	hardState *raftpb.HardState // not yet written: a higher commit index
	proposals map[uint64]*proposal
	expiry    uint64 // tick at which proposals of a lost leadership are given up, 0: none
	reads     readQueue
	progress  snapshotProgress

	// Used by the apply mailbox only.
	sm      StateMachine
	applied uint64
}

// view is what other goroutines may know of a group.
type view struct {
	replicaID     uint64
	leads         bool
	waiting       bool // proposals wait for an answer
	leaderAddress string
	quiesced      bool     // needs no ticks
	addresses     []string // of the other members
}

func newGroup(h *Host, id uint64, sm StateMachine) *group {
	g := &group{
		host:      h,
		id:        id,
		sm:        sm,
		logger:    h.opts.Logger.With("group", id),
		addresses: make(map[uint64]string),
		bindings:  make(map[uint64]uint64),
		binding:   make(map[uint64]bool),
		proposals: make(map[uint64]*proposal),
	}
	g.reads.init()
	g.core = mailbox{queue: h.cores, process: g.process}
	g.apply = mailbox{queue: h.appliers, process: runAll}
	g.view.Store(&view{})
	return g
}

func runAll(items []func()) {
	for _, item := range items {
		item()
	}
}

// start prepares the replica from what the data folder holds. The caller holds
// the mutex of the host.
func (g *group) start(state *wal.GroupState, members []*raftpb.Member) error {
	removed := false
	for _, binding := range bindingsOf(state) {
		g.bindings[binding.ReplicaID] = binding.DiskID
		removed = removed || binding.DiskID == noDisk
		if binding.DiskID == g.host.diskID {
			g.replicaID = binding.ReplicaID
		}
	}
	switch {
	case g.replicaID != 0:
		return g.resume(state)
	case len(members) > 0 && !removed:
		return g.beginBootstrap(members)
	default:
		return g.beginJoin()
	}
}

func bindingsOf(state *wal.GroupState) []wal.Binding {
	if state == nil {
		return nil
	}
	return state.Bindings
}

// resume starts the node from stored state.
func (g *group) resume(state *wal.GroupState) error {
	index := state.Snapshot.GetIndex()
	if index > 0 {
		began := time.Now()
		if err := g.host.snapshots.restore(g.id, index, g.sm); err != nil {
			return err
		}
		g.logger.Info("snapshot restored", "index", index, "took_ms", time.Since(began).Milliseconds())
	}
	g.applied = index
	return g.startNode(raft.InitialState{
		HardState:    state.HardState,
		Snapshot:     state.Snapshot,
		Entries:      state.Entries,
		AppliedIndex: index,
	})
}

func (g *group) startNode(initial raft.InitialState) error {
	cfg := g.host.opts.Raft
	cfg.Group = g.id
	cfg.ID = g.replicaID
	cfg.Seed = g.host.opts.Seed + g.id
	node, err := raft.New(cfg, initial)
	if err != nil {
		return err
	}
	g.node = node
	g.tick = g.host.ticks()
	g.progress.index = initial.AppliedIndex
	g.progress.applied = initial.AppliedIndex
	g.reads.held = initial.AppliedIndex
	g.logger = g.logger.With("replica", g.replicaID)
	g.refreshMembers()
	g.publish()
	return nil
}

// receive queues a message from another host.
func (g *group) receive(m *raftpb.Message) {
	if !g.core.postLimited(func() { g.step(m) }, maxWaitingMessages) {
		g.host.metrics.dropped.WithLabelValues("queue_full").Inc()
	}
}

// process runs the core: overdue ticks come first, because a lease may have run
// out during a pause.
func (g *group) process(items []func()) {
	g.advance()
	for _, item := range items {
		item()
	}
	g.flush()
	g.followQuiescence()
	g.publish()
}

// followQuiescence resumes the ticks of a node that has woken from the present
// on: the time before was not ticked.
func (g *group) followQuiescence() {
	quiesced := g.node != nil && g.node.Quiesced()
	if g.quiesced && !quiesced {
		g.tick = g.host.ticks()
	}
	g.quiesced = quiesced
}

// advance ticks the node up to the present. While the node is quiesced the tick
// at which it began stays, so that the elapsed time is known when it wakes.
func (g *group) advance() {
	if g.retired {
		return
	}
	now := g.host.ticks()
	if g.boot != nil {
		g.sendIdentity(now)
	}
	g.expireProposals(now)
	if g.node == nil || g.node.Quiesced() {
		return
	}
	most := uint64(maxOverdueElections * g.host.opts.Raft.ElectionTicks)
	for range min(now-g.tick, most) {
		g.node.Tick()
	}
	g.tick = now
}

// suspectLeader wakes an idle group whose leader's host does not answer.
func (g *group) suspectLeader() {
	g.wakeNode(true)
}

// checkIdle wakes an idle group, so that a state is mended that nobody noticed.
func (g *group) checkIdle() {
	g.wakeNode(false)
}

// wakeNode ends the quiescence of the node. The first of the elapsed ticks may
// have been a part of one.
func (g *group) wakeNode(suspect bool) {
	if g.node == nil || !g.node.Quiesced() {
		return
	}
	elapsed := int(g.host.ticks() - g.tick)
	g.node.Wake(max(0, elapsed-1), suspect)
}

// step hands a message to the node.
func (g *group) step(m *raftpb.Message) {
	if g.retired {
		return
	}
	if isIdentity(m) {
		g.stepIdentity(m)
		return
	}
	if g.node == nil {
		return
	}
	g.learnAddress(m)
	if err := g.node.Step(m); err != nil {
		g.host.metrics.dropped.WithLabelValues("refused").Inc()
		g.logger.Debug("message refused", "from", m.GetFrom(), "error", err)
	}
}

// publish makes the view follow the node.
func (g *group) publish() {
	last := g.view.Load()
	next := view{replicaID: g.replicaID, quiesced: g.retired, addresses: g.others}
	if g.node != nil && !g.retired {
		next.quiesced = g.quiesced && g.expiry == 0
		next.waiting = len(g.proposals) > 0
		next.leads = g.leader.Role == raft.RoleLeader
		next.leaderAddress = g.addresses[g.leader.Leader]
	}
	if !next.equal(last) {
		g.view.Store(&next)
	}
}

func (v *view) equal(other *view) bool {
	return v.replicaID == other.replicaID &&
		v.leads == other.leads &&
		v.waiting == other.waiting &&
		v.leaderAddress == other.leaderAddress &&
		v.quiesced == other.quiesced &&
		slices.Equal(v.addresses, other.addresses)
}

// refreshMembers takes the addresses of the members from the node.
func (g *group) refreshMembers() {
	g.setMembers(g.node.Status().Membership.GetMembers())
}

// setMembers takes the addresses of the members. Addresses of senders stay.
func (g *group) setMembers(members []*raftpb.Member) {
	g.others = nil
	for _, member := range members {
		g.addresses[member.GetId()] = member.GetAddress()
		if member.GetId() != g.replicaID {
			g.others = append(g.others, member.GetAddress())
		}
	}
}

// send hands a message to the transport.
func (g *group) send(m *raftpb.Message) {
	address := g.addresses[m.GetTo()]
	if m.GetKind() == raftpb.MessageKind_MESSAGE_KIND_SNAPSHOT {
		g.startStream(address, m)
		return
	}
	g.host.outbox.add(address, g.withAddress(m))
}

// retire ends the work of a removed replica. It returns when no write of it can
// follow.
func (g *group) retire() {
	done := make(chan struct{})
	g.core.post(func() {
		g.retired = true
		g.failProposals(ErrUncertain)
		g.reads.fail(ErrUnknownGroup)
		close(done)
	})
	select {
	case <-done:
	case <-g.host.done:
	}
}
