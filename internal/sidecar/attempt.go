package sidecar

import (
	"strings"
	"sync"
	"time"

	"ibistray.example/ibistray/proto/rpcpb"
	"ibistray.example/ibistray/proto/shardpb"
)

// callID identifies a call within a sidecar.
type callID struct {
	customer string
	program  string
	call     string
}

func callIDOf(key *shardpb.CallKey) callID {
	return callID{customer: key.GetCustomer(), program: key.GetProgram(), call: key.GetCall()}
}

// programID identifies a program within a sidecar. Its string form is the key of the
// program's prefix in the engine's cache.
type programID struct {
	customer string
	program  string
}

func (p programID) String() string {
	return p.customer + "/" + p.program
}

// parseProgramID parses a key of the engine's cache. Customer names contain no slash.
func parseProgramID(key string) programID {
	customer, program, _ := strings.Cut(key, "/")
	return programID{customer: customer, program: program}
}

func (c callID) programID() programID {
	return programID{customer: c.customer, program: c.program}
}

// attempt is one attempt of a call, with its output so far and its result. Any number of
// readers may follow it.
type attempt struct {
	id      callID
	request *rpcpb.RunRequest
	alone   bool      // must run without other attempts, since it may crash the server
	started time.Time // when it acquired its slot
	outputs *outputs  // counts what the attempt holds

	mu        sync.Mutex
	changed   chan struct{} // closed and replaced on each change
	output    []byte
	held      int64             // bytes that outputs counts for the attempt
	answer    *shardpb.Answer   // result of a successful attempt
	refused   *rpcpb.RunRefused // reason of a refused or failed attempt
	committed bool              // the answer is durable in the shard
	cancelled bool
	cancel    func() // cancels the context of the running attempt; nil before it runs
}

func newAttempt(req *rpcpb.RunRequest) *attempt {
	return &attempt{
		id:      callIDOf(req.Key),
		request: req,
		changed: make(chan struct{}),
	}
}

func (a *attempt) number() attemptNumber {
	return attemptNumber{epoch: a.request.Epoch, number: a.request.Attempt}
}

// attemptState is a snapshot of an attempt.
type attemptState struct {
	output    []byte // from the requested offset on; must not be modified
	answer    *shardpb.Answer
	refused   *rpcpb.RunRefused
	committed bool
	changed   <-chan struct{} // closed at the next change
}

func (s attemptState) ended() bool {
	return s.answer != nil || s.refused != nil
}

// state returns a snapshot with the output from a byte offset on.
func (a *attempt) state(offset uint64) attemptState {
	a.mu.Lock()
	defer a.mu.Unlock()
	st := attemptState{answer: a.answer, refused: a.refused, committed: a.committed, changed: a.changed}
	if offset < uint64(len(a.output)) {
		st.output = a.output[offset:len(a.output):len(a.output)]
	}
	return st
}

// update runs f with mu held and notifies all readers of the change.
func (a *attempt) update(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f()
	close(a.changed)
	a.changed = make(chan struct{})
}

// appendOutput appends text to the output. It returns errAnswerTooLarge if the output would exceed
// the limits; other errors wrap backend.ErrInvalidResponse.
func (a *attempt) appendOutput(text string) error {
	size, err := encodedBytes(text)
	if err != nil {
		return err
	}
	a.update(func() {
		if !a.outputs.grow(a.held, size) {
			err = errAnswerTooLarge
			return
		}
		a.held += size
		a.output = append(a.output, text...)
	})
	return err
}

// drop ends the counting of what an ended attempt holds.
func (a *attempt) drop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.outputs.release(a.held)
	a.held = 0
}

func (a *attempt) heldBytes() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held
}

func (a *attempt) setAnswer(answer *shardpb.Answer) {
	a.update(func() { a.answer = answer })
}

func (a *attempt) setRefusal(refused *rpcpb.RunRefused) {
	a.update(func() {
		refused.OutputBytes = uint64(len(a.output))
		a.refused = refused
	})
}

func (a *attempt) markCommitted() {
	a.update(func() { a.committed = true })
}

// stop cancels the attempt because a newer one supersedes it.
func (a *attempt) stop() {
	a.mu.Lock()
	a.cancelled = true
	cancel := a.cancel
	a.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// setCancel sets the function that stop calls. If the attempt has been stopped already,
// cancel is called at once.
func (a *attempt) setCancel(cancel func()) {
	a.mu.Lock()
	a.cancel = cancel
	cancelled := a.cancelled
	a.mu.Unlock()
	if cancelled {
		cancel()
	}
}

func (a *attempt) outputBytes() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return uint64(len(a.output))
}
