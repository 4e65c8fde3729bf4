// Package control is the role that holds the replicated state: it proposes the
// commands of entries and sidecars to the customer shards, reads their state
// under the leader's lease, and keeps the directory of backend servers.
package control

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/loop"
	"ibistray.example/ibistray/internal/peer"
	"ibistray.example/ibistray/internal/placement"
	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/internal/shard"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/rpcpb"
)

// Service is the control role of one process. It is safe for concurrent use.
type Service struct {
	log       hclog.Logger
	groups    replica.Log
	shards    []*shard.State // by shard; nil where this host has no replica
	directory *Directory
	gate      *gate
	pool      *transport.Pool
	config    *ConfigService
}

// New returns a service over the shards whose replicas are on this host.
func New(log hclog.Logger, groups replica.Log, shards []*shard.State, pool *transport.Pool, configuration *ConfigService) *Service {
	return &Service{
		log:       log,
		groups:    groups,
		shards:    shards,
		directory: NewDirectory(configuration.grantor),
		gate:      newGate(),
		pool:      pool,
		config:    configuration,
	}
}

// Register adds the service's methods to a server.
func (s *Service) Register(server *transport.Server) {
	server.Handle(transport.MethodShardPropose, transport.Unary(s.propose))
	server.Handle(transport.MethodShardHistory, transport.Unary(s.history))
	server.Handle(transport.MethodShardView, transport.Unary(s.view))
	server.Handle(transport.MethodDirectoryAnnounce, transport.Unary(s.directory.announce))
	server.Handle(transport.MethodDirectoryMembers, transport.Unary(s.directory.members))
	s.config.register(server)
}

// Run does the periodic work until the context ends.
func (s *Service) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() {
		loop.Every(ctx, directorySweepInterval, func(context.Context) { s.directory.sweep(time.Now()) })
	})
	loops.Go(func() { loop.Every(ctx, expireInterval, s.expireShards) })
	loops.Go(func() { s.config.run(ctx) })
	loops.Wait()
}

// shardOf returns the shard of a customer and its group. The error is
// CODE_NOT_LEADER when this host has no replica of it.
func (s *Service) shardOf(customer string) (*shard.State, uint64, error) {
	if customer == "" {
		return nil, 0, transport.Errorf(rpcpb.Code_CODE_INVALID, "request without a customer")
	}
	index := placement.ShardOf(customer, uint32(len(s.shards)))
	group := placement.GroupOf(index)
	state := s.shards[index]
	if state == nil {
		return nil, 0, peer.NotLeader(s.groups, group, "this host has no replica of shard %d", index)
	}
	return state, group, nil
}
