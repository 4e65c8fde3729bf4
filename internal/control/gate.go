package control

import (
	"context"
	"slices"
	"sync"
)

type programID struct {
	customer string
	program  string
}

// gate orders the calls of one program that wait on this leader. Only the first
// in line proposes; the others wait without cost to the log.
type gate struct {
	mu    sync.Mutex
	lines map[programID]*line
}

// line is the waiting calls of one program, first to go first.
type line struct {
	turns   []*turn
	changed chan struct{} // closed and replaced when the first one changes
}

// turn is one waiting call.
type turn struct {
	gate     *gate
	program  programID
	line     *line
	sequence uint64 // 0: after the calls that arrived before
}

func newGate() *gate {
	return &gate{lines: make(map[programID]*line)}
}

// join adds a call to the line of its program. Calls with a sequence number go
// before those with a higher one; the others keep their order of arrival.
func (g *gate) join(customer, program string, sequence uint64) *turn {
	g.mu.Lock()
	defer g.mu.Unlock()
	id := programID{customer: customer, program: program}
	l := g.lines[id]
	if l == nil {
		l = &line{changed: make(chan struct{})}
		g.lines[id] = l
	}
	t := &turn{gate: g, program: id, line: l, sequence: sequence}
	l.insert(t)
	return t
}

func (l *line) insert(t *turn) {
	at := len(l.turns)
	if t.sequence != 0 {
		later := slices.IndexFunc(l.turns, func(other *turn) bool { return other.sequence > t.sequence })
		if later >= 0 {
			at = later
		}
	}
	l.turns = slices.Insert(l.turns, at, t)
	l.wake()
}

func (l *line) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// wait returns true when the call is the first in line, false when the context
// ended before.
func (t *turn) wait(ctx context.Context) bool {
	for {
		first, changed := t.position()
		if first {
			return ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// waitFor waits until the program changed or the line did. It returns false
// when the context ended before.
func (t *turn) waitFor(ctx context.Context, programChanged <-chan struct{}) bool {
	_, lineChanged := t.position()
	select {
	case <-programChanged:
	case <-lineChanged:
	case <-ctx.Done():
		return false
	}
	return true
}

func (t *turn) position() (first bool, changed <-chan struct{}) {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	return t.line.turns[0] == t, t.line.changed
}

// leave takes the call out of the line.
func (t *turn) leave() {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	l := t.line
	l.turns = slices.DeleteFunc(l.turns, func(other *turn) bool { return other == t })
	l.wake()
	if len(l.turns) == 0 {
		delete(t.gate.lines, t.program)
	}
}
