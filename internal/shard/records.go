package shard

import (
	"crypto/sha256"

	"ibistray.example/ibistray/proto/shardpb"
)

// customer is the state of one customer.
type customer struct {
	contract      *shardpb.Contract // replaced as a whole, so readers may keep it
	contractIndex uint64            // log index of the change that put it in force
	budget        budgetAccount
	changes       changeLog
	quarantined   []quarantinedRequest // oldest first
	programs      map[string]*program
	openCalls     uint32
	heldTokens    uint64 // sum of the programs' holds
}

func newCustomer() *customer {
	return &customer{programs: make(map[string]*program)}
}

// program is a sequence of calls of one customer. At most one call is open, and it
// is the last one.
type program struct {
	customer       *customer
	name           string
	epoch          uint64 // log index of the entry that created the program
	parent         string // name of the parent program, "": none
	parentEpoch    uint64
	countedTurns   uint64            // own calls and calls of sub-agents
	calls          []call            // by turn
	byID           map[string]uint32 // call ID to position in calls
	history        []uint32          // positions in calls
	historyTokens  uint64
	historyDigest  []byte
	attainedTokens uint64 // output tokens so far, for least-attained-service scheduling
	startedMs      int64
	lastActivityMs int64
	endedMs        int64           // 0: not ended
	lastTarget     *shardpb.Target // target of the last model call
	open           *openCall       // nil: no open call
	hold           *hold           // nil: no hold
	dueMs          int64           // when the next time limit is due
	dueIndex       int             // position in the due queue
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

// callState and callKind store the protocol's enums in one byte each, because a
// shard holds many call records.
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

// openCall is the part of a call's state that is needed only until its outcome is
// final.
type openCall struct {
	target            *shardpb.Target // of the newest attempt
	reserved          uint64          // tokens
	period            uint64          // budget period of the reservation
	newInputTokensMax uint64
	maxOutputTokens   uint64
	deadlineMs        int64 // 0: none
	begunMs           int64
	inputDigest       [sha256.Size]byte
	mayHaveRun        bool // an attempt before the newest one was not fenced
}

// hold is a lease on engine memory that keeps a program's cached prefix.
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

// find returns the record of a call, or nil. p may be nil.
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
	p.byID[c.id] = uint32(len(p.calls)) // cannot overflow: contract.MaxTurns limits the calls
	p.calls = append(p.calls, c)
}

func (p *program) ended() bool {
	return p.endedMs != 0
}

func (p *program) id() programID {
	return programID{customer: p.customer.contract.GetCustomer(), program: p.name}
}
