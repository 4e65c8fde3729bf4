package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/config"
	"ibistray.example/ibistray/internal/control"
	"ibistray.example/ibistray/internal/history"
	"ibistray.example/ibistray/internal/loop"
	"ibistray.example/ibistray/internal/peer"
	"ibistray.example/ibistray/internal/placement"
	"ibistray.example/ibistray/internal/reopen"
	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/internal/settings"
	"ibistray.example/ibistray/internal/shard"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/internal/wal"
	"ibistray.example/ibistray/proto/raftpb"
)

const (
	dataDirMode     = 0o700
	bodiesDir       = "bodies"
	compactInterval = 10 * time.Minute
)

// controlRole holds the replicas on this process and the services that use them.
type controlRole struct {
	log        hclog.Logger
	metrics    *roleMetrics
	failed     chan error // gets the failure that has stopped the replicas
	host       *replica.Host
	peers      *peer.Transport
	repairer   *control.Repairer
	bodyStores []*history.Store
	service    *control.Service
}

// newControlRole opens the data directory and starts the replicas. Errors: those of replica.NewHost and
// replica.Host.AddGroup, with wal.ErrCorrupt for damaged or missing bodies.
func newControlRole(d *Daemon) (*controlRole, error) {
	s, log := d.settings, d.log.Named("control")
	if err := os.MkdirAll(s.DataDir, dataDirMode); err != nil {
		return nil, fmt.Errorf("%w: daemon: create the data directory: %w", replica.ErrStorage, err)
	}
	r := &controlRole{
		log:     log,
		metrics: &roleMetrics{Registerer: d.metrics.Registry},
		failed:  make(chan error, 1),
		peers:   peer.New(d.pool, log.Named("peer")),
	}
	var err error
	r.host, err = replica.NewHost(replica.Options{
		Dir:        s.DataDir,
		FS:         d.fs,
		Address:    s.AdvertisedAddress,
		Transport:  r.peers,
		Logger:     log.Named("replica"),
		Registerer: r.metrics,
		OnFailure:  func(err error) { r.failed <- err },
	})
	if err != nil {
		r.peers.Close()
		r.metrics.remove()
		return nil, fmt.Errorf("daemon: open the replica host: %w", err)
	}
	r.repairer = control.NewRepairer(repairerConfig(s), log.Named("repair"), r.host, d.pool)
	if err := r.addGroups(s, log, d.pool); err != nil {
		if errors.Is(err, history.ErrCorrupt) || errors.Is(err, shard.ErrNoBody) {
			err = fmt.Errorf("%w: %w", wal.ErrCorrupt, err)
		}
		return nil, errors.Join(err, r.stop(context.Background()))
	}
	return r, nil
}

// addGroups starts a replica of each group that placement assigns to this process, and
// creates the services that use the replicas.
func (r *controlRole) addGroups(s *settings.Settings, log hclog.Logger, pool *transport.Pool) error {
	hosts := placementHosts(s.ControlPeers)
	configState := config.New()
	if err := r.host.AddGroup(placement.ConfigGroup, initialMembers(s, placement.ConfigGroup, hosts), configState); err != nil {
		return fmt.Errorf("daemon: start the configuration group: %w", err)
	}
	shards := make([]*shard.State, s.Shards)
	for i := range shards {
		group := placement.GroupOf(uint32(i))
		if !containsAddress(groupMembers(group, hosts), s.AdvertisedAddress) {
			continue
		}
		bodies, err := history.Open(filepath.Join(s.DataDir, bodiesDir, strconv.Itoa(i)))
		if err != nil {
			return fmt.Errorf("%w: daemon: open bodies of shard %d: %w", replica.ErrStorage, i, err)
		}
		r.bodyStores = append(r.bodyStores, bodies)
		shards[i] = shard.New(bodies)
		if err := r.host.AddGroup(group, initialMembers(s, group, hosts), shards[i]); err != nil {
			return fmt.Errorf("daemon: start the group of shard %d: %w", i, err)
		}
	}
	configuration := control.NewConfigService(r.host, configState, pool, s.AdvertisedAddress, addresses(s.ControlPeers))
	r.service = control.New(log, r.host, shards, pool, configuration)
	return nil
}

func placementHosts(peers []settings.Peer) []placement.Host {
	hosts := make([]placement.Host, len(peers))
	for i, p := range peers {
		hosts[i] = placement.Host{ReplicaID: p.ReplicaID, Address: p.Address, FailureDomain: p.FailureDomain}
	}
	return hosts
}

func groupMembers(group uint64, hosts []placement.Host) []*raftpb.Member {
	var members []*raftpb.Member
	for _, h := range placement.Replicas(group, hosts) {
		members = append(members, &raftpb.Member{Id: h.ReplicaID, Address: h.Address, FailureDomain: h.FailureDomain})
	}
	return members
}

// initialMembers returns the initial members of a group, or none if this process joins
// an existing group in place of a lost process, or since its data was damaged.
func initialMembers(s *settings.Settings, group uint64, hosts []placement.Host) []*raftpb.Member {
	if s.ReplacedAddress != "" || reopen.WasSetAside(s.DataDir) {
		return nil
	}
	return groupMembers(group, hosts)
}

// repairerConfig returns the configuration of the repairer. Its peers are the other
// control processes.
func repairerConfig(s *settings.Settings) control.RepairerConfig {
	cfg := control.RepairerConfig{Address: s.AdvertisedAddress, FailureDomain: s.FailureDomain, ReplicaID: s.ReplicaID, ReplacedAddress: s.ReplacedAddress}
	for _, p := range s.ControlPeers {
		if p.Address != s.AdvertisedAddress {
			cfg.Peers = append(cfg.Peers, p.Address)
		}
	}
	return cfg
}

// containsAddress reports whether one of the members has the address.
func containsAddress(members []*raftpb.Member, address string) bool {
	return slices.ContainsFunc(members, func(m *raftpb.Member) bool { return m.Address == address })
}

func addresses(peers []settings.Peer) []string {
	list := make([]string, len(peers))
	for i, p := range peers {
		list[i] = p.Address
	}
	return list
}

func (r *controlRole) register(server *transport.Server) {
	r.service.Register(server)
	r.repairer.Register(server)
	peer.Register(server, r.host)
}

func (r *controlRole) run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { r.service.Run(ctx) })
	loops.Go(func() { r.repairer.Run(ctx) })
	loops.Go(func() { r.compactBodies(ctx) })
	loops.Wait()
}

// compactBodies periodically rewrites segments that hold mostly bodies of removed
// programs.
func (r *controlRole) compactBodies(ctx context.Context) {
	compact := func(context.Context) {
		for _, store := range r.bodyStores {
			if err := store.Compact(); err != nil {
				r.log.Error("bodies not compacted", "error", err)
			}
		}
	}
	r.host.Contain(func() { loop.Every(ctx, compactInterval, compact) })
}

// stop transfers leadership to other replicas and closes the log and the bodies. The context limits
// the wait for the transfers.
func (r *controlRole) stop(ctx context.Context) error {
	err := r.host.Stop(ctx)
	r.peers.Close()
	for _, store := range r.bodyStores {
		store.Close()
	}
	r.metrics.remove()
	return err
}
