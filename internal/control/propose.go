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

// maxBeginWait limits the time that a Begin may wait for its program.
const maxBeginWait = 10 * time.Minute

// handlePropose proposes the command of a request to the shard of its customer. A
// Begin whose program is busy waits for at most WaitMs.
func (s *Service) handlePropose(ctx context.Context, req *rpcpb.ShardRequest) (*rpcpb.ShardResponse, error) {
	if req.Command == nil {
		return nil, transport.Errorf(rpcpb.Code_CODE_INVALID, "request without a command")
	}
	state, group, err := s.shardOf(req.Customer)
	if err != nil {
		return nil, err
	}
	if begin := req.Command.GetBegin(); begin != nil && req.WaitMs > 0 {
		return s.beginInOrder(ctx, state, group, req)
	}
	return s.proposeCommand(ctx, group, req.Command)
}

// proposeCommand proposes a command to a group and returns its result once the command
// is applied.
func (s *Service) proposeCommand(ctx context.Context, group uint64, cmd *shardpb.Command) (*rpcpb.ShardResponse, error) {
	cmd.NowMs = time.Now().UnixMilli()
	data, err := proto.Marshal(cmd)
	if err != nil {
		return nil, transport.Errorf(rpcpb.Code_CODE_INVALID, "encode command: %s", err)
	}
	applied, err := s.groups.Propose(ctx, group, data)
	if err != nil {
		return nil, peer.RPCError(s.groups, group, err)
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

// beginInOrder proposes a Begin when its call is the next one of the program. Waiting
// calls are ordered by their sequence numbers, those without one by their arrival. A
// resend of a call that the shard has recorded does not wait.
func (s *Service) beginInOrder(ctx context.Context, state *shard.State, group uint64, req *rpcpb.ShardRequest) (*rpcpb.ShardResponse, error) {
	begin := req.Command.GetBegin()
	wait := min(time.Duration(req.WaitMs)*time.Millisecond, maxBeginWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if state.HasCall(begin.Key) {
		return s.proposeCommand(ctx, group, req.Command)
	}
	call := s.callQueues.enqueue(begin.Key.GetCustomer(), begin.Key.GetProgram(), begin.Sequence)
	defer call.dequeue()
	for {
		if !call.waitUntilFirst(ctx) {
			return busyResponse(), nil
		}
		programChanged := state.Watch(begin.Key.GetCustomer(), begin.Key.GetProgram())
		resp, err := s.proposeCommand(ctx, group, req.Command)
		if err != nil || !mayBeginLater(resp.Result) {
			return resp, err
		}
		if !call.waitForChange(ctx, programChanged) {
			return resp, nil
		}
	}
}

// mayBeginLater reports whether a refused Begin may succeed after the program changes.
func mayBeginLater(result *shardpb.Result) bool {
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

// releaseEnded tells the sidecars to release the engine memory of idle programs that an
// Expire command ended. A sidecar that cannot be reached releases it after its own idle
// limit.
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
	expireInterval    = time.Second
	expireBatch       = 64 // programs per command
	expireTimeout     = 2 * time.Second
	maxExpireCommands = 16 // per shard and interval
)

// expireShards enforces the time limits of programs, their calls and their holds in
// those shards that this host leads and that have a limit which is due.
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

// expireShard proposes Expire commands until nothing more is due, at most
// maxExpireCommands of them.
func (s *Service) expireShard(ctx context.Context, group uint64) {
	ctx, cancel := context.WithTimeout(ctx, expireTimeout)
	defer cancel()
	if s.groups.ReadBarrier(ctx, group) != nil {
		return // another host leads the group
	}
	for range maxExpireCommands {
		cmd := &shardpb.Command{Op: &shardpb.Command_Expire{Expire: &shardpb.Expire{MaxPrograms: expireBatch}}}
		resp, err := s.proposeCommand(ctx, group, cmd)
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
