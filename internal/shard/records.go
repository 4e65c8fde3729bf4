package shard

import (
	"crypto/sha256"

	"ibistray.example/ibistray/proto/shardpb"
)

// customer is the state of one customer.
type customer struct {
	contract      *shardpb.Contract // replaced, never changed in place
	contractIndex uint64
	budget        ledger
	changes       changeTable
	quarantined   []quarantinedRequest // oldest first
	programs      map[string]*program
	openCalls     uint32
	heldTokens    uint64
}

func newCustomer() *customer {
	return &customer{programs: make(map[string]*program)}
}

// program is a chain of calls of one customer. At most one call is open, and
// it is the last one.
type program struct {
	customer       *customer
	name           string
	epoch          uint64 // log index of the entry that created the program
	parent         string
	parentEpoch    uint64
	countedTurns   uint64 // own calls and calls of sub-agents
	calls          []call // by turn
	byID           map[string]uint32
	history        []uint32 // positions in calls
	historyTokens  uint64
	historyDigest  []byte
	attainedTokens uint64
	startedMs      int64
	lastActivityMs int64
	endedMs        int64 // 0: not ended
	lastTarget     *shardpb.Target
	open           *openCall
	hold           *hold
	dueMs          int64
	dueIndex       int // position in the due queue
}

// call is the record of one call. It is kept until the program is removed.
type call struct {
	id          string
	fingerprint [sha256.Size]byte
	failure     *shardpb.Failure
	input       uint64 // body ID, 0: none
	answer      uint64 // body ID, 0: none
	attempt     uint32 // newest attempt, 0: never dispatched
	state       callState
	kind        callKind
	repeatable  bool
}

// callState and callKind are the protocol's enums in one byte.
type (
	callState uint8
	callKind  uint8
)

const (
	stateBegun      = callState(shardpb.CallState_CALL_STATE_BEGUN)
	stateDispatched = callState(shardpb.CallState_CALL_STATE_DISPATCHED)
	stateFinished   = callState(shardpb.CallState_CALL_STATE_FINISHED)
	stateFailed     = callState(shardpb.CallState_CALL_STATE_FAILED)
	stateUnknown    = callState(shardpb.CallState_CALL_STATE_UNKNOWN)

	kindModel   = callKind(shardpb.CallKind_CALL_KIND_MODEL)
	kindService = callKind(shardpb.CallKind_CALL_KIND_SERVICE)
)

// final reports whether the call's outcome can no longer change.
func (c *call) final() bool {
	return c.state != stateBegun && c.state != stateDispatched
}

// openCall is what is known of a call only until its outcome is final.
type openCall struct {
	target            *shardpb.Target // of the newest attempt
	reserved          uint64          // tokens
	period            uint64          // budget period of the reservation
	newInputTokensMax uint64
	maxOutputTokens   uint64
	deadlineMs        int64 // 0: none
	begunMs           int64
	inputDigest       [sha256.Size]byte
	mayHaveRun        bool // an attempt before the newest was not fenced
}

// hold is a lease on engine memory.
type hold struct {
	target  *shardpb.Target
	tokens  uint64
	untilMs int64
}

// openRecord returns the record of the open call, which is the last one.
func (p *program) openRecord() *call {
	return p.lastCall()
}

// lastCall returns the record of the newest call.
func (p *program) lastCall() *call {
	return &p.calls[len(p.calls)-1]
}

// find returns the call's record, or nil.
func (p *program) find(id string) *call {
	if p == nil {
		return nil
	}
	pos, ok := p.byID[id]
	if !ok {
		return nil
	}
	return &p.calls[pos]
}

// appendCall adds a record, which becomes the last call.
func (p *program) appendCall(c call) {
	if p.byID == nil {
		p.byID = make(map[string]uint32)
	}
	p.byID[c.id] = uint32(len(p.calls)) // bounded by contract.MaxTurns
	p.calls = append(p.calls, c)
}

func (p *program) ended() bool {
	return p.endedMs != 0
}

func (p *program) id() programID {
	return programID{customer: p.customer.contract.GetCustomer(), program: p.name}
}
