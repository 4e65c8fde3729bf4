// Package config implements the deterministic state machine of the configuration
// group. It stores planned stops, quarantined requests and crash suspects, engine
// orders, the placement of shards and the control hosts.
//
// Each accepted command that changes a record raises the version of the whole
// configuration by one, and the changed records carry that version. The version
// never decreases. Replicas that apply the same log entries return the same results
// and write byte-identical snapshots.
package config

import (
	"crypto/sha256"
	"fmt"
	"sync"

	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/proto/configpb"
)

// MaxRetainedChanges is the number of newest accepted commands whose results are
// stored, so that a resent command gets its first result. An older Put or Delete that
// is resent is refused with a version conflict.
const MaxRetainedChanges = 1024

// maxTimeMs is the upper limit of now_ms, in milliseconds since the Unix epoch.
const maxTimeMs = 1 << 52

// State is the state of the configuration group. Apply, Snapshot and Restore
// must be called from one goroutine at a time; the read methods are safe for
// concurrent use. Callers must not modify the records that they are given.
type State struct {
	mu             sync.RWMutex
	nowMs          int64 // highest time of a command, in milliseconds since the Unix epoch
	version        uint64
	prunedVersion  uint64                      // version of the newest pruned tombstone
	records        map[string]*configpb.Record // by key, including tombstones
	counts         map[kind]int                // number of records by kind, without tombstones
	changes        []change                    // newest accepted commands, oldest first
	changedRecords []*configpb.Record          // records written by the command that is being applied
	changed        chan struct{}               // closed and replaced at each change
}

// change is an accepted command with its result.
type change struct {
	id     string
	digest [sha256.Size]byte
	result *configpb.Result
}

// New returns an empty state.
func New() *State {
	return &State{
		records: make(map[string]*configpb.Record),
		counts:  make(map[kind]int),
		changed: make(chan struct{}),
	}
}

// Apply applies an encoded configpb.Command at a log index and returns a
// *configpb.Result. A command that cannot be decoded is refused with
// REASON_INVALID and changes nothing.
func (s *State) Apply(index uint64, data []byte) any {
	cmd := new(configpb.Command)
	if err := proto.Unmarshal(data, cmd); err != nil {
		return refusedResult(configpb.Reason_REASON_INVALID, "decode: %v", err)
	}
	if refusal := checkCommand(cmd); refusal != nil {
		return &configpb.Result{Refusal: refusal}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nowMs = max(s.nowMs, cmd.GetNowMs())
	digest := digestOf(cmd)
	if earlier := s.findChange(cmd.GetChangeId()); earlier != nil {
		return resentResult(earlier, digest)
	}
	result := s.apply(cmd)
	if result.GetRefusal() != nil {
		return result
	}
	result.Version = s.version
	result.Index = index
	s.retainChange(change{id: cmd.GetChangeId(), digest: digest, result: result})
	return result
}

func (s *State) apply(cmd *configpb.Command) *configpb.Result {
	switch op := cmd.GetOp().(type) {
	case *configpb.Command_Put:
		return s.put(op.Put)
	case *configpb.Command_Delete:
		return s.remove(op.Delete)
	case *configpb.Command_ReportCrash:
		return s.reportCrash(op.ReportCrash)
	case *configpb.Command_ClearSuspects:
		return s.clearSuspects(op.ClearSuspects)
	default:
		return refusedResult(configpb.Reason_REASON_INVALID, "unknown operation")
	}
}

// resentResult returns the result of an earlier command that is sent again, or a
// refusal when its change ID was used for a different operation.
func resentResult(earlier *change, digest [sha256.Size]byte) *configpb.Result {
	if earlier.digest != digest {
		return refusedResult(configpb.Reason_REASON_CHANGE_ID_REUSED, "change ID %q was used for another change", earlier.id)
	}
	return earlier.result
}

func (s *State) findChange(id string) *change {
	for i := range s.changes {
		if s.changes[i].id == id {
			return &s.changes[i]
		}
	}
	return nil
}

// retainChange stores an accepted command and drops the oldest ones beyond
// MaxRetainedChanges.
func (s *State) retainChange(c change) {
	s.changes = append(s.changes, c)
	if len(s.changes) > MaxRetainedChanges {
		s.changes = append([]change(nil), s.changes[len(s.changes)-MaxRetainedChanges:]...)
	}
}

// digestOf returns the SHA-256 of the operation of a command. The change ID and the
// time are left out, so that a resend has the same digest.
func digestOf(cmd *configpb.Command) [sha256.Size]byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(&configpb.Command{Op: cmd.GetOp()})
	if err != nil {
		return [sha256.Size]byte{}
	}
	return sha256.Sum256(data)
}

func newRefusal(reason configpb.Reason, format string, args ...any) *configpb.Refusal {
	return &configpb.Refusal{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

func refusedResult(reason configpb.Reason, format string, args ...any) *configpb.Result {
	return &configpb.Result{Refusal: newRefusal(reason, format, args...)}
}
