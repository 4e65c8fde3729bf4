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
	// maxQueuedMessages limits the received messages of a group that wait for a
	// worker.
	maxQueuedMessages = 8192
	// maxCatchUpElectionTimeouts limits, in election timeouts, the missed ticks that
	// are delivered after a pause. All leases have expired by then.
	maxCatchUpElectionTimeouts = 4
	// maxApplyBacklog is the number of committed but not yet applied entries above
	// which new proposals fail with ErrUnavailable.
	maxApplyBacklog = 8192
	// removedDiskID is the disk ID recorded for a replica that was removed from this
	// host.
	removedDiskID = 0
)

// group is this host's replica of one raft group. The core mailbox drives the raft
// core and the apply mailbox the state machine. Each runs on one goroutine at a time.
type group struct {
	host      *Host
	id        uint64
	log       hclog.Logger
	core      mailbox
	apply     mailbox
	published atomic.Pointer[publishedState]

	// Used by the core mailbox only.
	node             *raft.Node // nil until the replica participates
	replicaID        uint64
	removed          bool
	tickedUntil      uint64            // host tick up to which the node has been ticked
	wasQuiesced      bool              // the node was quiesced after the previous run
	addresses        map[uint64]string // by replica ID; of members and of other senders
	peerAddresses    []string          // of the other members; never modified in place
	softState        raft.SoftState
	bootstrap        *bootstrap        // nil unless initial members confirm each other
	bindings         map[uint64]uint64 // durable disk IDs by replica ID
	pendingBindings  map[uint64]bool   // replica IDs whose disk ID is being written
	lostDisk         bool              // another member has seen this replica on another disk
	pendingWrites    []*pendingWrite
	pendingHardState *raftpb.HardState // has a higher commit index that is not yet written
	proposals        map[uint64]*proposal
	proposalDeadline uint64 // tick at which proposals of an earlier leadership fail; 0: none pending
	reads            readQueue
	progress         snapshotProgress

	// Used by the apply mailbox only.
	sm           StateMachine
	appliedIndex uint64
}

// publishedState is the state of a group that other goroutines may read.
type publishedState struct {
	replicaID     uint64
	isLeader      bool
	hasProposals  bool // proposals without a result
	leaderAddress string
	initial       bool     // an initial member that has not taken part yet
	idle          bool     // needs no ticks: removed, or quiesced without proposals that may expire
	peerAddresses []string // of the other members
}

func newGroup(h *Host, id uint64, sm StateMachine) *group {
	g := &group{
		host:            h,
		id:              id,
		sm:              sm,
		log:             h.opts.Logger.With("group", id),
		addresses:       make(map[uint64]string),
		bindings:        make(map[uint64]uint64),
		pendingBindings: make(map[uint64]bool),
		proposals:       make(map[uint64]*proposal),
	}
	g.reads.init()
	g.core = mailbox{queue: h.coreWorkers, process: g.process}
	g.apply = mailbox{queue: h.applyWorkers, process: runAll}
	g.published.Store(&publishedState{})
	return g
}

func runAll(items []func()) {
	for _, item := range items {
		item()
	}
}

// start resumes the replica from its stored state. Without one, the replica is an
// initial member, or waits to join if there are neither members nor recorded ones, or an
// earlier replica was removed from this host. confirmed is that of beginBootstrap. The caller holds the
// mutex of the host.
func (g *group) start(state *wal.GroupState, members []*raftpb.Member, confirmed bool) error {
	removed := false
	for _, binding := range storedBindings(state) {
		g.bindings[binding.ReplicaID] = binding.DiskID
		removed = removed || binding.DiskID == removedDiskID
		if binding.DiskID == g.host.diskID {
			g.replicaID = binding.ReplicaID
		}
	}
	if recorded := recordedMembers(state); len(members) == 0 {
		members, confirmed = recorded, false
	}
	switch {
	case g.replicaID != 0:
		return g.resume(state)
	case len(members) > 0 && !removed:
		return g.beginBootstrap(state, members, confirmed)
	default:
		return g.beginJoin()
	}
}

func storedBindings(state *wal.GroupState) []wal.Binding {
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
		size, err := g.host.snapshots.restore(g.id, index, g.sm)
		if err != nil {
			return err
		}
		g.progress.snapshotBytes = size
		g.log.Info("snapshot restored", "index", index, "bytes", size, "took_ms", time.Since(began).Milliseconds())
	}
	g.appliedIndex = index
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
	initial.SilentTicks = g.host.silentTicks()
	node, err := raft.New(cfg, initial)
	if err != nil {
		return err
	}
	g.node = node
	g.tickedUntil = g.host.ticks()
	g.progress.snapshotIndex = initial.AppliedIndex
	g.progress.applied = initial.AppliedIndex
	g.reads.appliedIndex = initial.AppliedIndex
	g.log = g.log.With("replica", g.replicaID)
	g.refreshMembers()
	g.publish()
	return nil
}

// receive queues a message from another host.
func (g *group) receive(m *raftpb.Message) {
	if !g.core.postLimited(func() { g.step(m) }, maxQueuedMessages) {
		g.host.metrics.dropped.WithLabelValues("queue_full").Inc()
	}
}

// process handles the items of the core mailbox. Missed ticks come first, because a
// lease may have expired during a pause.
func (g *group) process(items []func()) {
	g.tickToNow()
	for _, item := range items {
		item()
	}
	g.processReady()
	g.updateQuiescence()
	g.publish()
}

// updateQuiescence tracks whether the node is quiesced. A node that has just woken
// gets no ticks for the time for which it was quiesced.
func (g *group) updateQuiescence() {
	quiesced := g.node != nil && g.node.Quiesced()
	if g.wasQuiesced && !quiesced {
		g.tickedUntil = g.host.ticks()
	}
	g.wasQuiesced = quiesced
}

// tickToNow ticks the node up to the current host tick. While the node is quiesced,
// tickedUntil stays at the start of the quiescence, so that wakeNode knows the
// elapsed time.
func (g *group) tickToNow() {
	if g.removed {
		return
	}
	now := g.host.ticks()
	if g.bootstrap != nil {
		g.sendIdentityRequests(now)
	}
	g.expireProposals(now)
	if g.node == nil || g.node.Quiesced() {
		return
	}
	maxTicks := uint64(maxCatchUpElectionTimeouts * g.host.opts.Raft.ElectionTicks)
	for range min(now-g.tickedUntil, maxTicks) {
		g.node.Tick()
	}
	g.tickedUntil = now
}

// wakeOnSuspectedLeader wakes an idle group whose leader's host does not respond.
func (g *group) wakeOnSuspectedLeader() {
	g.wakeNode(true)
}

// wakePeriodically wakes an idle group, so that its replicas recover from
// inconsistencies that nothing else detects.
func (g *group) wakePeriodically() {
	g.wakeNode(false)
}

// wakeNode ends the quiescence of the node. It tells the node one tick less than
// the elapsed number, because the first tick may have been partial.
func (g *group) wakeNode(leaderSuspected bool) {
	if g.node == nil || !g.node.Quiesced() {
		return
	}
	elapsed := int(g.host.ticks() - g.tickedUntil)
	g.node.Wake(max(0, elapsed-1), leaderSuspected)
}

// step passes a received message to the node.
func (g *group) step(m *raftpb.Message) {
	if g.removed {
		return
	}
	if isIdentityMessage(m) {
		g.handleIdentityMessage(m)
		return
	}
	if g.node == nil {
		return
	}
	g.recordSenderAddress(m)
	if err := g.node.Step(m); err != nil {
		g.host.metrics.dropped.WithLabelValues("refused").Inc()
		g.log.Debug("message rejected by raft core", "from", m.GetFrom(), "error", err)
	}
}

// publish updates the published state if it has changed.
func (g *group) publish() {
	last := g.published.Load()
	next := publishedState{replicaID: g.replicaID, idle: g.removed, peerAddresses: g.peerAddresses, initial: g.bootstrap != nil}
	if g.node != nil && !g.removed {
		next.idle = g.wasQuiesced && g.proposalDeadline == 0
		next.hasProposals = len(g.proposals) > 0
		next.isLeader = g.softState.Role == raft.RoleLeader
		next.leaderAddress = g.addresses[g.softState.Leader]
	}
	if !next.equal(last) {
		g.published.Store(&next)
	}
}

func (s *publishedState) equal(other *publishedState) bool {
	return s.replicaID == other.replicaID &&
		s.isLeader == other.isLeader &&
		s.hasProposals == other.hasProposals &&
		s.leaderAddress == other.leaderAddress &&
		s.idle == other.idle &&
		s.initial == other.initial &&
		slices.Equal(s.peerAddresses, other.peerAddresses)
}

// refreshMembers updates the addresses from the membership of the node.
func (g *group) refreshMembers() {
	g.setMembers(g.node.Status().Membership.GetMembers())
}

// setMembers records the addresses of the members. Addresses of other senders stay.
func (g *group) setMembers(members []*raftpb.Member) {
	g.peerAddresses = nil
	for _, member := range members {
		g.addresses[member.GetId()] = member.GetAddress()
		if member.GetId() != g.replicaID {
			g.peerAddresses = append(g.peerAddresses, member.GetAddress())
		}
	}
}

// send queues a message for the transport, or starts the transfer of a snapshot.
func (g *group) send(m *raftpb.Message) {
	address := g.addresses[m.GetTo()]
	if m.GetKind() == raftpb.MessageKind_MESSAGE_KIND_SNAPSHOT {
		g.startSnapshotSend(address, m)
		return
	}
	g.host.outbox.add(address, g.withSenderAddress(m))
}

// markRemoved stops a replica that is being removed. When it returns, the replica
// starts no more writes.
func (g *group) markRemoved() {
	done := make(chan struct{})
	g.core.post(func() {
		g.removed = true
		g.failProposals(ErrUncertain)
		g.reads.fail(ErrUnknownGroup)
		close(done)
	})
	select {
	case <-done:
	case <-g.host.done:
	}
}
