package control

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/internal/peer"
	"ibistray.example/ibistray/internal/placement"
	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/internal/shard"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/rpcpb"
	"ibistray.example/ibistray/proto/shardpb"
)

const maxBeginWait = 10 * time.Minute

// propose serves a ShardRequest. A Begin whose program is busy waits for its
// turn for at most WaitMs.
func (s *Service) propose(ctx context.Context, req *rpcpb.ShardRequest) (*rpcpb.ShardResponse, error) {
	if req.Command == nil {
		return nil, transport.Errorf(rpcpb.Code_CODE_INVALID, "request without a command")
	}
	state, group, err := s.shardOf(req.Customer)
	if err != nil {
		return nil, err
	}
	if begin := req.Command.GetBegin(); begin != nil && req.WaitMs > 0 {
		return s.beginInTurn(ctx, state, group, req)
	}
	return s.apply(ctx, group, req.Command)
}

func (s *Service) apply(ctx context.Context, group uint64, cmd *shardpb.Command) (*rpcpb.ShardResponse, error) {
	cmd.NowMs = time.Now().UnixMilli()
	data, err := proto.Marshal(cmd)
	if err != nil {
		return nil, transport.Errorf(rpcpb.Code_CODE_INVALID, "encode command: %s", err)
	}
	applied, err := s.groups.Propose(ctx, group, data)
	if err != nil {
		return nil, peer.GroupError(s.groups, group, err)
	}
	return responseOf(applied), nil
}

func responseOf(applied replica.Applied) *rpcpb.ShardResponse {
	result, ok := applied.Result.(*shardpb.Result)
	if !ok {
		result = &shardpb.Result{Refusal: &shardpb.Refusal{Reason: shardpb.Reason_REASON_INVALID_COMMAND}}
	}
	return &rpcpb.ShardResponse{Result: result, Index: applied.Index}
}

// beginInTurn proposes a Begin when it is the program's turn to make this call:
// waiting calls go on in the order of their sequence numbers, those without one
// in the order of arrival. A resend of a call that is recorded does not wait.
func (s *Service) beginInTurn(ctx context.Context, state *shard.State, group uint64, req *rpcpb.ShardRequest) (*rpcpb.ShardResponse, error) {
	begin := req.Command.GetBegin()
	wait := min(time.Duration(req.WaitMs)*time.Millisecond, maxBeginWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if state.HasCall(begin.Key) {
		return s.apply(ctx, group, req.Command)
	}
	turn := s.gate.join(begin.Key.GetCustomer(), begin.Key.GetProgram(), begin.Sequence)
	defer turn.leave()
	for {
		if !turn.wait(ctx) {
			return busyResponse(), nil
		}
		changed := state.Watch(begin.Key.GetCustomer(), begin.Key.GetProgram())
		resp, err := s.apply(ctx, group, req.Command)
		if err != nil || !mayWait(resp.Result) {
			return resp, err
		}
		if !turn.waitFor(ctx, changed) {
			return resp, nil
		}
	}
}

func mayWait(result *shardpb.Result) bool {
	switch result.GetRefusal().GetReason() {
	case shardpb.Reason_REASON_PROGRAM_BUSY, shardpb.Reason_REASON_SEQUENCE_GAP:
		return true
	default:
		return false
	}
}

func busyResponse() *rpcpb.ShardResponse {
	return &rpcpb.ShardResponse{Result: &shardpb.Result{Refusal: &shardpb.Refusal{
		Reason: shardpb.Reason_REASON_PROGRAM_BUSY,
		Detail: "earlier calls of the program are not finished",
	}}}
}

// releaseEnded tells the sidecars of abandoned programs to release their engine
// memory. One that is not reached releases it by its own idle limit.
func (s *Service) releaseEnded(ctx context.Context, ended []*shardpb.EndedProgram) {
	for _, p := range ended {
		if p.GetLastTarget().GetSidecar() == "" {
			continue
		}
		req := &rpcpb.ReleaseRequest{Customer: p.Customer, Program: p.Program}
		if err := s.pool.Call(ctx, p.LastTarget.Sidecar, transport.MethodRelease, req, new(rpcpb.Empty)); err != nil {
			s.log.Debug("release not delivered", "program", p.Program, "server", p.LastTarget.Server, "error", err)
		}
	}
}

const (
	expireInterval  = time.Second
	expireBatch     = 64
	expireTimeout   = 2 * time.Second
	maxExpireRounds = 16
)

// expireShards applies the time limits of the shards that this host leads and
// that have something due.
func (s *Service) expireShards(ctx context.Context) {
	now := time.Now().UnixMilli()
	for index, state := range s.shards {
		if state == nil {
			continue
		}
		due, ok := state.NextExpiry()
		if !ok || due > now {
			continue
		}
		s.expireShard(ctx, placement.GroupOf(uint32(index)))
	}
}

func (s *Service) expireShard(ctx context.Context, group uint64) {
	ctx, cancel := context.WithTimeout(ctx, expireTimeout)
	defer cancel()
	if s.groups.ReadBarrier(ctx, group) != nil {
		return // another host leads the group
	}
	for range maxExpireRounds {
		cmd := &shardpb.Command{Op: &shardpb.Command_Expire{Expire: &shardpb.Expire{MaxPrograms: expireBatch}}}
		resp, err := s.apply(ctx, group, cmd)
		if err != nil {
			s.log.Debug("expiry not applied", "group", group, "error", err)
			return
		}
		s.releaseEnded(ctx, resp.Result.GetExpire().GetEnded())
		if !resp.Result.GetExpire().GetMore() {
			return
		}
	}
}
