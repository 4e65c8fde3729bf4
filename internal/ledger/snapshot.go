package ledger

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"

	"google.golang.org/protobuf/encoding/protodelim"

	"ibistray.example/ibistray/proto/ledgerpb"
)

// maxRecordBytes limits one snapshot record. The largest records are turns, with
// their input and output.
const maxRecordBytes = 64 << 20

// ErrInvalidSnapshot is returned by Restore when a snapshot is damaged.
var ErrInvalidSnapshot = errors.New("ledger: invalid snapshot")

// Snapshot implements replica.StateMachine. Each turn is written after the turn
// that it continues from.
func (s *State) Snapshot(w io.Writer) error { return s.CaptureSnapshot()(w) }

// CaptureSnapshot implements replica.SnapshotCapturer. The bodies of turns, which are most of a
// snapshot, never change and are not copied.
func (s *State) CaptureSnapshot() func(io.Writer) error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	c := &capture{nowMs: s.nowMs, streams: maps.Clone(s.streams.byCall), outputs: make(map[key]*ledgerpb.StreamOutput, len(s.outputs.byOrigin))}
	for k, out := range s.outputs.byOrigin {
		c.outputs[k] = out.record(k)
	}
	for k, p := range s.programs {
		c.programs = append(c.programs, p.record(k))
	}
	captured := make(map[*turn]bool, len(s.turns))
	for _, k := range sortedKeys(s.turns) {
		c.turns = s.captureChain(c.turns, s.turns[k], captured)
	}
	return c.write
}

// capture is a copy of the state at one index of the log.
type capture struct {
	nowMs    int64
	programs []*ledgerpb.Program
	streams  map[key]stream
	outputs  map[key]*ledgerpb.StreamOutput
	turns    []capturedTurn // each after the turn that it continues from
}

type capturedTurn struct {
	turn      *turn
	expiresMs int64
	// hidden marks a turn that is no longer stored under its ID: it belongs to a chain, but no
	// new turn can continue from it.
	hidden bool
}

// captureChain appends the ancestors of a turn that are not yet captured, then the turn itself.
func (s *State) captureChain(list []capturedTurn, last *turn, captured map[*turn]bool) []capturedTurn {
	first := len(list)
	for t := last; t != nil && !captured[t]; t = t.previous {
		list = append(list, capturedTurn{turn: t, expiresMs: t.expiresMs, hidden: s.turns[t.key] != t})
		captured[t] = true
	}
	slices.Reverse(list[first:])
	return list
}

// write writes the captured state to w.
func (c *capture) write(w io.Writer) error {
	buffered := bufio.NewWriter(w)
	if err := writeRecord(buffered, &ledgerpb.Record{NowMs: c.nowMs}); err != nil {
		return err
	}
	slices.SortFunc(c.programs, func(a, b *ledgerpb.Program) int {
		return compareKeys(key{a.Account, a.Id}, key{b.Account, b.Id})
	})
	for _, p := range c.programs {
		slices.Sort(p.Done)
		if err := writeRecord(buffered, &ledgerpb.Record{Program: p}); err != nil {
			return err
		}
	}
	for _, k := range sortedKeys(c.streams) {
		// Builds that do not know streams or outputs take the record for one of the time stamp.
		if err := writeRecord(buffered, &ledgerpb.Record{NowMs: c.nowMs, Stream: c.streams[k].record(k)}); err != nil {
			return err
		}
	}
	for _, k := range sortedKeys(c.outputs) {
		if err := writeRecord(buffered, &ledgerpb.Record{NowMs: c.nowMs, Output: c.outputs[k]}); err != nil {
			return err
		}
	}
	for _, t := range c.turns {
		record, err := t.record()
		if err != nil {
			return err
		}
		if err := writeRecord(buffered, &ledgerpb.Record{Turn: record}); err != nil {
			return err
		}
	}
	return buffered.Flush()
}

func (c capturedTurn) record() (*ledgerpb.Turn, error) {
	t := c.turn
	input, output, err := t.body.read()
	if err != nil {
		return nil, fmt.Errorf("ledger: write snapshot: turn %q: %w", t.key.id, err)
	}
	record := &ledgerpb.Turn{Account: t.key.account, Id: t.key.id, Input: input, Output: output, Server: t.server, ExpiresMs: c.expiresMs, Hidden: c.hidden}
	if t.previous != nil {
		record.Previous = t.previous.key.id
	}
	return record, nil
}

func sortedKeys[V any](records map[key]V) []key {
	return slices.SortedFunc(maps.Keys(records), compareKeys)
}

func writeRecord(w io.Writer, record *ledgerpb.Record) error {
	if _, err := protodelim.MarshalTo(w, record); err != nil {
		return fmt.Errorf("ledger: write snapshot: %w", err)
	}
	return nil
}

// record returns a copy of the program. Done is not sorted.
func (p *program) record(k key) *ledgerpb.Program {
	return &ledgerpb.Program{
		Account:     k.account,
		Id:          k.id,
		TokenBudget: p.budget,
		Settled:     p.settledTokens,
		Open:        maps.Clone(p.reservations),
		Done:        slices.Collect(maps.Keys(p.settledCalls)),
		ExpiresMs:   p.expiresMs,
	}
}

// Restore implements replica.StateMachine. The state is unchanged after an
// error, which wraps ErrInvalidSnapshot.
func (s *State) Restore(r io.Reader) error {
	restored, err := s.readSnapshot(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.bodies.memory.Add(-restored.memoryBytes)
		return err
	}
	s.bodies.memory.Add(-s.memoryBytes)
	s.nowMs, s.lastExpiryMs = restored.nowMs, restored.nowMs
	s.programs, s.turns = restored.programs, restored.turns
	s.turnBytes, s.memoryBytes, s.largeBytes = restored.turnBytes, restored.memoryBytes, restored.largeBytes
	s.streams, s.outputs = restored.streams, restored.outputs
	s.unknown += restored.unknown
	return nil
}

// readSnapshot returns the state in a snapshot. It uses the bodies of this state, which exists
// until all of the snapshot has been read. After an error the state is incomplete.
func (s *State) readSnapshot(r io.Reader) (*State, error) {
	restore := restore{State: newState(s.bodies), replaced: s, hidden: make(map[key]*turn)}
	buffered := bufio.NewReader(r)
	options := protodelim.UnmarshalOptions{MaxSize: maxRecordBytes}
	for {
		record := new(ledgerpb.Record)
		err := options.UnmarshalFrom(buffered, record)
		if errors.Is(err, io.EOF) {
			return restore.State, nil
		}
		if err != nil {
			return restore.State, fmt.Errorf("%w: %w", ErrInvalidSnapshot, err)
		}
		if err := restore.addRecord(record); err != nil {
			return restore.State, err
		}
	}
}

// restore is a state that is being read from a snapshot.
type restore struct {
	*State
	replaced *State
	hidden   map[key]*turn // turns that are not stored under their IDs
}

// addRecord adds one snapshot record to the state.
func (s *restore) addRecord(record *ledgerpb.Record) error {
	switch {
	case record.Program != nil:
		s.programs[key{record.Program.Account, record.Program.Id}] = restoreProgram(record.Program)
	case record.Turn != nil:
		return s.addTurn(record.Turn)
	case record.Stream != nil:
		s.streams.put(key{record.Stream.Account, record.Stream.CallId}, restoreStream(record.Stream))
	case record.Output != nil:
		s.outputs.put(key{record.Output.Account, record.Output.Origin}, restoreOutput(record.Output))
	case record.NowMs != 0:
		s.nowMs = record.NowMs
	default:
		s.unknown++
	}
	return nil
}

func restoreProgram(record *ledgerpb.Program) *program {
	p := &program{
		budget:        record.TokenBudget,
		settledTokens: record.Settled,
		reservations:  make(map[string]uint64, len(record.Open)),
		settledCalls:  make(map[string]struct{}, len(record.Done)),
		expiresMs:     record.ExpiresMs,
	}
	for id, tokens := range record.Open {
		p.reservations[id] = tokens
		p.reservedTokens += tokens
	}
	for _, id := range record.Done {
		p.settledCalls[id] = struct{}{}
	}
	return p
}

func (s *restore) addTurn(record *ledgerpb.Turn) error {
	t := &turn{
		key:       key{record.Account, record.Id},
		body:      s.body(record),
		server:    record.Server,
		expiresMs: record.ExpiresMs,
	}
	if record.Previous != "" {
		previous := key{record.Account, record.Previous}
		t.previous = s.turns[previous]
		if t.previous == nil {
			t.previous = s.hidden[previous]
		}
		if t.previous == nil {
			return fmt.Errorf("%w: turn %q continues from turn %q, which is missing", ErrInvalidSnapshot, record.Id, record.Previous)
		}
	}
	if record.Hidden {
		s.hidden[t.key] = t
		return nil
	}
	s.putTurn(t)
	return nil
}

// body returns the body of a turn, that of the replaced state if it has the same.
func (s *restore) body(record *ledgerpb.Turn) body {
	s.replaced.mu.RLock()
	known := s.replaced.turns[key{record.Account, record.Id}]
	s.replaced.mu.RUnlock()
	if known != nil && known.body.holds(record.Input, record.Output) {
		return known.body
	}
	return s.bodies.keep(record.Input, record.Output)
}
