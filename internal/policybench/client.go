package main

import (
	"fmt"
	"time"

	"ibistray.example/ibistray/internal/policy/retry"
)

const (
	// patience is how long a caller comes back with a call that is refused.
	patience = 5 * time.Minute
	// comeBackJitter spreads callers that come back, as a share of the hint.
	comeBackJitter = 0.5
	// toolTimeout ends the wait for a plain service.
	toolTimeout = 15 * time.Second
)

// client runs one program: it makes the calls in order and pauses for tools.
type client struct {
	sys          *system
	program      *program
	parent       *client
	next         int // turn
	history      int64
	attained     int64 // tokens served
	children     int   // that run
	first        time.Duration
	asked        time.Duration // when the current call was first made
	pausedAt     time.Duration
	pausedFor    string // tool of the last pause, until it is learnt
	cachedOn     string
	cachedTokens int64
	ended        bool // the system was told of the program's end
	gone         bool // ended, failed or abandoned
	record       *record
}

// startProgram starts a program, or a child of one, now.
func (s *system) startProgram(p *program, parent *client) {
	p.id = fmt.Sprintf("%s/%d", p.customer.name, len(s.clients))
	cl := &client{sys: s, program: p, parent: parent, first: s.sim.now}
	s.clients[p.id] = cl
	if parent == nil {
		cl.record = s.metrics.begin(p, s.sim.now)
	} else {
		cl.record = parent.record
	}
	cl.ask()
}

// ask makes the next call for the first time.
func (cl *client) ask() {
	cl.asked = cl.sys.sim.now
	cl.submit()
}

// submit sends the current call through any entry.
func (cl *client) submit() {
	if cl.gone {
		return
	}
	s := cl.sys
	t := cl.program.turns[cl.next]
	c := &call{
		client:   cl,
		entry:    s.entries[s.rng.IntN(len(s.entries))],
		index:    cl.next,
		prompt:   cl.history + t.input,
		newInput: t.input,
		output:   t.output,
		started:  s.sim.now,
		deadline: s.sim.now + cl.program.kind.timeout,
	}
	s.metrics.calls++
	if c.entry.budget != nil {
		c.entry.budget.RecordFirstAttempt()
	}
	c.entry.dispatch(c)
}

// refused handles the final answer to a call that failed. The caller comes back
// when the answer says so, as long as its patience lasts.
func (cl *client) refused(f retry.Failure, d retry.Decision) {
	s := cl.sys
	s.metrics.stops[string(d.Stop)]++
	comesBack := s.faults.outage.length == 0 && f.RetryAfter > 0
	if comesBack && s.sim.now+f.RetryAfter < cl.asked+patience {
		delay := float64(f.RetryAfter) * (1 + comeBackJitter*s.rng.Float64())
		s.sim.after(time.Duration(delay), cl.submit)
		return
	}
	cl.fail()
}

// fail ends the whole program without an answer.
func (cl *client) fail() {
	if cl.gone {
		return
	}
	cl.end()
	if cl.parent != nil {
		cl.parent.fail()
		return
	}
	cl.sys.metrics.fail(cl.record, cl.sys.sim.now)
}

func (cl *client) end() {
	cl.gone, cl.ended = true, true
}

// answered handles the answer to a call.
func (cl *client) answered(c *call) {
	s := cl.sys
	t := cl.program.turns[cl.next]
	cl.history = c.prompt + c.output
	cl.attained += c.newInput + c.output
	s.metrics.served(cl.record, s.sim.now, s.deploy.engine.idealSeconds(c.newInput, c.output))
	if cl.gone {
		return
	}
	if cl.program.stopAt == cl.next {
		cl.abandon()
		return
	}
	cl.next++
	if cl.next == len(cl.program.turns) {
		cl.finish()
		return
	}
	cl.pausedAt, cl.pausedFor = s.sim.now, t.tool.name
	if len(t.children) > 0 {
		cl.startChildren(t)
		return
	}
	cl.useTool(t)
}

// abandon leaves without a word.
func (cl *client) abandon() {
	cl.gone = true
	cl.pausedFor = cl.program.turns[cl.next].tool.name
	cl.sys.metrics.abandon(cl.record)
}

func (cl *client) finish() {
	cl.end()
	if cl.parent == nil {
		cl.sys.metrics.finish(cl.record, cl.sys.sim.now)
		return
	}
	cl.parent.children--
	if cl.parent.children == 0 && !cl.parent.gone {
		cl.parent.ask()
	}
}

func (cl *client) startChildren(t turn) {
	cl.children = len(t.children)
	cl.pausedFor = "sub-agent"
	for _, child := range t.children {
		p := *child
		cl.sys.startProgram(&p, cl)
	}
}

func (cl *client) useTool(t turn) {
	if !t.tool.service {
		cl.sys.sim.after(t.pause, cl.ask)
		return
	}
	cl.sys.services.call(t.pause, cl.ask)
}
