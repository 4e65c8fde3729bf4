// Package ledger is the state machine of programs on pass-through routes: the
// token budget of each program, reserved before a turn and settled after it, and
// the turns that are kept so that later ones can continue from them.
package ledger

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/proto/ledgerpb"
)

const (
	// retentionMargin is kept beyond the retention of a turn: hosts stamp commands
	// with their time of day, which may differ by some seconds.
	retentionMargin = 30 * time.Second
	// programIdle is how long the budget of a program outlives its last command. A
	// program that was stopped may come back within the retention of its turns.
	programIdle = 5 * time.Minute
	// expiryPeriod is how often expired records are looked for, in commands' time.
	expiryPeriod = 5 * time.Second
)

// State implements replica.StateMachine. Reads of results that Apply returned
// are safe from any goroutine: turns do not change.
type State struct {
	mu       sync.RWMutex
	nowMs    int64 // highest time of a command
	sweptMs  int64
	programs map[string]*program
	turns    map[string]*turn // by call ID
}

type program struct {
	budget    uint64
	settled   uint64
	reserved  uint64            // sum of open
	open      map[string]uint64 // reserved tokens by call ID
	done      map[string]struct{}
	expiresMs int64
}

// turn is a kept turn. It is not changed after it was made, but for expiresMs
// and hidden, which only Apply uses.
type turn struct {
	id        string
	previous  *turn
	input     []byte
	output    []byte
	expiresMs int64
}

// New returns an empty state.
func New() *State {
	return &State{programs: make(map[string]*program), turns: make(map[string]*turn)}
}

// Result is the outcome of a command.
type Result struct {
	Outcome ledgerpb.Outcome
	last    *turn // end of the chain that a Begin continues from
}

// PreviousTurns returns the turns that a Begin continues from, oldest first.
func (r Result) PreviousTurns() []*ledgerpb.Exchange {
	length := 0
	for t := r.last; t != nil; t = t.previous {
		length++
	}
	chain := make([]*ledgerpb.Exchange, length)
	for t := r.last; t != nil; t = t.previous {
		length--
		chain[length] = &ledgerpb.Exchange{Input: t.input, Output: t.output}
	}
	return chain
}

// Apply implements replica.StateMachine. The result is a Result. A command that
// cannot be decoded changes nothing.
func (s *State) Apply(_ uint64, data []byte) any {
	cmd := new(ledgerpb.Command)
	if err := proto.Unmarshal(data, cmd); err != nil {
		return Result{Outcome: ledgerpb.Outcome_OUTCOME_UNKNOWN_TURN}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nowMs = max(s.nowMs, cmd.NowMs)
	s.expire()
	switch kind := cmd.Kind.(type) {
	case *ledgerpb.Command_Begin:
		return s.begin(kind.Begin)
	case *ledgerpb.Command_Finish:
		return s.finish(kind.Finish)
	}
	return Result{}
}

func (s *State) begin(b *ledgerpb.Begin) Result {
	var last *turn
	if b.Previous != "" {
		if last = s.turns[b.Previous]; last == nil {
			return Result{Outcome: ledgerpb.Outcome_OUTCOME_UNKNOWN_TURN}
		}
	}
	if b.Limited && !s.reserve(b) {
		return Result{Outcome: ledgerpb.Outcome_OUTCOME_BUDGET_SPENT}
	}
	return Result{last: last}
}

// reserve sets aside the most that a turn may generate. Turns that did not end
// count at their most, so the sum handed out never exceeds the budget.
func (s *State) reserve(b *ledgerpb.Begin) bool {
	p := s.programs[b.Program]
	if p == nil {
		p = &program{budget: b.TokenBudget, open: make(map[string]uint64), done: make(map[string]struct{})}
		s.programs[b.Program] = p
	}
	p.expiresMs = s.nowMs + programIdle.Milliseconds()
	if _, found := p.open[b.CallId]; found {
		return true
	}
	if _, found := p.done[b.CallId]; found {
		return true
	}
	if p.settled+p.reserved+b.MaxTokens > p.budget {
		return false
	}
	p.open[b.CallId] = b.MaxTokens
	p.reserved += b.MaxTokens
	return true
}

func (s *State) finish(f *ledgerpb.Finish) Result {
	s.settle(f)
	if !f.Keep || s.turns[f.CallId] != nil {
		return Result{}
	}
	t := &turn{id: f.CallId, input: f.Input, output: f.Output}
	if f.Previous != "" {
		t.previous = s.turns[f.Previous]
		if t.previous == nil {
			// The chain ran out of its retention while the turn ran.
			return Result{Outcome: ledgerpb.Outcome_OUTCOME_UNKNOWN_TURN}
		}
	}
	t.expiresMs = s.nowMs + f.RetentionMs + retentionMargin.Milliseconds()
	s.turns[f.CallId] = t
	for ancestor := t.previous; ancestor != nil && ancestor.expiresMs < t.expiresMs; ancestor = ancestor.previous {
		ancestor.expiresMs = t.expiresMs
	}
	return Result{}
}

func (s *State) settle(f *ledgerpb.Finish) {
	p := s.programs[f.Program]
	if p == nil {
		return
	}
	// Also without a reservation: a delayed copy of its Begin must reserve nothing.
	p.done[f.CallId] = struct{}{}
	reserved, found := p.open[f.CallId]
	if !found {
		return
	}
	delete(p.open, f.CallId)
	p.reserved -= reserved
	p.settled += f.Tokens
	p.expiresMs = s.nowMs + programIdle.Milliseconds()
}

// expire removes what nobody can ask for any more. It depends on the times of
// commands only, so all replicas do it at the same entry.
func (s *State) expire() {
	if s.nowMs-s.sweptMs < expiryPeriod.Milliseconds() {
		return
	}
	s.sweptMs = s.nowMs
	for id, p := range s.programs {
		if p.expiresMs < s.nowMs {
			delete(s.programs, id)
		}
	}
	for id, t := range s.turns {
		if t.expiresMs < s.nowMs {
			delete(s.turns, id)
		}
	}
}

// Stats are figures of a State for metrics.
type Stats struct {
	Programs int
	Turns    int
}

// Stats returns the number of records held.
func (s *State) Stats() Stats {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return Stats{Programs: len(s.programs), Turns: len(s.turns)}
}
