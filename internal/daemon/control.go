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
	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/internal/settings"
	"ibistray.example/ibistray/internal/shard"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/raftpb"
)

const (
	dataDirMode     = 0o700
	bodiesFolder    = "bodies"
	compactInterval = 10 * time.Minute
)

// controlRole is the replicated state of this process and the services on it.
type controlRole struct {
	log     hclog.Logger
	host    *replica.Host
	peers   *peer.Transport
	repair  *control.Repairer
	bodies  []*history.Store
	service *control.Service
}

func newControlRole(s *settings.Settings, log hclog.Logger, metrics *telemetry.Metrics, pool *transport.Pool, failed func(error)) (*controlRole, error) {
	if err := os.MkdirAll(s.DataDir, dataDirMode); err != nil {
		return nil, fmt.Errorf("daemon: data folder: %w", err)
	}
	peers := peer.New(pool, log.Named("peer"))
	host, err := replica.NewHost(replica.Options{
		Dir:        s.DataDir,
		Address:    s.Advertise,
		Transport:  peers,
		Logger:     log.Named("replica"),
		Registerer: metrics.Registry,
		OnFailure:  failed,
	})
	if err != nil {
		peers.Close()
		return nil, fmt.Errorf("daemon: %w", err)
	}
	r := &controlRole{log: log, host: host, peers: peers}
	r.repair = control.NewRepairer(repairConfig(s), log.Named("repair"), host, pool)
	if err := r.addGroups(s, log, pool); err != nil {
		return nil, errors.Join(err, r.stop(context.Background()))
	}
	return r, nil
}

// addGroups starts the replicas that placement gives to this process.
func (r *controlRole) addGroups(s *settings.Settings, log hclog.Logger, pool *transport.Pool) error {
	hosts := placementHosts(s.ControlPeers)
	configState := config.New()
	if err := r.host.AddGroup(placement.ConfigGroup, firstMembers(s, placement.ConfigGroup, hosts), configState); err != nil {
		return fmt.Errorf("daemon: configuration group: %w", err)
	}
	shards := make([]*shard.State, s.Shards)
	for i := range shards {
		group := placement.GroupOf(uint32(i))
		if !contains(membersOf(group, hosts), s.Advertise) {
			continue
		}
		bodies, err := history.Open(filepath.Join(s.DataDir, bodiesFolder, strconv.Itoa(i)))
		if err != nil {
			return fmt.Errorf("daemon: bodies of shard %d: %w", i, err)
		}
		r.bodies = append(r.bodies, bodies)
		shards[i] = shard.New(bodies)
		if err := r.host.AddGroup(group, firstMembers(s, group, hosts), shards[i]); err != nil {
			return fmt.Errorf("daemon: shard %d: %w", i, err)
		}
	}
	configuration := control.NewConfigService(r.host, configState, pool, s.Advertise, addresses(s.ControlPeers))
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

func membersOf(group uint64, hosts []placement.Host) []*raftpb.Member {
	var members []*raftpb.Member
	for _, h := range placement.Replicas(group, hosts) {
		members = append(members, &raftpb.Member{Id: h.ReplicaID, Address: h.Address, FailureDomain: h.FailureDomain})
	}
	return members
}

// firstMembers returns the members with which a group begins; none for a process
// that joins a group that exists.
func firstMembers(s *settings.Settings, group uint64, hosts []placement.Host) []*raftpb.Member {
	if s.Replaces != "" {
		return nil
	}
	return membersOf(group, hosts)
}

func repairConfig(s *settings.Settings) control.RepairerConfig {
	cfg := control.RepairerConfig{Address: s.Advertise, FailureDomain: s.FailureDomain, ReplicaID: s.ReplicaID, ReplacedAddress: s.Replaces}
	for _, p := range s.ControlPeers {
		if p.Address != s.Advertise {
			cfg.Peers = append(cfg.Peers, p.Address)
		}
	}
	return cfg
}

func contains(members []*raftpb.Member, address string) bool {
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
	r.repair.Register(server)
	peer.Register(server, r.host)
}

func (r *controlRole) run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { r.service.Run(ctx) })
	loops.Go(func() { r.repair.Run(ctx) })
	loops.Go(func() { r.compactBodies(ctx) })
	loops.Wait()
}

// compactBodies rewrites segments that hold mostly bodies of removed programs.
func (r *controlRole) compactBodies(ctx context.Context) {
	loop.Every(ctx, compactInterval, func(context.Context) {
		for _, store := range r.bodies {
			if err := store.Compact(); err != nil {
				r.log.Error("bodies not compacted", "error", err)
			}
		}
	})
}

// stop hands leadership over and closes the log.
func (r *controlRole) stop(ctx context.Context) error {
	err := r.host.Stop(ctx)
	r.peers.Close()
	return err
}
