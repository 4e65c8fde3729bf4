// Package shard implements the replicated state machine of one shard of customers.
// It holds their contracts, programs, call records, histories, budgets and holds
// on engine memory, and enforces the limits of the contracts and the order of
// the calls in each program.
//
// The state changes only through Apply, one command at a time, and depends on no
// clock, random number or map order. Replicas that apply the same log entries
// return the same results and write byte-identical snapshots. A refused command
// changes nothing but the state's own time, which never moves back, and the budget
// period that this time determines.
package shard

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/proto/shardpb"
)

// State is the state of one shard. Apply, Snapshot and Restore are called from
// one goroutine at a time; the read methods may be called from any.
type State struct {
	mu         sync.RWMutex
	nowMs      int64
	customers  map[string]*customer
	due        dueQueue
	bodies     BodyStore
	lastBodyID uint64
	watchers   map[programID]chan struct{}
}

// programID identifies a program within the shard.
type programID struct {
	customer string
	program  string
}

// New returns an empty state that keeps its bodies in the given store and takes
// ownership of the store.
func New(bodies BodyStore) *State {
	return &State{
		customers: make(map[string]*customer),
		bodies:    bodies,
		watchers:  make(map[programID]chan struct{}),
	}
}

// Apply applies the encoded shardpb.Command at a log index and returns a
// *shardpb.Result. A command that cannot be decoded or is out of range is
// refused with REASON_INVALID_COMMAND. Apply panics with a *BodyError when the
// body store fails, because the replica can no longer follow its log.
func (s *State) Apply(index uint64, data []byte) any {
	cmd := new(shardpb.Command)
	if err := proto.Unmarshal(data, cmd); err != nil {
		return &shardpb.Result{Refusal: newRefusal(shardpb.Reason_REASON_INVALID_COMMAND, "decode: %v", err)}
	}
	if refusal := checkCommand(cmd); refusal != nil {
		return &shardpb.Result{Refusal: refusal}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceTime(cmd.GetNowMs())
	return s.applyCommand(index, cmd)
}

// advanceTime sets the state's time to nowMs if that is later.
func (s *State) advanceTime(nowMs int64) {
	if nowMs > s.nowMs {
		s.nowMs = nowMs
	}
}

func (s *State) applyCommand(index uint64, cmd *shardpb.Command) *shardpb.Result {
	switch op := cmd.GetOp().(type) {
	case *shardpb.Command_ApplyContract:
		return s.applyContract(index, op.ApplyContract)
	case *shardpb.Command_Begin:
		return s.begin(index, op.Begin)
	case *shardpb.Command_Dispatch:
		return s.dispatch(index, op.Dispatch)
	case *shardpb.Command_Commit:
		return s.commit(op.Commit)
	case *shardpb.Command_Fail:
		return s.fail(op.Fail)
	case *shardpb.Command_EndProgram:
		return s.endProgram(op.EndProgram)
	case *shardpb.Command_Expire:
		return s.expire(op.Expire)
	case *shardpb.Command_RenewHold:
		return s.renewHold(op.RenewHold)
	default:
		return refusalResult(shardpb.Reason_REASON_INVALID_COMMAND, "unknown operation")
	}
}
