package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"ibistray.example/ibistray/internal/load"
)

// Customers of the demo, as in examples/contracts.
const (
	customerRepair = "mangueras-volcan"
	customerWharf  = "transbordo-coatzacoalcos"
	keySuffix      = "_example0example0example0"
)

// Programs of the demo.
const (
	programQuote    = "quote-hacienda"
	programPlan     = "berth-plan-today"
	programShipping = "shipping-convoy-7"
	diagnosisCount  = 2
)

const (
	quoteTurns    = 8
	shippingTurns = 24
	answerTokens  = 96
	// sequenceBeforeBooking is the sequence number of the berth plan's last call before the
	// booking.
	sequenceBeforeBooking = 4
	longPause             = 400 * time.Millisecond
	shortPause            = 100 * time.Millisecond
)

// demoProgram is a program of a customer and the way in which its client sends calls.
type demoProgram struct {
	customer string
	name     string
	model    string
	sticky   bool // send all calls to one entry as long as it responds
	steps    []load.Step
}

// demoPrograms returns the programs of both customers. They are the same in each run.
func demoPrograms() []demoProgram {
	random := rand.New(rand.NewPCG(1, 0))
	programs := []demoProgram{
		{customerRepair, programQuote, "quote-70b", false, quoteSteps(random)},
		{customerWharf, programPlan, "berth-plan-70b", true, load.GenerateSteps(load.KindBerthPlan, programPlan, random)},
		{customerWharf, programShipping, "shipping-agent-70b", false, modelSteps(random, load.KindShipping, shippingTurns, shortPause)},
	}
	for i := range diagnosisCount {
		name := fmt.Sprintf("diagnosis-%d", i+1)
		programs = append(programs, demoProgram{customerRepair, name, "diagnosis-70b", false, load.GenerateSteps(load.KindDiagnosis, name, random)})
	}
	return programs
}

// modelSteps returns n model calls taken from conversations of a kind, each after the same
// pause.
func modelSteps(random *rand.Rand, kind load.Kind, n int, pause time.Duration) []load.Step {
	var steps []load.Step
	for len(steps) < n {
		for _, step := range load.GenerateSteps(kind, "", random) {
			if step.Message == "" || len(steps) == n {
				continue
			}
			steps = append(steps, load.Step{Pause: pause, Message: step.Message, MaxTokens: answerTokens})
		}
	}
	return steps
}

// quoteSteps returns a quote conversation that ends with a stock lookup, a parts request
// and the creation of a job ticket. The last two must not be repeated.
func quoteSteps(random *rand.Rand) []load.Step {
	job := fmt.Sprintf(`{"job":%q,"hose":"R12-16","quantity":2}`, programQuote)
	steps := modelSteps(random, load.KindQuote, quoteTurns, longPause)
	return append(steps,
		load.Step{Service: load.ServiceStock, Operation: load.OperationLookup, Body: job},
		load.Step{Service: load.ServiceStock, Operation: load.OperationRequestParts, Body: job},
		load.Step{Service: load.ServiceTickets, Operation: load.OperationCreate, Body: job},
	)
}

// result is the outcome of one program.
type result struct {
	program demoProgram
	latency time.Duration // from its first call to its last answer
	outcome load.Outcome
}

// run runs the program until it ends or fails.
func (p demoProgram) run(ctx context.Context, entryURLs []string, obs *observer) result {
	client, err := load.NewClient(load.ClientConfig{
		BaseURLs: entryURLs,
		Key:      "ik_" + p.customer + keySuffix,
		Sticky:   p.sticky,
		OnRetry:  obs.retry,
	})
	if err != nil {
		return result{program: p, outcome: load.Outcome{Err: err}}
	}
	defer client.Close()
	program := &load.Program{
		Client:     client,
		Name:       p.name,
		Model:      p.model,
		Steps:      p.steps,
		PauseScale: 1,
		Observer:   obs,
	}
	startTime := time.Now()
	outcome := program.Run(ctx)
	return result{program: p, latency: time.Since(startTime), outcome: outcome}
}
