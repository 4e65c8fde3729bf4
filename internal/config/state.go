// Package config is the deterministic state machine of the configuration
// group: planned stops, quarantined requests and crash suspects, engine orders,
// placement of shards and control hosts.
//
// Each accepted command that changes a record raises the version of the whole
// configuration by one; the changed records carry that version. A version never
// goes back. Replicas that apply the same entries give the same results and
// write byte-identical snapshots.
package config

import (
	"crypto/sha256"
	"fmt"
	"sync"

	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/proto/configpb"
)

// MaxRememberedChanges is how many accepted commands are remembered for resends. An older
// Put or Delete that is sent again is refused with a version conflict.
const MaxRememberedChanges = 1024

// maxTimeMs bounds now_ms, in milliseconds since the Unix epoch.
const maxTimeMs = 1 << 52

// State is the state of the configuration group. Apply, Snapshot and Restore
// are called from one goroutine at a time; the read methods from any. Records
// that are handed out must not be changed.
type State struct {
	mu        sync.RWMutex
	nowMs     int64
	version   uint64
	forgotten uint64 // version of the newest deletion that is not recorded
	records   map[string]*configpb.Record
	counts    map[kind]int       // records that are not deleted
	changes   []change           // oldest first
	touched   []*configpb.Record // by the command that is being applied
	changed   chan struct{}
}

// change is one accepted command.
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

// Apply applies the encoded configpb.Command at a log index and returns a
// *configpb.Result. A command that cannot be decoded is refused with
// REASON_INVALID and changes nothing.
func (s *State) Apply(index uint64, data []byte) any {
	cmd := new(configpb.Command)
	if err := proto.Unmarshal(data, cmd); err != nil {
		return refused(configpb.Reason_REASON_INVALID, "decode: %v", err)
	}
	if refusal := checkCommand(cmd); refusal != nil {
		return &configpb.Result{Refusal: refusal}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nowMs = max(s.nowMs, cmd.GetNowMs())
	digest := digestOf(cmd)
	if known := s.findChange(cmd.GetChangeId()); known != nil {
		return resent(known, digest)
	}
	result := s.apply(cmd)
	if result.GetRefusal() != nil {
		return result
	}
	result.Version = s.version
	result.Index = index
	s.remember(change{id: cmd.GetChangeId(), digest: digest, result: result})
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
		return refused(configpb.Reason_REASON_INVALID, "unknown operation")
	}
}

func resent(known *change, digest [sha256.Size]byte) *configpb.Result {
	if known.digest != digest {
		return refused(configpb.Reason_REASON_CHANGE_ID_REUSED, "change ID %q was used for another change", known.id)
	}
	return known.result
}

func (s *State) findChange(id string) *change {
	for i := range s.changes {
		if s.changes[i].id == id {
			return &s.changes[i]
		}
	}
	return nil
}

func (s *State) remember(c change) {
	s.changes = append(s.changes, c)
	if len(s.changes) > MaxRememberedChanges {
		s.changes = append([]change(nil), s.changes[len(s.changes)-MaxRememberedChanges:]...)
	}
}

// digestOf identifies the operation of a command, without its ID and time.
func digestOf(cmd *configpb.Command) [sha256.Size]byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(&configpb.Command{Op: cmd.GetOp()})
	if err != nil {
		return [sha256.Size]byte{}
	}
	return sha256.Sum256(data)
}

func refuse(reason configpb.Reason, format string, args ...any) *configpb.Refusal {
	return &configpb.Refusal{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

func refused(reason configpb.Reason, format string, args ...any) *configpb.Result {
	return &configpb.Result{Refusal: refuse(reason, format, args...)}
}
