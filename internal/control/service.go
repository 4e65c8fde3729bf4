// Package control implements the control role, which holds the replicated state. It
// proposes the commands of entries and sidecars to the customer shards, reads the
// state of the shards under the leader's lease, serves the configuration group, keeps
// the directory of backend servers and replaces lost replicas.
package control

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/loop"
	"ibistray.example/ibistray/internal/panics"
	"ibistray.example/ibistray/internal/peer"
	"ibistray.example/ibistray/internal/placement"
	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/internal/shard"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/rpcpb"
)

// Service is the control role of one process. It is safe for concurrent use.
type Service struct {
	log           hclog.Logger
	groups        replica.Log
	shards        []*shard.State // by shard index; nil where this host has no replica
	directory     *Directory
	callQueues    *callQueues
	pool          *transport.Pool
	configService *ConfigService
}

// New returns the control service of a process. shards holds the state of the replica
// of each shard, or nil where this host has none.
func New(log hclog.Logger, groups replica.Log, shards []*shard.State, pool *transport.Pool, configService *ConfigService) *Service {
	return &Service{
		log:           log,
		groups:        groups,
		shards:        shards,
		directory:     NewDirectory(configService.grantor),
		callQueues:    newCallQueues(),
		pool:          pool,
		configService: configService,
	}
}

// Register adds the RPC methods of the service to a server.
func (s *Service) Register(server *transport.Server) {
	server.Handle(transport.MethodShardPropose, transport.Unary(s.handlePropose))
	server.Handle(transport.MethodShardHistory, transport.Unary(s.handleHistory))
	server.Handle(transport.MethodShardView, transport.Unary(s.handleView))
	server.Handle(transport.MethodDirectoryAnnounce, transport.Unary(s.directory.handleAnnounce))
	server.Handle(transport.MethodDirectoryMembers, transport.Unary(s.directory.handleMembers))
	s.configService.register(server)
}

// Run runs the periodic tasks until the context ends.
func (s *Service) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	every := func(interval time.Duration, f func(context.Context)) {
		tasks.Go(func() {
			panics.Restart(ctx, s.log, "control", func(ctx context.Context) { loop.Every(ctx, interval, f) })
		})
	}
	every(directoryExpiryInterval, func(context.Context) { s.directory.removeExpired(time.Now()) })
	every(expireInterval, s.expireShards)
	every(leadershipCheckInterval, func(ctx context.Context) { _ = s.configService.confirmLeadership(ctx) })
	tasks.Go(func() { panics.Restart(ctx, s.log, "configuration lease", s.configService.grantor.Run) })
	tasks.Wait()
}

// shardOf returns the state of a customer's shard and the shard's group. The error
// has CODE_NOT_LEADER when this host has no replica of the shard.
func (s *Service) shardOf(customer string) (*shard.State, uint64, error) {
	if customer == "" {
		return nil, 0, transport.Errorf(rpcpb.Code_CODE_INVALID, "request without a customer")
	}
	index := placement.ShardOf(customer, uint32(len(s.shards)))
	group := placement.GroupOf(index)
	state := s.shards[index]
	if state == nil {
		return nil, 0, peer.NotLeaderError(s.groups, group, "this host has no replica of shard %d", index)
	}
	return state, group, nil
}
