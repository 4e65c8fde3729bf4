package control

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/internal/config"
	"ibistray.example/ibistray/internal/configlease"
	"ibistray.example/ibistray/internal/loop"
	"ibistray.example/ibistray/internal/peer"
	"ibistray.example/ibistray/internal/placement"
	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/configpb"
	"ibistray.example/ibistray/proto/rpcpb"
)

// ConfigService serves the configuration group on one control process.
type ConfigService struct {
	groups  replica.Log
	state   *config.State
	pool    *transport.Pool
	address string
	members []string // addresses of the control processes
	grantor *configlease.Grantor
	tracker *configlease.VersionTracker
}

// NewConfigService returns the service of the control process at address over
// its replica's state. members are all control processes, this one included.
func NewConfigService(groups replica.Log, state *config.State, pool *transport.Pool, address string, members []string) *ConfigService {
	c := &ConfigService{
		groups:  groups,
		state:   state,
		pool:    pool,
		address: address,
		members: members,
		tracker: configlease.NewVersionTracker(),
	}
	c.grantor = configlease.NewGrantor(address, state, c)
	return c
}

func (c *ConfigService) register(server *transport.Server) {
	server.Handle(transport.MethodConfigPropose, transport.Unary(c.propose))
	server.Handle(transport.MethodConfigRenew, transport.Unary(c.renew))
	server.Handle(transport.MethodConfigStatus, transport.Unary(c.status))
}

const leadershipInterval = 250 * time.Millisecond

func (c *ConfigService) run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { c.grantor.Run(ctx) })
	loops.Go(func() {
		loop.Every(ctx, leadershipInterval, func(ctx context.Context) { _ = c.lead(ctx) })
	})
	loops.Wait()
}

// lead returns nil when this process leads the group with a valid lease, and
// keeps the tracker informed.
func (c *ConfigService) lead(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leadershipInterval)
	defer cancel()
	if err := c.groups.ReadBarrier(ctx, placement.ConfigGroup); err != nil {
		c.tracker.BecomeFollower()
		return peer.GroupError(c.groups, placement.ConfigGroup, err)
	}
	c.tracker.BecomeLeader(time.Now())
	return nil
}

// propose serves a change of the configuration.
func (c *ConfigService) propose(ctx context.Context, req *rpcpb.ConfigRequest) (*rpcpb.ConfigResponse, error) {
	if req.Command == nil {
		return nil, transport.Errorf(rpcpb.Code_CODE_INVALID, "request without a command")
	}
	req.Command.NowMs = time.Now().UnixMilli()
	data, err := proto.Marshal(req.Command)
	if err != nil {
		return nil, transport.Errorf(rpcpb.Code_CODE_INVALID, "encode command: %s", err)
	}
	applied, err := c.groups.Propose(ctx, placement.ConfigGroup, data)
	if err != nil {
		return nil, peer.GroupError(c.groups, placement.ConfigGroup, err)
	}
	result, ok := applied.Result.(*configpb.Result)
	if !ok {
		return nil, transport.Errorf(rpcpb.Code_CODE_INTERNAL, "configuration group gave no result")
	}
	return &rpcpb.ConfigResponse{Result: result}, nil
}

// renew serves the lease of a control process.
func (c *ConfigService) renew(ctx context.Context, req *rpcpb.ConfigRenewal) (*rpcpb.ConfigGrant, error) {
	if err := c.lead(ctx); err != nil {
		return nil, err
	}
	c.tracker.RecordRenewal(req.Host, min(req.Version, req.HoldersVersion), time.Now())
	return &rpcpb.ConfigGrant{Version: c.state.Version()}, nil
}

// status serves the version that is in force, and the records that changed since
// the version of the request.
func (c *ConfigService) status(ctx context.Context, req *rpcpb.ConfigStatusRequest) (*rpcpb.ConfigStatus, error) {
	if err := c.lead(ctx); err != nil {
		return nil, err
	}
	changes := c.state.ChangesSince(req.Version)
	return &rpcpb.ConfigStatus{
		Version:        changes.Version,
		InForceVersion: c.tracker.InForce(changes.Version, c.members, time.Now()),
		Records:        changes.Records,
	}, nil
}

// Renew implements configlease.Renewer: it asks the leader, or the members in
// turn while the leader is not known.
func (c *ConfigService) Renew(ctx context.Context, renewal *rpcpb.ConfigRenewal) (*rpcpb.ConfigGrant, error) {
	grant, err := c.renewWith(ctx, c.groups.Leader(placement.ConfigGroup), renewal)
	var reported *transport.Error
	if errors.As(err, &reported) && reported.Leader != "" {
		return c.renewWith(ctx, reported.Leader, renewal)
	}
	return grant, err
}

func (c *ConfigService) renewWith(ctx context.Context, leader string, renewal *rpcpb.ConfigRenewal) (*rpcpb.ConfigGrant, error) {
	if leader == "" || leader == c.address {
		return c.renew(ctx, renewal)
	}
	grant := new(rpcpb.ConfigGrant)
	if err := c.pool.Call(ctx, leader, transport.MethodConfigRenew, renewal, grant); err != nil {
		return nil, err
	}
	return grant, nil
}
