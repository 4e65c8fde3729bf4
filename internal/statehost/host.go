// Package statehost implements the control role of a deployment with pass-through
// routes. A state host holds replicas of the configuration and of the program ledger,
// receives the heartbeats of backend servers, and streams changes to the entries.
package statehost

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/semaphore"
	"golang.org/x/sync/singleflight"

	"ibistray.example/ibistray/internal/clock"
	"ibistray.example/ibistray/internal/fleet"
	"ibistray.example/ibistray/internal/fleetwatch"
	"ibistray.example/ibistray/internal/leaderclient"
	"ibistray.example/ibistray/internal/ledger"
	"ibistray.example/ibistray/internal/loop"
	"ibistray.example/ibistray/internal/panics"
	"ibistray.example/ibistray/internal/peer"
	"ibistray.example/ibistray/internal/policy/founding"
	"ibistray.example/ibistray/internal/policy/quota"
	"ibistray.example/ibistray/internal/policy/retention"
	"ibistray.example/ibistray/internal/raft"
	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/internal/routing"
	"ibistray.example/ibistray/internal/spill"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/internal/wal"
	"ibistray.example/ibistray/proto/raftpb"
)

// Raft groups that the state hosts replicate.
const (
	ConfigGroup uint64 = 1 // routes and retirements
	LedgerGroup uint64 = 2 // token budgets and kept turns
)

const (
	// tickInterval and electionTicks start an election after 0.25 to 0.5 s without a
	// leader. This is short compared with the seconds after which callers give up, and
	// long compared with the pauses of a small host, which may lose its share of a core
	// for 0.1 s.
	tickInterval   = 25 * time.Millisecond
	electionTicks  = 10
	heartbeatTicks = 2
	// quorumTicks is how long a leader without contact to a quorum keeps its leadership.
	// It covers three retransmissions on a network that loses packets.
	quorumTicks = 3 * electionTicks
	// A snapshot rewrites the whole state, and the entries after the last one are replayed
	// at start. In between, the log grows to a share of the snapshot.
	snapshotEntries  = 20_000
	snapshotBytes    = 16 << 20
	minSnapshotBytes = 1 << 20
	// On small disks the log takes at most a fourth: the commands since the latest
	// snapshot, those that arrive while one is written and the segments that are not removed yet.
	snapshotDiskShare = 16
	segmentDiskShare  = 64
	// A start reads whole segments, also those that only a group with few entries retains,
	// and writes the last one anew.
	maxSegmentBytes = 1 << 20
	maxSegments     = 2
	// retainMemoryShare is the part of the memory limit that the entries of one group may take
	// which a snapshot covers, and pendingMemoryShare that of the commands which wait for a quorum.
	retainMemoryShare  = 32
	pendingMemoryShare = 8
	// uncoveredMemoryShare is the part for the entries of one group that arrive while a snapshot is
	// written. A disk that is slow takes longer for it.
	uncoveredMemoryShare = 8
	// defaultMemoryBytes is assumed for hosts without a memory limit.
	defaultMemoryBytes = 256 << 20
	sweepInterval      = time.Second
)

// Config configures a state host.
type Config struct {
	Name          string
	Address       string // for calls between processes
	PublicAddress string // of the operator API
	FailureDomain string
	DataDir       string
	// Bootstrap allows this host to create the groups if its address is one of the
	// seeds.
	Bootstrap bool
	// ProcessAge returns the time since the start of the process, with the time for which it was
	// suspended. Bootstrap then also says that the system did not run before, and a host without
	// Bootstrap and replicas asks the others whether it may still create the groups, see
	// internal/policy/founding. nil: this process may have used the data directory before.
	ProcessAge func() time.Duration
	// FaultTolerance is the number of state hosts that may be lost at the same time.
	// Each group has 2*FaultTolerance+1 voters.
	FaultTolerance int
	// Standby hosts serve operators and backend servers like the others, but hold
	// replicas only while too few other hosts can.
	Standby bool
	// DiskBytes is the size of the disk; 0: not known. The log is kept small enough for
	// it, and groups whose state does not fit are not placed here.
	DiskBytes int64
	// MemoryBytes is the memory limit of the process; 0: none.
	MemoryBytes int64
	// Seeds returns the addresses of some state hosts for calls between processes. The
	// result may change.
	Seeds func() []string
	// DecodeRoutes decodes and validates a routes document.
	DecodeRoutes func(document []byte) (*routing.Document, error)
	// HeartbeatInterval is the interval at which backend servers send heartbeats.
	HeartbeatInterval time.Duration
	// FS stores the log and the snapshots; nil: the file system of the operating system.
	FS wal.FS
	// Clock is a monotonic clock that also advances while the host is suspended; nil:
	// the boot-time clock of the operating system.
	Clock func() time.Duration
	// TimeOfDay is the clock by which the time of a new program ledger begins; nil: time.Now.
	TimeOfDay func() time.Time
	// AccountWindow says how the limits of client accounts are measured.
	AccountWindow quota.Window
}

// memoryBytes returns the memory limit, or defaultMemoryBytes if there is none.
func (c *Config) memoryBytes() int64 {
	if c.MemoryBytes <= 0 {
		return defaultMemoryBytes
	}
	return c.MemoryBytes
}

// Host is the state host of this process. Run starts its background work, Stop ends it.
type Host struct {
	cfg      Config
	log      hclog.Logger
	metrics  *metrics
	pool     *transport.Pool
	peers    *peer.Transport
	replicas *replica.Host
	config   *configState
	packed   packedRoutes
	ledger   *ledger.State
	spill    *spill.Store // bodies of the ledger
	servers  *fleet.Table
	crashes  *crashLog
	permits  *permitAllocator
	accounts *accountAllocator
	hosts    *hostTable
	leaders  *leaderclient.Client

	systemStart   *systemStart
	initialSeeds  []string // when the host was opened, sorted
	pendingGroups []uint64 // without stored replicas, added by addPendingGroups

	ledgerClock *ledgerClock
	peerWatcher *fleetwatch.Watcher

	pendingProposals singleflight.Group // commands to the ledger by kind and call ID, routes by version and content
	pushes           pushLimiter
	pendingCommands  atomic.Int64
	pendingBytes     atomic.Int64 // of the pending commands of both groups
	room             room
	chainReads       *semaphore.Weighted // bytes of turns that are read for requests

	configLeader leaderclient.LeaderCache
	ledgerLeader leaderclient.LeaderCache

	started            time.Time
	persistedRevision  uint64                     // revision of the servers in serversFile; used by persistServers only
	persistedHosts     []string                   // state hosts in serversFile; used by persistServers only
	unknownReported    int64                      // records of unknown kinds that were logged
	spillReported      int64                      // bodies that were not written to the disk and are counted; used by sweep only
	diskTooSmall       bool                       // result of the last checkDisk; used by sweep only
	roomLevels         map[string]retention.Level // by resource, at the last updateRoom; used by sweep only
	replicaReplacement chan struct{}              // semaphore, held while a replica is replaced on the disk
	background         sync.WaitGroup
	cancel             context.CancelFunc
}

// New opens the data directory and starts the replicas. onFailure is called once, when
// the storage fails; the host must be closed then, and may be opened again. Errors: those of replica.NewHost and
// replica.Host.AddGroup.
func New(cfg Config, log hclog.Logger, registry prometheus.Registerer, pool *transport.Pool, onFailure func(error)) (*Host, error) {
	peers := peer.New(pool, log.Named("peer"))
	replicas, err := openReplicas(cfg, peers, log, registry, onFailure)
	if err != nil {
		peers.Close()
		return nil, err
	}
	disk := newSpill(&cfg)
	programs := ledger.NewSpilling(disk, bodyMemoryBytes(&cfg))
	h := &Host{
		cfg:      cfg,
		log:      log,
		metrics:  newMetrics(registry),
		pool:     pool,
		peers:    peers,
		replicas: replicas,
		config:   newConfigState(),
		ledger:   programs,
		spill:    disk,
		servers:  fleet.NewTable(),
		crashes:  newCrashLog(),
		permits:  newPermitAllocator(),
		accounts: newAccountAllocator(cfg, programs),
		hosts:    newHostTable(),

		systemStart:  newSystemStart(),
		initialSeeds: slices.Compact(slices.Sorted(slices.Values(cfg.Seeds()))),

		ledgerClock: newLedgerClock(cfg, programs),
		roomLevels:  make(map[string]retention.Level),

		replicaReplacement: make(chan struct{}, 1),

		started: time.Now(),
	}
	h.chainReads = semaphore.NewWeighted(h.LargeRequestBytes())
	h.room.disk.Store(h.diskCapacity(cfg.DiskBytes))
	h.leaders = leaderclient.NewWithOptions(pool, leaderclient.Options{
		Addresses:      h.knownAddresses,
		AttemptTimeout: leaderCallTimeout,
		OnRetry:        func(reason string) { h.metrics.retries.WithLabelValues(reason).Inc() },
	})
	h.peerWatcher = h.newPeerWatcher()
	_ = panics.Contain(log, "servers file", h.restoreServers)
	if err := h.addGroups(); err != nil {
		err = errors.Join(err, h.replicas.Stop(context.Background()))
		h.spill.Close()
		peers.Close()
		return nil, err
	}
	return h, nil
}

// openReplicas opens the log in the data directory.
func openReplicas(cfg Config, peers *peer.Transport, log hclog.Logger, registry prometheus.Registerer, onFailure func(error)) (*replica.Host, error) {
	bootTime := cfg.Clock
	if bootTime == nil {
		var err error
		if bootTime, err = clock.BootTime(); err != nil {
			return nil, fmt.Errorf("statehost: open clock: %w", err)
		}
	}
	replicas, err := replica.NewHost(replica.Options{
		Dir:               cfg.DataDir,
		FS:                cfg.FS,
		Address:           cfg.Address,
		Transport:         peers,
		TickInterval:      tickInterval,
		Raft:              raft.Config{ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, QuorumTicks: quorumTicks},
		SnapshotEntries:   snapshotEntries,
		SnapshotBytes:     int(diskShare(cfg.DiskBytes, snapshotDiskShare, snapshotBytes)),
		MinSnapshotBytes:  minSnapshotBytes,
		RetainBytes:       int(cfg.memoryBytes() / retainMemoryShare),
		MaxUncoveredBytes: int(uncoveredBytes(&cfg, cfg.DiskBytes)),
		MaxSegments:       maxSegments,
		SegmentSize:       diskShare(cfg.DiskBytes, segmentDiskShare, maxSegmentBytes),
		Clock:             bootTime,
		BeforeWrite:       func() { removeSpill(&cfg, log) },

		// Bootstrap is never set for a disk that held replicas.
		BootstrapQuorumDelay: founding.QuorumDelay,

		Logger:     log.Named("replica"),
		Registerer: registry,
		OnFailure:  onFailure,
	})
	if err != nil {
		return nil, fmt.Errorf("statehost: open replicas in %s: %w", cfg.DataDir, err)
	}
	return replicas, nil
}

// diskShare returns a part of a disk, at most limit, which also applies to a disk of
// unknown size.
func diskShare(disk, part, limit int64) int64 {
	if disk <= 0 {
		return limit
	}
	return min(disk/part, limit)
}

// addGroups starts a replica of each group. A replica that is stored on the disk
// resumes. A new one starts with the seeds as members if this host may create the
// groups; otherwise it waits until it is added to its group. Those of which that is not certain
// yet are left to addPendingGroups.
func (h *Host) addGroups() error {
	mayBegin := h.mayBegin()
	for group, state := range h.stateMachines() {
		if mayBegin && !h.replicas.Stored(group) {
			h.pendingGroups = append(h.pendingGroups, group)
			continue
		}
		if err := h.replicas.AddGroup(group, h.initialMembers(), state); err != nil {
			return fmt.Errorf("statehost: add group %d: %w", group, err)
		}
	}
	if len(h.pendingGroups) == 0 {
		h.systemStart.stopCollecting()
	}
	return nil
}

func (h *Host) stateMachines() map[uint64]replica.StateMachine {
	return map[uint64]replica.StateMachine{ConfigGroup: h.config, LedgerGroup: h.ledger}
}

// initialMembers returns the members of new groups, or nil if this host must not create
// groups.
func (h *Host) initialMembers() []*raftpb.Member {
	if !h.cfg.Bootstrap || !slices.Contains(h.initialSeeds, h.cfg.Address) {
		return nil
	}
	return seedMembers(h.initialSeeds)
}

// Register registers the methods that other processes call.
func (h *Host) Register(server *transport.Server) {
	peer.Register(server, h.replicas)
	server.Handle(transport.MethodHostMembers, transport.Unary(h.handleMembers))
	server.Handle(transport.MethodReplicaStatus, transport.Unary(h.handleStatus))
	server.Handle(transport.MethodRoutes, transport.Unary(h.handleConfig))
	server.Handle(transport.MethodRoutesFetch, transport.Unary(h.handleRoutesFetch))
	server.Handle(transport.MethodLedger, transport.SharedUnary(h.handleLedger))
	server.Handle(transport.MethodLedgerChain, transport.SharedUnary(h.handleChain))
	server.Handle(transport.MethodCrashReport, transport.Unary(h.handleCrashReport))
	server.Handle(transport.MethodNotices, transport.Unary(h.handleNotices))
	server.Handle(transport.MethodPermits, transport.SharedUnary(h.handlePermits))
	server.Handle(transport.MethodAccounts, transport.SharedUnary(h.handleAccounts))
	server.Handle(transport.MethodFleetWatch, h.handleWatch)
}

// Run starts the background work of the host.
func (h *Host) Run() {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.goEvery(ctx, "description", fleetwatch.KeepAliveInterval, h.recordSelf)
	h.background.Go(func() { panics.Restart(ctx, h.log, "watch", h.peerWatcher.Run) })
	if len(h.pendingGroups) > 0 {
		h.background.Go(func() { h.replicas.Contain(func() { h.addPendingGroups(ctx) }) })
	}
	for group := range h.stateMachines() {
		h.goEvery(ctx, "members", membershipInterval, func(ctx context.Context) { h.adjustMembers(ctx, group) })
	}
	h.goEvery(ctx, "sweep", sweepInterval, h.sweep)
	h.goEvery(ctx, "servers file", persistInterval, h.persistServers)
}

// goEvery calls f once per interval in the background until ctx ends, later after it has panicked.
func (h *Host) goEvery(ctx context.Context, part string, interval time.Duration, f func(context.Context)) {
	h.background.Go(func() {
		panics.Restart(ctx, h.log, part, func(ctx context.Context) { loop.Every(ctx, interval, f) })
	})
}

// sweep removes backend servers without a heartbeat for long, marks the silent ones and
// updates the gauges of the ledger.
func (h *Host) sweep(ctx context.Context) {
	now := time.Now()
	h.ledgerClock.nowMs()
	h.servers.Sweep(now)
	h.permits.prune(clock.SinceBoot())
	h.accounts.prune(clock.SinceBoot())
	for _, instance := range h.servers.MarkSilent(now, maxMissedHeartbeats*h.cfg.HeartbeatInterval) {
		h.log.Warn("backend server is silent", "server", instance.ID, "service", instance.Service, "address", instance.Address, "heard_ms_ago", now.Sub(instance.LastHeartbeat).Milliseconds())
	}
	stats := h.ledger.Stats()
	h.metrics.turns.Set(float64(stats.Turns))
	h.metrics.programs.Set(float64(stats.Programs))
	h.metrics.streams.Set(float64(stats.Streams))
	h.metrics.outputBytes.Set(float64(stats.Outputs))
	h.metrics.turnBytes.Set(float64(stats.Bytes))
	h.metrics.turnMemoryBytes.Set(float64(stats.Memory))
	h.reportSpill(h.spill.Stats())
	h.metrics.routesVersion.Set(float64(h.config.routesInForce().GetVersion()))
	h.reportUnknown(int64(stats.Unknown) + h.config.unknown.Load())
	h.checkDisk(stats.Bytes)
	h.updateRoom(ctx)
}

// reportUnknown logs and counts commands and snapshot records of kinds that only later builds
// know. The state of this host misses what they changed.
func (h *Host) reportUnknown(total int64) {
	if added := total - h.unknownReported; added > 0 {
		h.metrics.unknownRecords.Add(float64(added))
		h.log.Error("records of a later build were ignored: the state of this host is incomplete", "records", added)
	}
	h.unknownReported = total
}

// checkDisk logs when the state no longer fits the disk of this host, and when it fits
// again.
func (h *Host) checkDisk(stateBytes int64) {
	tooSmall := !h.fitsDisk(stateBytes, h.cfg.DiskBytes)
	if tooSmall == h.diskTooSmall {
		return
	}
	h.diskTooSmall = tooSmall
	if tooSmall {
		h.log.Warn("disk is too small for the program ledger: replicas are placed elsewhere if possible", "state_bytes", stateBytes, "disk_bytes", h.cfg.DiskBytes)
		return
	}
	h.log.Info("disk is large enough for the program ledger again", "state_bytes", stateBytes, "disk_bytes", h.cfg.DiskBytes)
}

// Stop transfers the leadership of all groups, ends the background work and closes the
// log. The context limits the wait for the transfers and for pending proposals.
func (h *Host) Stop(ctx context.Context) error {
	err := h.replicas.Stop(ctx)
	if h.cancel != nil {
		h.cancel()
		h.background.Wait()
	}
	h.spill.Close()
	h.peers.Close()
	return err
}

// knownAddresses returns the addresses of this host, of the seeds and of all state hosts
// in the host table, sorted and without duplicates.
func (h *Host) knownAddresses() []string {
	list := append(h.hosts.addresses(), h.cfg.Seeds()...)
	list = append(list, h.cfg.Address)
	slices.Sort(list)
	return slices.Compact(list)
}

// peerAddresses returns the known addresses without that of this host.
func (h *Host) peerAddresses() []string {
	return slices.DeleteFunc(h.knownAddresses(), func(address string) bool { return address == h.cfg.Address })
}
