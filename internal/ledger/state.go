// Package ledger implements the replicated state machine for programs on
// pass-through routes. It tracks the token budget of each program, which a turn
// reserves from before it runs and settles afterwards, and stores finished turns
// so that later turns can continue from them. It also records the software version
// that runs each stream which clients may resume, and the events of those whose turns are kept. Programs, turns and streams belong to a
// client account: commands of one account neither see nor change those of another.
package ledger

import (
	"cmp"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/internal/spill"
	"ibistray.example/ibistray/proto/ledgerpb"
)

const (
	// retentionMargin extends the retention of a turn. Builds that stamp commands with
	// the time of day of their host may differ by some seconds.
	retentionMargin = 30 * time.Second
	// programRetentionPeriod is how long a program's budget is stored after its last
	// command. A stopped program may resume within the retention of its turns.
	programRetentionPeriod = 5 * time.Minute
	// expiryInterval is the time between scans for expired records, measured in the
	// time stamps of commands.
	expiryInterval = 5 * time.Second
)

// State implements replica.StateMachine. A Result that Apply returned may be read
// from any goroutine, because the contents of stored turns never change.
type State struct {
	mu           sync.RWMutex
	nowMs        int64            // highest time stamp of a command, in milliseconds since the Unix epoch
	lastExpiryMs int64            // value of nowMs at the last scan for expired records
	programs     map[key]*program // by program ID
	turns        map[key]*turn    // by call ID
	turnBytes    int64            // of the input and output of turns
	memoryBytes  int64            // the part of turnBytes that is in memory
	largeBytes   int64            // the part of turnBytes of large bodies on disk
	bodies       *bodyStore
	streams      streamTable
	outputs      outputTable
	unknown      int // commands and snapshot records of unknown kinds, since the start
}

// key identifies a program, a turn or a stream.
type key struct {
	account string // client account, "" in deployments without accounts
	id      string // of the program or the call
}

// compareKeys orders keys by account, then by ID.
func compareKeys(a, b key) int {
	return cmp.Or(cmp.Compare(a.account, b.account), cmp.Compare(a.id, b.id))
}

// program is the token budget of a program and what its turns took from it.
type program struct {
	budget         uint64              // tokens
	settledTokens  uint64              // used by settled turns
	reservedTokens uint64              // sum of reservations
	reservations   map[string]uint64   // tokens reserved by running turns, by call ID
	settledCalls   map[string]struct{} // IDs of settled calls
	expiresMs      int64
}

// turn is a stored turn. It is immutable except for expiresMs, which only Apply
// changes.
type turn struct {
	key       key // with the call ID
	previous  *turn
	body      body
	server    string // that ran the turn
	expiresMs int64
}

// New returns an empty state that holds all turns in memory.
func New() *State { return newState(new(bodyStore)) }

// NewSpilling returns an empty state that holds the input and output of turns on disk once those
// in memory have memoryBytes. What the disk refuses stays in memory. Outcomes of commands and
// snapshots are the same as those of a state in memory.
func NewSpilling(disk *spill.Store, memoryBytes int64) *State {
	return newState(&bodyStore{disk: disk, limit: memoryBytes})
}

func newState(bodies *bodyStore) *State {
	return &State{programs: make(map[key]*program), turns: make(map[key]*turn), streams: newStreamTable(), outputs: newOutputTable(), bodies: bodies}
}

// NowMs returns the highest time stamp of a command, in milliseconds since the Unix epoch, or 0 before
// the first one.
func (s *State) NowMs() int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.nowMs
}

// Result is the outcome of a command.
type Result struct {
	Outcome  ledgerpb.Outcome
	previous *turn // turn that a Begin continues from, or nil
	opened
}

// StreamVersion returns the software version that began the stream which a call
// resumes, or "" if it resumes none.
func (r Result) StreamVersion() string { return r.version }

// Output returns the recorded events of the stream which a call resumes, up to the last one that
// its client holds. They must not be changed.
func (r Result) Output() []*ledgerpb.OutputEvent { return r.output }

// PreviousTurns returns the turn that a Begin continues from and all its
// ancestors, oldest first. It returns nil if one of them cannot be read: see Chain.
func (r Result) PreviousTurns() []*ledgerpb.Exchange {
	chain := r.Chain()
	return chain.Exchanges()
}

// PreviousServer returns the backend server that ran the turn that a Begin continues
// from, or "" if there is none.
func (r Result) PreviousServer() string {
	if r.previous == nil {
		return ""
	}
	return r.previous.server
}

// Apply implements replica.StateMachine. The returned value is a Result. A command
// that cannot be decoded, or whose kind only later builds know, changes nothing; the latter is
// counted.
func (s *State) Apply(_ uint64, data []byte) any {
	cmd := new(ledgerpb.Command)
	if err := proto.Unmarshal(data, cmd); err != nil {
		return Result{Outcome: ledgerpb.Outcome_OUTCOME_UNKNOWN_TURN}
	}
	s.advance(cmd.NowMs)
	switch kind := cmd.Kind.(type) {
	case *ledgerpb.Command_Begin:
		return s.begin(kind.Begin)
	case *ledgerpb.Command_Finish:
		return s.finish(kind.Finish)
	case *ledgerpb.Command_OpenStream:
		return s.openStreamOnly(kind.OpenStream)
	case *ledgerpb.Command_RecordOutput:
		return s.recordOutput(kind.RecordOutput)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unknown++
	return Result{}
}

// advance takes the time stamp of a command and removes what has expired.
func (s *State) advance(nowMs int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nowMs = max(s.nowMs, nowMs)
	s.expire()
}

// begin reserves the tokens of a turn and looks up the turn that it continues from and
// the version of the stream that it resumes.
func (s *State) begin(b *ledgerpb.Begin) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	var previous *turn
	if b.Previous != "" {
		if previous = s.turns[key{b.Account, b.Previous}]; previous == nil {
			return Result{Outcome: ledgerpb.Outcome_OUTCOME_UNKNOWN_TURN}
		}
	}
	var stream opened
	if b.Stream != nil {
		var found bool
		if stream, found = s.openStream(b.Account, b.Stream); !found {
			return Result{Outcome: ledgerpb.Outcome_OUTCOME_UNKNOWN_STREAM}
		}
	}
	if b.Limited && !s.reserve(b) {
		return Result{Outcome: ledgerpb.Outcome_OUTCOME_BUDGET_SPENT}
	}
	return Result{previous: previous, opened: stream}
}

// reserve reserves the maximum number of tokens that a turn may generate and
// reports whether the budget allows it. A turn that has not ended counts with its
// maximum, so a program never generates more tokens than its budget.
func (s *State) reserve(b *ledgerpb.Begin) bool {
	programKey := key{b.Account, b.Program}
	p := s.programs[programKey]
	if p == nil {
		p = &program{budget: b.TokenBudget, reservations: make(map[string]uint64), settledCalls: make(map[string]struct{})}
		s.programs[programKey] = p
	}
	p.expiresMs = s.nowMs + programRetentionPeriod.Milliseconds()
	if _, found := p.reservations[b.CallId]; found {
		return true
	}
	if _, found := p.settledCalls[b.CallId]; found {
		return true
	}
	if p.settledTokens+p.reservedTokens+b.MaxTokens > p.budget {
		return false
	}
	p.reservations[b.CallId] = b.MaxTokens
	p.reservedTokens += b.MaxTokens
	return true
}

// finish settles a call and stores its turn when the command asks for it. It may write the body
// of the turn to the disk, so it does not hold the lock meanwhile.
func (s *State) finish(f *ledgerpb.Finish) Result {
	var kept body
	if f.Keep {
		kept = s.bodies.keep(f.Input, f.Output)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle(f)
	turnKey := key{f.Account, f.CallId}
	if !f.Keep || s.turns[turnKey] != nil {
		return Result{}
	}
	t := &turn{key: turnKey, body: kept, server: f.Server}
	if f.Previous != "" {
		t.previous = s.turns[key{f.Account, f.Previous}]
		if t.previous == nil {
			// The previous turn expired while this one ran, or belongs to another account.
			return Result{Outcome: ledgerpb.Outcome_OUTCOME_UNKNOWN_TURN}
		}
	}
	t.expiresMs = s.nowMs + f.RetentionMs + retentionMargin.Milliseconds()
	s.putTurn(t)
	for ancestor := t.previous; ancestor != nil && ancestor.expiresMs < t.expiresMs; ancestor = ancestor.previous {
		ancestor.expiresMs = t.expiresMs
	}
	return Result{}
}

// putTurn stores a turn under its ID.
func (s *State) putTurn(t *turn) {
	s.turns[t.key] = t
	s.turnBytes += t.body.size()
	s.largeBytes += s.bodies.largeBytes(&t.body)
	s.countMemory(t.body.memoryBytes())
}

func (s *State) removeTurn(turnKey key, t *turn) {
	delete(s.turns, turnKey)
	s.turnBytes -= t.body.size()
	s.largeBytes -= s.bodies.largeBytes(&t.body)
	s.countMemory(-t.body.memoryBytes())
}

// countMemory counts bytes of bodies in memory, which are negative for a removed turn.
func (s *State) countMemory(bytes int64) {
	s.memoryBytes += bytes
	s.bodies.memory.Add(bytes)
}

// settle replaces the reservation of a call by the tokens that it used.
func (s *State) settle(f *ledgerpb.Finish) {
	p := s.programs[key{f.Account, f.Program}]
	if p == nil {
		return
	}
	// Recorded even without a reservation, so that a delayed copy of the call's
	// Begin reserves nothing.
	p.settledCalls[f.CallId] = struct{}{}
	reserved, found := p.reservations[f.CallId]
	if !found {
		return
	}
	delete(p.reservations, f.CallId)
	p.reservedTokens -= reserved
	p.settledTokens += f.Tokens
	p.expiresMs = s.nowMs + programRetentionPeriod.Milliseconds()
}

// expire removes expired programs, turns and streams. It depends only on the time stamps
// of commands, so all replicas remove them at the same log entry.
func (s *State) expire() {
	if s.nowMs-s.lastExpiryMs < expiryInterval.Milliseconds() {
		return
	}
	s.lastExpiryMs = s.nowMs
	for programKey, p := range s.programs {
		if p.expiresMs < s.nowMs {
			delete(s.programs, programKey)
		}
	}
	for turnKey, t := range s.turns {
		if t.expiresMs < s.nowMs {
			s.removeTurn(turnKey, t)
		}
	}
	s.expireStreams()
}

// ActivePrograms returns the IDs of the programs that had a turn within a period, by client
// account.
func (s *State) ActivePrograms(period time.Duration) map[string][]string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	oldest := s.nowMs - period.Milliseconds()
	active := make(map[string][]string)
	for k, p := range s.programs {
		if p.expiresMs-programRetentionPeriod.Milliseconds() >= oldest {
			active[k.account] = append(active[k.account], k.id)
		}
	}
	return active
}

// Stats holds the numbers of stored records, for metrics.
type Stats struct {
	Programs int
	Turns    int
	Streams  int
	Outputs  int64 // bytes of the recorded events of streams
	Bytes    int64 // of the input and output of the turns
	Memory   int64 // the part of Bytes that is in memory
	Large    int64 // the part of Bytes of large bodies, which are on disk even beyond its limit
	Unknown  int   // commands and snapshot records whose kind only later builds know
}

// Stats returns the current numbers of stored records.
func (s *State) Stats() Stats {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return Stats{
		Programs: len(s.programs), Turns: len(s.turns), Streams: len(s.streams.byCall), Outputs: s.outputs.bytes,
		Bytes: s.turnBytes, Memory: s.memoryBytes, Large: s.largeBytes, Unknown: s.unknown,
	}
}
