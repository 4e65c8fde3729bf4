package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/config"
	"ibistray.example/ibistray/internal/control"
	"ibistray.example/ibistray/internal/peer"
	"ibistray.example/ibistray/internal/placement"
	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/internal/settings"
	"ibistray.example/ibistray/internal/shard"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/raftpb"
)

const dataDirMode = 0o700

// controlRole is the replicated state of this process and the services on it.
type controlRole struct {
	host    *replica.Host
	peers   *peer.Transport
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
	r := &controlRole{host: host, peers: peers}
	if err := r.addGroups(s, log, pool); err != nil {
		return nil, errors.Join(err, r.stop(context.Background()))
	}
	return r, nil
}

// addGroups starts the replicas that placement gives to this process.
func (r *controlRole) addGroups(s *settings.Settings, log hclog.Logger, pool *transport.Pool) error {
	hosts := placementHosts(s.ControlPeers)
	configState := config.New()
	if err := r.host.AddGroup(placement.ConfigGroup, membersOf(placement.ConfigGroup, hosts), configState); err != nil {
		return fmt.Errorf("daemon: configuration group: %w", err)
	}
	shards := make([]*shard.State, s.Shards)
	for i := range shards {
		group := placement.GroupOf(uint32(i))
		members := membersOf(group, hosts)
		if !contains(members, s.Advertise) {
			continue
		}
		shards[i] = shard.New(shard.NewMemoryBodies())
		if err := r.host.AddGroup(group, members, shards[i]); err != nil {
			return fmt.Errorf("daemon: shard %d: %w", i, err)
		}
	}
	configuration := control.NewConfiguration(r.host, configState, pool, s.Advertise, addresses(s.ControlPeers))
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
	peer.Register(server, r.host)
}

func (r *controlRole) run(ctx context.Context) {
	r.service.Run(ctx)
}

// stop hands leadership over and closes the log.
func (r *controlRole) stop(ctx context.Context) error {
	err := r.host.Stop(ctx)
	r.peers.Close()
	return err
}
