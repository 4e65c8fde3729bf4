// Package statehost is the control role of a deployment with pass-through routes:
// a host that holds replicas of the configuration and of the program ledger, hears
// the heartbeats of backend servers, and tells entries what changed.
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
	"golang.org/x/sync/singleflight"

	"ibistray.example/ibistray/internal/fleet"
	"ibistray.example/ibistray/internal/fleetwatch"
	"ibistray.example/ibistray/internal/leaderclient"
	"ibistray.example/ibistray/internal/ledger"
	"ibistray.example/ibistray/internal/loop"
	"ibistray.example/ibistray/internal/peer"
	"ibistray.example/ibistray/internal/raft"
	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/internal/routing"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/internal/wal"
	"ibistray.example/ibistray/proto/raftpb"
)

// Groups of a state host.
const (
	ConfigGroup uint64 = 1 // routes and retirements
	LedgerGroup uint64 = 2 // budgets and kept turns
)

const (
	// tickInterval and the election ticks give elections after 0.25 to 0.5 s without a
	// leader: fast against the seconds in which callers give up, slow against the
	// pauses of a small host, whose share of a core may be taken away for 0.1 s.
	tickInterval   = 25 * time.Millisecond
	electionTicks  = 10
	heartbeatTicks = 2
	// quorumTicks keeps a leader over three retransmissions on a network that loses
	// packets.
	quorumTicks = 3 * electionTicks
	// Snapshots rewrite the whole state, so they are taken rarely; what lies between
	// them is read again at a start.
	snapshotEntries = 20_000
	snapshotBytes   = 16 << 20
	sweepInterval   = time.Second
)

// Config names one state host.
type Config struct {
	Name          string
	Address       string // between processes
	PublicAddress string // of the operators' interface
	FailureDomain string
	DataDir       string
	// Bootstrap allows this host to found the groups, if it is one of the seeds.
	Bootstrap bool
	// FaultTolerance is how many state hosts may be lost at once.
	FaultTolerance int
	// Seeds returns the addresses between processes of some state hosts; they may change.
	Seeds func() []string
	// DecodeRoutes reads and checks a document of routes.
	DecodeRoutes func(document []byte) (*routing.Document, error)
	// HeartbeatInterval is that of the backend servers.
	HeartbeatInterval time.Duration
	// FS holds the log and the snapshots; nil: the operating system's.
	FS wal.FS
	// Clock counts the time for which the host was suspended; nil: the boot-time clock.
	Clock func() time.Duration
}

// Host is one state host.
type Host struct {
	cfg      Config
	log      hclog.Logger
	metrics  *metrics
	pool     *transport.Pool
	peers    *peer.Transport
	replicas *replica.Host
	config   *configState
	ledger   *ledger.State
	servers  *fleet.Table
	crashes  *crashLog
	hosts    *hostTable
	leaders  *leaderclient.Client

	peerWatch *fleetwatch.Watcher

	waiting         singleflight.Group // commands of the ledger by kind and call
	waitingCommands atomic.Int64

	configLeader leaderclient.LeaderCache
	ledgerLeader leaderclient.LeaderCache

	started    time.Time
	remembered uint64     // revision of the servers on the disk; used by one loop
	rejoin     sync.Mutex // one replica is put anew at a time
	loops      sync.WaitGroup
	cancel     context.CancelFunc
}

// New opens the data folder and starts the replicas. failed is called once when
// the storage fails; the process has to end then. Errors: those of
// replica.NewHost and AddGroup.
func New(cfg Config, log hclog.Logger, registry prometheus.Registerer, pool *transport.Pool, failed func(error)) (*Host, error) {
	peers := peer.New(pool, log.Named("peer"))
	replicas, err := openReplicas(cfg, peers, log, registry, failed)
	if err != nil {
		peers.Close()
		return nil, err
	}
	h := &Host{
		cfg:      cfg,
		log:      log,
		metrics:  newMetrics(registry),
		pool:     pool,
		peers:    peers,
		replicas: replicas,
		config:   newConfigState(),
		ledger:   ledger.New(),
		servers:  fleet.NewTable(),
		crashes:  newCrashLog(),
		hosts:    newHostTable(),
		started:  time.Now(),
	}
	h.leaders = leaderclient.NewWithOptions(pool, leaderclient.Options{
		Addresses:      h.known,
		AttemptTimeout: leaderTimeout,
		OnRetry:        func(reason string) { h.metrics.retries.WithLabelValues(reason).Inc() },
	})
	h.peerWatch = h.newPeerWatch()
	h.recall()
	if err := h.addGroups(); err != nil {
		err = errors.Join(err, h.replicas.Stop(context.Background()))
		peers.Close()
		return nil, err
	}
	return h, nil
}

// openReplicas opens the log in the data folder.
func openReplicas(cfg Config, peers *peer.Transport, log hclog.Logger, registry prometheus.Registerer, failed func(error)) (*replica.Host, error) {
	clock := cfg.Clock
	if clock == nil {
		var err error
		if clock, err = replica.BootTimeClock(); err != nil {
			return nil, fmt.Errorf("statehost: %w", err)
		}
	}
	replicas, err := replica.NewHost(replica.Options{
		Dir:             cfg.DataDir,
		FS:              cfg.FS,
		Address:         cfg.Address,
		Transport:       peers,
		TickInterval:    tickInterval,
		Raft:            raft.Config{ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, QuorumTicks: quorumTicks},
		SnapshotEntries: snapshotEntries,
		SnapshotBytes:   snapshotBytes,
		Clock:           clock,
		Logger:          log.Named("replica"),
		Registerer:      registry,
		OnFailure:       failed,
	})
	if err != nil {
		return nil, fmt.Errorf("statehost: %w", err)
	}
	return replicas, nil
}

// addGroups starts the replicas: those on the disk go on; on a host that may found
// the groups they begin with the seeds as members; all others wait to be added.
func (h *Host) addGroups() error {
	for group, state := range h.states() {
		if err := h.replicas.AddGroup(group, h.firstMembers(), state); err != nil {
			return fmt.Errorf("statehost: group %d: %w", group, err)
		}
	}
	return nil
}

func (h *Host) states() map[uint64]replica.StateMachine {
	return map[uint64]replica.StateMachine{ConfigGroup: h.config, LedgerGroup: h.ledger}
}

// firstMembers returns the members of new groups, nil if this host founds none.
func (h *Host) firstMembers() []*raftpb.Member {
	seeds := slices.Sorted(slices.Values(h.cfg.Seeds()))
	seeds = slices.Compact(seeds)
	if !h.cfg.Bootstrap || !slices.Contains(seeds, h.cfg.Address) {
		return nil
	}
	members := make([]*raftpb.Member, len(seeds))
	for i, address := range seeds {
		members[i] = &raftpb.Member{Id: uint64(i + 1), Address: address}
	}
	return members
}

// Register adds the methods that other processes call.
func (h *Host) Register(server *transport.Server) {
	peer.Register(server, h.replicas)
	server.Handle(transport.MethodHostAnnounce, transport.Unary(h.takeAnnouncement))
	server.Handle(transport.MethodHostMembers, transport.Unary(h.serveMembers))
	server.Handle(transport.MethodReplicaStatus, transport.Unary(h.serveStatus))
	server.Handle(transport.MethodRoutes, transport.Unary(h.serveConfig))
	server.Handle(transport.MethodLedger, transport.SharedUnary(h.serveLedger))
	server.Handle(transport.MethodCrashReport, transport.Unary(h.takeCrashes))
	server.Handle(transport.MethodFleetWatch, h.serveWatch)
}

// Run starts the loops of the host.
func (h *Host) Run() {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.loops.Go(func() { loop.Every(ctx, announceInterval, h.announce) })
	h.loops.Go(func() { h.peerWatch.Run(ctx) })
	for group := range h.states() {
		h.loops.Go(func() { loop.Every(ctx, memberInterval, func(ctx context.Context) { h.adjustMembers(ctx, group) }) })
	}
	h.loops.Go(func() { loop.Every(ctx, sweepInterval, h.sweep) })
	h.loops.Go(func() { loop.Every(ctx, rememberInterval, h.remember) })
}

func (h *Host) sweep(context.Context) {
	now := time.Now()
	h.servers.Sweep(now)
	for _, i := range h.servers.MarkSilent(now, silentBeats*h.cfg.HeartbeatInterval) {
		h.log.Warn("backend server is silent", "server", i.ID, "service", i.Service, "address", i.Address, "heard_ms_ago", now.Sub(i.LastHeartbeat).Milliseconds())
	}
	stats := h.ledger.Stats()
	h.metrics.turns.Set(float64(stats.Turns))
	h.metrics.programs.Set(float64(stats.Programs))
}

// Stop hands leadership over, ends the loops and closes the log. The context
// bounds the wait.
func (h *Host) Stop(ctx context.Context) error {
	err := h.replicas.Stop(ctx)
	if h.cancel != nil {
		h.cancel()
		h.loops.Wait()
	}
	h.peers.Close()
	return err
}

// known returns the addresses of all state hosts that were heard of, and the seeds.
func (h *Host) known() []string {
	list := append(h.hosts.addresses(), h.cfg.Seeds()...)
	list = append(list, h.cfg.Address)
	slices.Sort(list)
	return slices.Compact(list)
}

// others returns known without this host.
func (h *Host) others() []string {
	return slices.DeleteFunc(h.known(), func(address string) bool { return address == h.cfg.Address })
}
