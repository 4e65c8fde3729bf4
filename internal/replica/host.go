package replica

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ibistray.example/ibistray/internal/panics"
	"ibistray.example/ibistray/internal/wal"
	"ibistray.example/ibistray/proto/raftpb"
)

const snapshotDirName = "snapshots"

// Host runs the replicas of one host. It implements Log and is safe for concurrent
// use.
type Host struct {
	opts         Options
	log          *wal.Log
	diskID       uint64
	metrics      *metrics
	coreWorkers  *runQueue
	applyWorkers *runQueue
	outbox       *outbox
	snapshots    snapshotStore
	openedTick   uint64 // when opening the data directory began
	peers        *peerTable

	// groups is copied on write when a group is added or removed.
	groups atomic.Pointer[map[uint64]*group]

	stopping atomic.Bool // true: new requests fail
	delay    schedulingDelay

	mu           sync.Mutex                 // guards minReplicaID, recovered, random and failure
	minReplicaID uint64                     // minimum of generated replica IDs
	recovered    map[uint64]*wal.GroupState // stored state of groups that are not added yet
	random       *rand.Rand
	failure      error

	ctx           context.Context // cancelled when the host stops
	cancel        context.CancelFunc
	ticker        sync.WaitGroup
	snapshotSends sync.WaitGroup
	// snapshotWrites are started by apply workers. They end early when the host stops.
	snapshotWrites sync.WaitGroup
	snapshotSlots  chan struct{} // semaphore of concurrent snapshot sends
	shutdownOnce   sync.Once
	done           chan struct{} // closed when all goroutines have ended
}

// NewHost opens the data directory of a host and starts the host without groups. It
// returns ErrConfig for invalid options and ErrStorage, with its cause, when the
// data directory is in use, unreadable or damaged.
func NewHost(opts Options) (*Host, error) {
	if err := opts.setDefaults(); err != nil {
		return nil, err
	}
	h := &Host{
		opts:          opts,
		random:        rand.New(rand.NewPCG(opts.Seed, 0)),
		metrics:       newMetrics(opts.Registerer),
		snapshotSlots: make(chan struct{}, maxSnapshotSends),
		done:          make(chan struct{}),
	}
	h.groups.Store(&map[uint64]*group{})
	h.openedTick = h.ticks()
	if err := h.openStorage(); err != nil {
		return nil, err
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.peers = newPeerTable(h.senderMetadata(), opts.Raft.ElectionTicks, opts.Raft.HeartbeatTicks)
	h.coreWorkers = newRunQueue(opts.Workers, h.contain, h.failAfterPanic)
	h.applyWorkers = newRunQueue(opts.ApplyWorkers, h.contain, h.failAfterPanic)
	h.outbox = newOutbox(opts.Transport, h.metrics, h.Contain)
	h.ticker.Go(func() { h.Contain(h.runTicker) })
	return h, nil
}

func (h *Host) openStorage() error {
	began := time.Now()
	h.snapshots = snapshotStore{fs: h.opts.FS, dir: filepath.Join(h.opts.Dir, snapshotDirName)}
	log, recovered, err := wal.Open(wal.Options{
		FS:          h.opts.FS,
		Dir:         h.opts.Dir,
		SegmentSize: h.opts.SegmentSize,
		Logger:      h.opts.Logger.Named("wal"),
		Registerer:  h.opts.Registerer,
		BeforeWrite: h.beforeWrite,
		OnFailure:   h.fail,
	})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrStorage, err)
	}
	if err := h.snapshots.removeUnused(recovered); err != nil {
		h.opts.Logger.Warn("cannot remove old snapshots", "error", err)
	}
	h.log = log
	h.diskID = log.Identity().DiskID
	h.recovered = recovered
	entries := 0
	for _, state := range recovered {
		entries += len(state.Entries)
	}
	h.opts.Logger.Info("log recovered", "groups", len(recovered), "entries", entries, "took_ms", time.Since(began).Milliseconds())
	return nil
}

// beforeWrite makes room in the data directory.
func (h *Host) beforeWrite(recovered map[uint64]*wal.GroupState) error {
	h.opts.BeforeWrite()
	return h.snapshots.open(recovered)
}

// ticks returns the number of whole ticks since the host started.
func (h *Host) ticks() uint64 {
	return uint64(h.opts.Clock() / h.opts.TickInterval)
}

// silentTicks returns the number of whole ticks since this host began to open its data
// directory. The process that used the directory before had ended then.
func (h *Host) silentTicks() int {
	return int(max(h.ticks(), h.openedTick+1) - h.openedTick - 1)
}

// lookup returns the replica of a group on this host, or ErrUnknownGroup.
func (h *Host) lookup(id uint64) (*group, error) {
	if g, found := (*h.groups.Load())[id]; found {
		return g, nil
	}
	return nil, fmt.Errorf("%w: group %d", ErrUnknownGroup, id)
}

// AddGroup starts the replica of a group on this host. A replica that the data
// directory contains resumes from its stored state, and members is ignored. Otherwise,
// with members, the replica is the initial member of a new group that has the
// address of this host; it participates once each other initial member has
// confirmed that it has not seen this replica on another disk, see also
// Options.BootstrapQuorumDelay. Without members, an initial member that was started on
// this data directory before continues; any other replica waits until the group adds it
// as a learner with the ID from ReplicaID.
//
// Errors: ErrConfig, ErrGroupExists, ErrStopped, ErrStorage when the stored state is damaged, and
// ErrPanic, after which the host must be stopped.
func (h *Host) AddGroup(id uint64, members []*raftpb.Member, sm StateMachine) error {
	return h.addGroup(id, members, sm, false)
}

// AddConfirmedGroup is like AddGroup, for an initial member whose data directory may have been emptied.
// It participates only once each other initial member has confirmed it, whatever
// Options.BootstrapQuorumDelay says, and records nothing before.
func (h *Host) AddConfirmedGroup(id uint64, members []*raftpb.Member, sm StateMachine) error {
	return h.addGroup(id, members, sm, true)
}

// IsInitialMember reports whether the replica of a group on this host is an initial member that has not
// taken part in the group yet.
func (h *Host) IsInitialMember(id uint64) bool {
	g, err := h.lookup(id)
	return err == nil && g.published.Load().initial
}

// Stored reports whether the data directory contains a replica of a group that has not been added yet,
// the initial members of one, or the trace of a removed one.
func (h *Host) Stored(id uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	state := h.recovered[id]
	if len(recordedMembers(state)) > 0 {
		return true
	}
	return slices.ContainsFunc(storedBindings(state), func(b wal.Binding) bool {
		return b.DiskID == h.diskID || b.DiskID == removedDiskID
	})
}

func (h *Host) addGroup(id uint64, members []*raftpb.Member, sm StateMachine, confirmed bool) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopping.Load() {
		return ErrStopped
	}
	if _, err := h.lookup(id); err == nil {
		return fmt.Errorf("%w: group %d", ErrGroupExists, id)
	}
	g := newGroup(h, id, sm)
	var err error
	if panicked := h.contain(func() { err = g.start(h.recovered[id], members, confirmed) }); panicked != nil {
		err = fmt.Errorf("%w: %w", ErrPanic, panicked)
	}
	if err != nil {
		return fmt.Errorf("group %d: %w", id, err)
	}
	delete(h.recovered, id)
	h.setGroup(id, g)
	g.core.wakeUp()
	return nil
}

// RemoveGroup stops the replica of a group on this host and deletes its state. The
// replica must no longer be a member of the group. A replica that is added here
// later joins with a new ID. Errors: ErrUnknownGroup, ErrStorage.
func (h *Host) RemoveGroup(id uint64) error {
	g, err := h.detachGroup(id)
	if err != nil {
		return err
	}
	g.markRemoved()
	tombstone := wal.Binding{ReplicaID: g.published.Load().replicaID, DiskID: removedDiskID}
	updates := []wal.Update{{Group: id, Remove: true}, {Group: id, Bindings: []wal.Binding{tombstone}}}
	if err := h.log.Append(updates); err != nil {
		return fmt.Errorf("%w: remove group %d: %w", ErrStorage, id, err)
	}
	h.replaceRecovered(id, tombstone)
	if err := h.snapshots.removeBefore(id, maxSnapshotIndex); err != nil {
		g.log.Warn("cannot remove the snapshots of a removed replica, the next start does", "error", err)
	}
	return nil
}

// replaceRecovered replaces the state from which a later AddGroup starts by the
// tombstone.
func (h *Host) replaceRecovered(id uint64, tombstone wal.Binding) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recovered[id] = &wal.GroupState{Bindings: []wal.Binding{tombstone}}
}

func (h *Host) detachGroup(id uint64) (*group, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g, err := h.lookup(id)
	if err != nil {
		return nil, err
	}
	h.setGroup(id, nil)
	return g, nil
}

// setGroup adds a group, or removes it if g is nil. The caller holds the mutex.
func (h *Host) setGroup(id uint64, g *group) {
	groups := maps.Clone(*h.groups.Load())
	if g == nil {
		delete(groups, id)
	} else {
		groups[id] = g
	}
	h.groups.Store(&groups)
	h.metrics.groups.Set(float64(len(groups)))
}

// Leader implements Log.
func (h *Host) Leader(id uint64) string {
	g, err := h.lookup(id)
	if err != nil {
		return ""
	}
	return g.published.Load().leaderAddress
}

// Receive queues messages from another host for their groups. It does not block.
func (h *Host) Receive(batch *raftpb.MessageBatch) {
	for _, m := range batch.GetMessages() {
		if m.GetKind() == kindHostHeartbeat {
			h.peers.receive(m, h.ticks())
			continue
		}
		if m.GetKind() == raftpb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW && h.stopping.Load() {
			// Two hosts that stop together would transfer leadership back and forth.
			h.metrics.dropped.WithLabelValues("stopping").Inc()
			continue
		}
		g, err := h.lookup(m.GetGroup())
		if err != nil {
			h.metrics.dropped.WithLabelValues("unknown_group").Inc()
			continue
		}
		g.receive(m)
	}
}

// contain calls a function and returns its panic as an error.
func (h *Host) contain(f func()) error { return panics.Contain(h.opts.Logger, "replica", f) }

// Contain calls a function that changes replicas. After its panic, the host stops as after a failure
// of its storage, with ErrPanic.
func (h *Host) Contain(f func()) {
	if err := h.contain(f); err != nil {
		h.failAfterPanic(err)
	}
}

// Fail stops the host as after a failure of its storage: the state of a replica is damaged, but
// the log and the snapshots are not.
func (h *Host) Fail(cause error) { h.fail(cause) }

// fail stops the host after a storage failure and reports the first one to OnFailure.
func (h *Host) fail(cause error) { h.failWith(fmt.Errorf("%w: %w", ErrStorage, cause)) }

// failAfterPanic stops the host because the state of a group in memory is in doubt. What is stored is
// as it was before.
func (h *Host) failAfterPanic(cause error) { h.failWith(fmt.Errorf("%w: %w", ErrPanic, cause)) }

// failWith stops the host and reports its first failure to OnFailure.
func (h *Host) failWith(failure error) {
	h.mu.Lock()
	first := h.failure == nil
	if first {
		h.failure = failure
	}
	err := h.failure
	h.mu.Unlock()
	h.stopping.Store(true)
	if !first {
		return
	}
	h.opts.Logger.Error("host failed and is stopping", "error", err)
	go func() {
		_ = h.contain(h.shutdown)
		h.opts.OnFailure(err)
	}()
}

// Err returns the failure that stopped the host, or nil.
func (h *Host) Err() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failure
}

// Done returns a channel that is closed when the host has stopped.
func (h *Host) Done() <-chan struct{} {
	return h.done
}

// Stop refuses new requests, transfers the leadership of all groups to other
// replicas, waits until accepted proposals have a result and stops the host. When
// ctx ends first, the host stops without waiting, and pending calls return
// ErrStopped or ErrUncertain. Stop returns the failure of the host, if there was one.
func (h *Host) Stop(ctx context.Context) error {
	h.stopping.Store(true)
	h.transferLeaderships(ctx)
	h.waitForProposals(ctx)
	h.shutdown()
	<-h.done
	if err := h.Err(); err != nil && !errors.Is(err, wal.ErrClosed) {
		return err
	}
	return nil
}

// shutdown ends all goroutines and closes the log.
func (h *Host) shutdown() {
	h.shutdownOnce.Do(func() {
		defer close(h.done)
		h.cancel()
		h.ticker.Wait()
		h.coreWorkers.close() // first, because they start snapshot sends
		h.snapshotSends.Wait()
		h.applyWorkers.close()
		h.snapshotWrites.Wait()
		h.outbox.close()
		if err := h.log.Close(); err != nil {
			h.opts.Logger.Error("cannot close write-ahead log", "error", err)
		}
	})
}
