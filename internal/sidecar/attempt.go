package sidecar

import (
	"strings"
	"sync"
	"time"

	"ibistray.example/ibistray/proto/rpcpb"
	"ibistray.example/ibistray/proto/shardpb"
)

// callID names a call in the tables of a sidecar.
type callID struct {
	customer string
	program  string
	call     string
}

func callIDOf(key *shardpb.CallKey) callID {
	return callID{customer: key.GetCustomer(), program: key.GetProgram(), call: key.GetCall()}
}

// programID names a program in the tables of a sidecar and in the engine's
// cache.
type programID struct {
	customer string
	program  string
}

func (p programID) String() string {
	return p.customer + "/" + p.program
}

// parseProgramID reads a key of the engine's cache. Customer names have no slash.
func parseProgramID(key string) programID {
	customer, program, _ := strings.Cut(key, "/")
	return programID{customer: customer, program: program}
}

func (c callID) programID() programID {
	return programID{customer: c.customer, program: c.program}
}

// attempt is one attempt of a call: its output so far and its end. Any number
// of readers may follow it.
type attempt struct {
	id      callID
	request *rpcpb.RunRequest
	alone   bool      // suspected of crashing servers: runs with nothing else
	started time.Time // when it got its slot

	mu        sync.Mutex
	changed   chan struct{} // closed and replaced on each change
	text      []byte
	answer    *shardpb.Answer   // set when the backend server answered
	refused   *rpcpb.RunRefused // set when it did not
	committed bool              // the answer is durable in the shard
	cancelled bool
	cancel    func() // stops the running work; may be nil
}

func newAttempt(req *rpcpb.RunRequest) *attempt {
	return &attempt{
		id:      callIDOf(req.Key),
		request: req,
		changed: make(chan struct{}),
	}
}

// attemptState is a consistent view of an attempt.
type attemptState struct {
	text      []byte // from the offset asked for; must not be changed
	answer    *shardpb.Answer
	refused   *rpcpb.RunRefused
	committed bool
	changed   <-chan struct{}
}

func (s attemptState) ended() bool {
	return s.answer != nil || s.refused != nil
}

// state returns the output from an offset on and the end, if any.
func (a *attempt) state(offset uint64) attemptState {
	a.mu.Lock()
	defer a.mu.Unlock()
	st := attemptState{answer: a.answer, refused: a.refused, committed: a.committed, changed: a.changed}
	if offset < uint64(len(a.text)) {
		st.text = a.text[offset:len(a.text):len(a.text)]
	}
	return st
}

func (a *attempt) update(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f()
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *attempt) append(text string) {
	a.update(func() { a.text = append(a.text, text...) })
}

func (a *attempt) finish(answer *shardpb.Answer) {
	a.update(func() { a.answer = answer })
}

func (a *attempt) fail(refused *rpcpb.RunRefused) {
	a.update(func() {
		refused.OutputBytes = uint64(len(a.text))
		a.refused = refused
	})
}

func (a *attempt) markCommitted() {
	a.update(func() { a.committed = true })
}

// stop ends the running work of a superseded attempt.
func (a *attempt) stop() {
	a.mu.Lock()
	a.cancelled = true
	cancel := a.cancel
	a.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// onStop registers what stop calls. It is called at once when the attempt is
// already stopped.
func (a *attempt) onStop(cancel func()) {
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
	return uint64(len(a.text))
}
