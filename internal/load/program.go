package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"
)

// Outcome is what one program did.
type Outcome struct {
	Calls        int           // calls that were answered
	Requests     int           // requests sent for them
	PromptTokens int64         // of all model calls
	WastedTokens int64         // prompt tokens computed again although the program had computed them
	PauseTime    time.Duration // pauses of the program itself
	Err          error         // nil when the program finished
}

// add joins the outcome of a sub-agent, but for its pauses.
func (o *Outcome) add(sub Outcome) {
	o.Calls += sub.Calls
	o.Requests += sub.Requests
	o.PromptTokens += sub.PromptTokens
	o.WastedTokens += sub.WastedTokens
	o.Err = errors.Join(o.Err, sub.Err)
}

// Observer is told of each answer of a program. Its methods may be called by
// several sub-agents at once. An error of a method ends the program.
type Observer interface {
	// OnModelAnswer is told of an answer with all messages that precede it.
	OnModelAnswer(header Header, history []Message, maxTokens int, answer *Answer) error
	// OnServiceAnswer is told of the answer of a plain service.
	OnServiceAnswer(call ServiceCall, answer *ServiceAnswer) error
}

// Program runs the steps of one program.
type Program struct {
	Client     *Client
	Name       string
	Parent     string
	Model      string
	Steps      []Step
	PauseScale float64  // factor on the pauses of the steps
	Observer   Observer // may be nil

	history   []Message
	previous  int64 // tokens of the history at the last answer
	sequence  int
	subAgents int
	outcome   Outcome
}

// Run makes the calls of the program in order and ends it. The outcome holds
// the first error.
func (p *Program) Run(ctx context.Context) Outcome {
	for i, step := range p.Steps {
		if err := p.step(ctx, step); err != nil {
			p.outcome.Err = fmt.Errorf("program %s: step %d: %w", p.Name, i+1, err)
			return p.outcome
		}
	}
	if err := p.Client.EndProgram(ctx, p.Name); err != nil {
		p.outcome.Err = err
	}
	return p.outcome
}

func (p *Program) step(ctx context.Context, step Step) error {
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

// header returns the header of the program's next call.
func (p *Program) header() Header {
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
	call := ModelCall{Header: p.header(), Model: p.Model, Messages: []Message{message}, MaxTokens: step.MaxTokens}
	answer, err := p.Client.CallModel(ctx, call)
	if err != nil {
		return err
	}
	p.history = append(p.history, message)
	p.count(answer)
	if p.Observer != nil {
		if err := p.Observer.OnModelAnswer(call.Header, p.history, step.MaxTokens, answer); err != nil {
			return err
		}
	}
	p.history = append(p.history, Message{Role: "assistant", Content: answer.Text})
	return nil
}

// count adds an answer to the outcome. What the program had sent or received
// before and the engine did not find in its cache is wasted.
func (p *Program) count(answer *Answer) {
	p.outcome.Calls++
	p.outcome.Requests += answer.Requests
	p.outcome.PromptTokens += answer.Usage.PromptTokens
	p.outcome.WastedTokens += max(0, p.previous-answer.Usage.Details.CachedTokens)
	p.previous = answer.Usage.PromptTokens + answer.Usage.CompletionTokens
}

func (p *Program) callService(ctx context.Context, step Step) error {
	call := ServiceCall{
		Header:    p.header(),
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

// runSubAgents runs programs side by side and waits for all of them.
func (p *Program) runSubAgents(ctx context.Context, agents [][]Step) error {
	outcomes := make([]Outcome, len(agents))
	var wg sync.WaitGroup
	for i, steps := range agents {
		sub := p.subAgent(steps)
		wg.Go(func() { outcomes[i] = sub.Run(ctx) })
	}
	wg.Wait()
	longest := time.Duration(0)
	for _, outcome := range outcomes {
		p.outcome.add(outcome)
		longest = max(longest, outcome.PauseTime)
	}
	p.outcome.PauseTime += longest
	return p.outcome.Err
}

func (p *Program) subAgent(steps []Step) *Program {
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
