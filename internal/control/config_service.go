package control

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/internal/config"
	"ibistray.example/ibistray/internal/configlease"
	"ibistray.example/ibistray/internal/peer"
	"ibistray.example/ibistray/internal/placement"
	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/configpb"
	"ibistray.example/ibistray/proto/rpcpb"
)

// ConfigService serves the configuration group on one control process: it proposes
// changes, grants configuration leases and reports which version is in force.
type ConfigService struct {
	groups  replica.Log
	state   *config.State
	pool    *transport.Pool
	address string
	members []string // addresses of the control processes
	grantor *configlease.Grantor
	tracker *configlease.VersionTracker
}

// NewConfigService returns the service of the control process at address, which reads
// the state of its own replica. members are the addresses of all control processes,
// including this one.
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
	server.Handle(transport.MethodConfigPropose, transport.Unary(c.handlePropose))
	server.Handle(transport.MethodConfigRenew, transport.Unary(c.handleRenew))
	server.Handle(transport.MethodConfigStatus, transport.Unary(c.handleStatus))
}

// leadershipCheckInterval is the time between checks of the leadership, and their
// timeout.
const leadershipCheckInterval = 250 * time.Millisecond

// confirmLeadership returns nil when this process leads the group with a valid lease,
// and tells the tracker whether it leads.
func (c *ConfigService) confirmLeadership(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leadershipCheckInterval)
	defer cancel()
	if err := c.groups.ReadBarrier(ctx, placement.ConfigGroup); err != nil {
		c.tracker.BecomeFollower()
		return peer.RPCError(c.groups, placement.ConfigGroup, err)
	}
	c.tracker.BecomeLeader(time.Now())
	return nil
}

// handlePropose proposes a change of the configuration and returns its result.
func (c *ConfigService) handlePropose(ctx context.Context, req *rpcpb.ConfigRequest) (*rpcpb.ConfigResponse, error) {
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
		return nil, peer.RPCError(c.groups, placement.ConfigGroup, err)
	}
	result, ok := applied.Result.(*configpb.Result)
	if !ok {
		return nil, transport.Errorf(rpcpb.Code_CODE_INTERNAL, "the configuration group returned no result")
	}
	return &rpcpb.ConfigResponse{Result: result}, nil
}

// handleRenew renews the configuration lease of a control process.
func (c *ConfigService) handleRenew(ctx context.Context, req *rpcpb.ConfigRenewal) (*rpcpb.ConfigGrant, error) {
	if err := c.confirmLeadership(ctx); err != nil {
		return nil, err
	}
	c.tracker.RecordRenewal(req.Host, min(req.Version, req.HoldersVersion), time.Now())
	return &rpcpb.ConfigGrant{Version: c.state.Version()}, nil
}

// handleStatus returns the version that is in force, and the records that changed
// after the version of the request.
func (c *ConfigService) handleStatus(ctx context.Context, req *rpcpb.ConfigStatusRequest) (*rpcpb.ConfigStatus, error) {
	if err := c.confirmLeadership(ctx); err != nil {
		return nil, err
	}
	changes := c.state.ChangesSince(req.Version)
	return &rpcpb.ConfigStatus{
		Version:        changes.Version,
		InForceVersion: c.tracker.InForce(changes.Version, c.members, time.Now()),
		Records:        changes.Records,
	}, nil
}

// Renew implements configlease.Renewer. It sends the renewal to the known leader and,
// if the error names a leader, once more to that one.
func (c *ConfigService) Renew(ctx context.Context, renewal *rpcpb.ConfigRenewal) (*rpcpb.ConfigGrant, error) {
	grant, err := c.renewAt(ctx, c.groups.Leader(placement.ConfigGroup), renewal)
	var remote *transport.Error
	if errors.As(err, &remote) && remote.Leader != "" {
		return c.renewAt(ctx, remote.Leader, renewal)
	}
	return grant, err
}

// renewAt sends a renewal to a leader. It handles the renewal in this process when the
// leader is this process or not known.
func (c *ConfigService) renewAt(ctx context.Context, leader string, renewal *rpcpb.ConfigRenewal) (*rpcpb.ConfigGrant, error) {
	if leader == "" || leader == c.address {
		return c.handleRenew(ctx, renewal)
	}
	grant := new(rpcpb.ConfigGrant)
	if err := c.pool.Call(ctx, leader, transport.MethodConfigRenew, renewal, grant); err != nil {
		return nil, err
	}
	return grant, nil
}
