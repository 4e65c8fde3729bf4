package main

import (
	"fmt"
	"time"

	"ibistray.example/ibistray/internal/policy/retry"
)

const (
	// refusalResendPeriod is how long a caller resends a refused call, counted from
	// the first time that it sent the call.
	refusalResendPeriod = 5 * time.Minute
	// retryAfterJitter limits the random delay that is added to a retry-after hint,
	// as a share of the hint.
	retryAfterJitter = 0.5
	// toolTimeout limits the wait for a response of a plain service.
	toolTimeout = 15 * time.Second
)

// client runs one program: it sends its calls in order and waits for a tool between
// two calls.
type client struct {
	sys             *system
	program         *program
	parent          *client
	nextTurn        int   // index of the current call in program.turns
	historyTokens   int64 // prompt and output of the last answered call
	attainedTokens  int64 // new input and output of all answered calls
	runningChildren int
	startedAt       time.Duration
	firstSentAt     time.Duration // of the current call
	pausedAt        time.Duration
	pauseTool       string // tool of the last pause; empty once the pause is recorded
	cachedOn        string // server that holds the prefix, as the entries know it
	cachedTokens    int64
	ended           bool // the end of the program was reported to the system
	stopped         bool // ended, failed or abandoned
	record          *programRecord
}

// startProgram starts a program now. For a child, parent is the program that waits
// for it, otherwise nil.
func (s *system) startProgram(p *program, parent *client) {
	p.id = fmt.Sprintf("%s/%d", p.customer.name, len(s.clients))
	cl := &client{sys: s, program: p, parent: parent, startedAt: s.sim.now}
	s.clients[p.id] = cl
	if parent == nil {
		cl.record = s.metrics.recordStart(p, s.sim.now)
	} else {
		cl.record = parent.record
	}
	cl.startCall()
}

// startCall sends the next call for the first time.
func (cl *client) startCall() {
	cl.firstSentAt = cl.sys.sim.now
	cl.sendCall()
}

// sendCall sends the current call, or sends it again, through a random entry.
func (cl *client) sendCall() {
	if cl.stopped {
		return
	}
	s := cl.sys
	t := cl.program.turns[cl.nextTurn]
	c := &call{
		client:       cl,
		entry:        s.entries[s.rng.IntN(len(s.entries))],
		turn:         cl.nextTurn,
		promptTokens: cl.historyTokens + t.inputTokens,
		newTokens:    t.inputTokens,
		outputTokens: t.outputTokens,
		started:      s.sim.now,
		deadline:     s.sim.now + cl.program.kind.timeout,
	}
	s.metrics.calls++
	if c.entry.retryBudget != nil {
		c.entry.retryBudget.RecordFirstAttempt()
	}
	c.entry.dispatch(c)
}

// handleFailure handles the final failure of a call. If the response has a retry-after
// hint, the caller follows it until refusalResendPeriod has passed. In runs with an
// outage it never does.
func (cl *client) handleFailure(f retry.Failure, d retry.Decision) {
	s := cl.sys
	s.metrics.retryStops[string(d.Stop)]++
	resend := s.faults.outage.duration == 0 && f.RetryAfter > 0
	if resend && s.sim.now+f.RetryAfter < cl.firstSentAt+refusalResendPeriod {
		delay := float64(f.RetryAfter) * (1 + retryAfterJitter*s.rng.Float64())
		s.sim.after(time.Duration(delay), cl.sendCall)
		return
	}
	cl.fail()
}

// fail marks the program as failed. The failure of a child fails its parent.
func (cl *client) fail() {
	if cl.stopped {
		return
	}
	cl.end()
	if cl.parent != nil {
		cl.parent.fail()
		return
	}
	cl.sys.metrics.recordFailure(cl.record, cl.sys.sim.now)
}

// end stops the program and reports its end to the system.
func (cl *client) end() {
	cl.stopped, cl.ended = true, true
}

// handleAnswer records the answer to a call and continues the program: with the
// children of the turn, or its tool, before the next call.
func (cl *client) handleAnswer(c *call) {
	s := cl.sys
	t := cl.program.turns[cl.nextTurn]
	cl.historyTokens = c.promptTokens + c.outputTokens
	cl.attainedTokens += c.newTokens + c.outputTokens
	s.metrics.recordServed(cl.record, s.sim.now, s.deployment.engine.idealSeconds(c.newTokens, c.outputTokens))
	if cl.stopped {
		return
	}
	if cl.program.abandonAfter == cl.nextTurn {
		cl.abandon()
		return
	}
	cl.nextTurn++
	if cl.nextTurn == len(cl.program.turns) {
		cl.finish()
		return
	}
	cl.pausedAt, cl.pauseTool = s.sim.now, t.tool.name
	if len(t.children) > 0 {
		cl.startChildren(t)
		return
	}
	cl.runTool(t)
}

// abandon stops the program without reporting its end.
func (cl *client) abandon() {
	cl.stopped = true
	cl.pauseTool = cl.program.turns[cl.nextTurn].tool.name
	cl.sys.metrics.recordAbandoned(cl.record)
}

// finish ends the program with success. The last child to finish continues its
// parent.
func (cl *client) finish() {
	cl.end()
	if cl.parent == nil {
		cl.sys.metrics.recordFinish(cl.record, cl.sys.sim.now)
		return
	}
	cl.parent.runningChildren--
	if cl.parent.runningChildren == 0 && !cl.parent.stopped {
		cl.parent.startCall()
	}
}

func (cl *client) startChildren(t turn) {
	cl.runningChildren = len(t.children)
	cl.pauseTool = "sub-agent"
	for _, child := range t.children {
		p := *child
		cl.sys.startProgram(&p, cl)
	}
}

func (cl *client) runTool(t turn) {
	if !t.tool.service {
		cl.sys.sim.after(t.pause, cl.startCall)
		return
	}
	cl.sys.services.call(t.pause, cl.startCall)
}
