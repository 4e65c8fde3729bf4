package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"
)

// Outcome is the result of one program, its sub-agents included.
type Outcome struct {
	Calls        int           // answered calls
	Requests     int           // requests sent for the answered calls
	PromptTokens int64         // of all answered model calls
	WastedTokens int64         // prompt tokens that earlier calls had covered and engines computed again
	PauseTime    time.Duration // total of the pauses between calls; of parallel sub-agents, the longest total
	Err          error         // nil if the program finished
}

// addSubAgent adds the outcome of a sub-agent, except for its pauses, which
// overlap with those of others.
func (o *Outcome) addSubAgent(sub Outcome) {
	o.Calls += sub.Calls
	o.Requests += sub.Requests
	o.PromptTokens += sub.PromptTokens
	o.WastedTokens += sub.WastedTokens
	o.Err = errors.Join(o.Err, sub.Err)
}

// Observer is notified of each answer to a program. Its methods must be safe for
// concurrent use, since sub-agents run in parallel. An error ends the program.
type Observer interface {
	// OnModelAnswer is called with the answer to a model call and the complete
	// history that precedes it.
	OnModelAnswer(header Header, history []Message, maxTokens int, answer *Answer) error
	// OnServiceAnswer is called with the answer to a service call.
	OnServiceAnswer(call ServiceCall, answer *ServiceAnswer) error
}

// Program runs the steps of one program. It is used once.
type Program struct {
	Client     *Client
	Name       string
	Parent     string // name of the parent program of a sub-agent; else empty
	Model      string
	Steps      []Step
	PauseScale float64  // factor applied to the pauses of the steps
	Observer   Observer // may be nil

	history        []Message
	previousTokens int64 // tokens of the history, up to the last answer
	sequence       int   // number of calls made
	subAgents      int   // number of sub-agents started
	outcome        Outcome
}

// Run runs the steps in order and then ends the program. It stops at the first
// error, which the outcome holds.
func (p *Program) Run(ctx context.Context) Outcome {
	for i, step := range p.Steps {
		if err := p.runStep(ctx, step); err != nil {
			p.outcome.Err = fmt.Errorf("program %s: step %d: %w", p.Name, i+1, err)
			return p.outcome
		}
	}
	if err := p.Client.EndProgram(ctx, p.Name); err != nil {
		p.outcome.Err = err
	}
	return p.outcome
}

func (p *Program) runStep(ctx context.Context, step Step) error {
	pause := time.Duration(float64(step.Pause) * p.PauseScale)
	p.outcome.PauseTime += pause
	if pause > 0 && !sleep(ctx, pause) {
		return context.Cause(ctx)
	}
	switch {
	case len(step.SubAgents) > 0:
		return p.runSubAgents(ctx, step.SubAgents)
	case step.Service != "":
		return p.callService(ctx, step)
	default:
		return p.callModel(ctx, step)
	}
}

// nextHeader returns the header of the program's next call.
func (p *Program) nextHeader() Header {
	p.sequence++
	return Header{
		Program:       p.Name,
		CallID:        fmt.Sprintf("%s-%d", p.Name, p.sequence),
		Sequence:      p.sequence,
		ParentProgram: p.Parent,
	}
}

func (p *Program) callModel(ctx context.Context, step Step) error {
	message := Message{Role: "user", Content: step.Message}
	call := ModelCall{Header: p.nextHeader(), Model: p.Model, Messages: []Message{message}, MaxTokens: step.MaxTokens}
	answer, err := p.Client.CallModel(ctx, call)
	if err != nil {
		return err
	}
	p.history = append(p.history, message)
	p.recordAnswer(answer)
	if p.Observer != nil {
		if err := p.Observer.OnModelAnswer(call.Header, p.history, step.MaxTokens, answer); err != nil {
			return err
		}
	}
	p.history = append(p.history, Message{Role: "assistant", Content: answer.Text})
	return nil
}

// recordAnswer adds the answer to a model call to the outcome. Tokens of the
// previous history that the engine didn't find in its cache count as wasted.
func (p *Program) recordAnswer(answer *Answer) {
	p.outcome.Calls++
	p.outcome.Requests += answer.Requests
	p.outcome.PromptTokens += answer.Usage.PromptTokens
	p.outcome.WastedTokens += max(0, p.previousTokens-answer.Usage.Details.CachedTokens)
	p.previousTokens = answer.Usage.PromptTokens + answer.Usage.CompletionTokens
}

func (p *Program) callService(ctx context.Context, step Step) error {
	call := ServiceCall{
		Header:    p.nextHeader(),
		Service:   step.Service,
		Operation: step.Operation,
		Body:      json.RawMessage(step.Body),
	}
	answer, err := p.Client.CallService(ctx, call)
	if err != nil {
		return err
	}
	p.outcome.Calls++
	p.outcome.Requests += answer.Requests
	if p.Observer == nil {
		return nil
	}
	return p.Observer.OnServiceAnswer(call, answer)
}

// runSubAgents runs sub-agents in parallel and waits for all of them.
func (p *Program) runSubAgents(ctx context.Context, subAgents [][]Step) error {
	outcomes := make([]Outcome, len(subAgents))
	var wg sync.WaitGroup
	for i, steps := range subAgents {
		sub := p.newSubAgent(steps)
		wg.Go(func() { outcomes[i] = sub.Run(ctx) })
	}
	wg.Wait()
	longest := time.Duration(0)
	for _, outcome := range outcomes {
		p.outcome.addSubAgent(outcome)
		longest = max(longest, outcome.PauseTime)
	}
	p.outcome.PauseTime += longest
	return p.outcome.Err
}

func (p *Program) newSubAgent(steps []Step) *Program {
	p.subAgents++
	return &Program{
		Client:     p.Client,
		Name:       fmt.Sprintf("%s-sub%d", p.Name, p.subAgents),
		Parent:     p.Name,
		Model:      p.Model,
		Steps:      steps,
		PauseScale: p.PauseScale,
		Observer:   p.Observer,
	}
}
