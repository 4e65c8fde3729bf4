package replica

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"ibistray.example/ibistray/internal/wal"
	"ibistray.example/ibistray/proto/raftpb"
)

const snapshotFolder = "snapshots"

// Host runs the replicas of one host. It implements Log. Its methods may be
// called from several goroutines.
type Host struct {
	opts      Options
	log       *wal.Log
	diskID    uint64
	metrics   *metrics
	cores     *runQueue
	appliers  *runQueue
	outbox    *outbox
	snapshots snapshotStore
	peers     *peerTable

	// groups is replaced as a whole when a group is added or removed.
	groups atomic.Pointer[map[uint64]*group]

	stopping atomic.Bool // new requests are refused
	lag      lag

	mu        sync.Mutex // guards what follows
	leastID   uint64     // of replica IDs that are drawn
	recovered map[uint64]*wal.GroupState
	random    *rand.Rand
	failure   error

	ctx     context.Context // ends when the host stops
	cancel  context.CancelFunc
	ticker  sync.WaitGroup
	streams sync.WaitGroup
	slots   chan struct{} // of snapshot streams that are sent
	halt    sync.Once
	done    chan struct{} // closed when all goroutines have ended
}

// NewHost opens the data folder of a host and starts it without groups. It
// returns ErrConfig for settings that do not fit and ErrStorage, which wraps the
// cause, when the data folder is in use, cannot be read or is damaged.
func NewHost(opts Options) (*Host, error) {
	if err := opts.setDefaults(); err != nil {
		return nil, err
	}
	h := &Host{
		opts:    opts,
		random:  rand.New(rand.NewPCG(opts.Seed, 0)),
		metrics: newMetrics(opts.Registerer),
		slots:   make(chan struct{}, maxStreams),
		done:    make(chan struct{}),
	}
	h.groups.Store(&map[uint64]*group{})
	if err := h.openStorage(); err != nil {
		return nil, err
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.peers = newPeerTable(h.senderMeta(), opts.Raft.ElectionTicks, opts.Raft.HeartbeatTicks)
	h.cores = newRunQueue(opts.Workers)
	h.appliers = newRunQueue(opts.Appliers)
	h.outbox = newOutbox(opts.Transport, h.metrics)
	h.ticker.Go(h.runTicker)
	return h, nil
}

func (h *Host) openStorage() error {
	began := time.Now()
	log, recovered, err := wal.Open(wal.Options{
		FS:          h.opts.FS,
		Dir:         h.opts.Dir,
		SegmentSize: h.opts.SegmentSize,
		Logger:      h.opts.Logger.Named("wal"),
		Registerer:  h.opts.Registerer,
		OnFailure:   h.fail,
	})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrStorage, err)
	}
	h.snapshots = snapshotStore{fs: h.opts.FS, dir: filepath.Join(h.opts.Dir, snapshotFolder)}
	if err := h.snapshots.open(); err != nil {
		log.Close()
		return err
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

// ticks returns the whole ticks since the host started.
func (h *Host) ticks() uint64 {
	return uint64(h.opts.Clock() / h.opts.TickInterval)
}

// lookup returns the replica of a group.
func (h *Host) lookup(id uint64) (*group, error) {
	if g, found := (*h.groups.Load())[id]; found {
		return g, nil
	}
	return nil, fmt.Errorf("%w: group %d", ErrUnknownGroup, id)
}

// AddGroup starts the replica of a group on this host. If the data folder holds
// the replica already, it continues from there and members is not used. Else,
// with members, the replica is one of the first members of a new group, found by
// the address of this host; it takes part once each other first member has
// confirmed that it has not met this replica on another disk. Without members
// the replica waits until the group adds it as a learner under ReplicaID.
//
// Errors: ErrConfig, ErrGroupExists, ErrStopped, and ErrStorage when the stored
// state is damaged.
func (h *Host) AddGroup(id uint64, members []*raftpb.Member, sm StateMachine) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopping.Load() {
		return ErrStopped
	}
	if _, err := h.lookup(id); err == nil {
		return fmt.Errorf("%w: group %d", ErrGroupExists, id)
	}
	g := newGroup(h, id, sm)
	if err := g.start(h.recovered[id], members); err != nil {
		return fmt.Errorf("group %d: %w", id, err)
	}
	delete(h.recovered, id)
	h.storeGroup(id, g)
	g.core.wakeUp()
	return nil
}

// RemoveGroup ends the replica of a group on this host and deletes its state.
// The replica must not be a member of the group any longer. A replica that is
// added here later joins under a new ID.
func (h *Host) RemoveGroup(id uint64) error {
	g, err := h.takeGroup(id)
	if err != nil {
		return err
	}
	g.retire()
	tombstone := wal.Binding{ReplicaID: g.view.Load().replicaID, DiskID: noDisk}
	updates := []wal.Update{{Group: id, Remove: true}, {Group: id, Bindings: []wal.Binding{tombstone}}}
	if err := h.log.Append(updates); err != nil {
		return fmt.Errorf("%w: remove group %d: %w", ErrStorage, id, err)
	}
	h.forgetRecovered(id, tombstone)
	return h.snapshots.removeBefore(id, noSnapshotIndex)
}

// forgetRecovered replaces the state that a later AddGroup would continue from.
func (h *Host) forgetRecovered(id uint64, tombstone wal.Binding) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recovered[id] = &wal.GroupState{Bindings: []wal.Binding{tombstone}}
}

func (h *Host) takeGroup(id uint64) (*group, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g, err := h.lookup(id)
	if err != nil {
		return nil, err
	}
	h.storeGroup(id, nil)
	return g, nil
}

// storeGroup adds a group, or removes it if g is nil. The caller holds the mutex.
func (h *Host) storeGroup(id uint64, g *group) {
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
	return g.view.Load().leaderAddress
}

// Receive takes in messages from another host. It does not block.
func (h *Host) Receive(batch *raftpb.MessageBatch) {
	for _, m := range batch.GetMessages() {
		if m.GetKind() == kindHostHeartbeat {
			h.peers.receive(m, h.ticks())
			continue
		}
		if m.GetKind() == raftpb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW && h.stopping.Load() {
			// Two hosts that stop together would hand leadership to and fro.
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

// fail stops the host after its storage failed.
func (h *Host) fail(cause error) {
	h.mu.Lock()
	first := h.failure == nil
	if first {
		h.failure = fmt.Errorf("%w: %w", ErrStorage, cause)
	}
	err := h.failure
	h.mu.Unlock()
	h.stopping.Store(true)
	if !first {
		return
	}
	h.opts.Logger.Error("host stops: storage failed", "error", cause)
	go func() {
		h.shutdown()
		h.opts.OnFailure(err)
	}()
}

// Err returns why the host stopped by itself, nil if it did not.
func (h *Host) Err() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failure
}

// Done is closed when the host has stopped.
func (h *Host) Done() <-chan struct{} {
	return h.done
}

// Stop refuses new requests, hands the leadership of all groups to other replicas,
// waits until the proposals that it took are answered and ends the host. When ctx
// ends first, the host stops without waiting; callers that still wait then get
// ErrStopped or ErrUncertain.
func (h *Host) Stop(ctx context.Context) error {
	h.stopping.Store(true)
	h.handOver(ctx)
	h.awaitAnswers(ctx)
	h.shutdown()
	<-h.done
	if err := h.Err(); err != nil && !errors.Is(err, wal.ErrClosed) {
		return err
	}
	return nil
}

// shutdown ends all goroutines.
func (h *Host) shutdown() {
	h.halt.Do(func() {
		h.cancel()
		h.ticker.Wait()
		h.streams.Wait()
		h.cores.close()
		h.appliers.close()
		h.outbox.close()
		if err := h.log.Close(); err != nil {
			h.opts.Logger.Error("write-ahead log not closed", "error", err)
		}
		close(h.done)
	})
}
