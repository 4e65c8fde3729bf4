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
	// sequenceBeforeBooking is the berth plan's call before its booking.
	sequenceBeforeBooking = 4
	longPause             = 400 * time.Millisecond
	shortPause            = 100 * time.Millisecond
)

// user is one program and the client that runs it.
type user struct {
	customer string
	name     string
	model    string
	sticky   bool // all calls go to one entry while it answers
	steps    []load.Step
}

// users returns the programs of both customers.
func users() []user {
	random := rand.New(rand.NewPCG(1, 0))
	all := []user{
		{customerRepair, programQuote, "quote-70b", false, quoteSteps(random)},
		{customerWharf, programPlan, "berth-plan-70b", true, load.GenerateSteps(load.KindBerthPlan, programPlan, random)},
		{customerWharf, programShipping, "shipping-agent-70b", false, turns(random, load.KindShipping, shippingTurns, shortPause)},
	}
	for i := range diagnosisCount {
		name := fmt.Sprintf("diagnosis-%d", i+1)
		all = append(all, user{customerRepair, name, "diagnosis-70b", false, load.GenerateSteps(load.KindDiagnosis, name, random)})
	}
	return all
}

// turns returns the first model calls of a conversation with equal pauses.
func turns(random *rand.Rand, kind load.Kind, n int, pause time.Duration) []load.Step {
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

// quoteSteps is a quote conversation that ends with a parts request and a job
// ticket, which may not be repeated.
func quoteSteps(random *rand.Rand) []load.Step {
	job := fmt.Sprintf(`{"job":%q,"hose":"R12-16","quantity":2}`, programQuote)
	steps := turns(random, load.KindQuote, quoteTurns, longPause)
	return append(steps,
		load.Step{Service: load.ServiceStock, Operation: load.OperationLookup, Body: job},
		load.Step{Service: load.ServiceStock, Operation: load.OperationRequestParts, Body: job},
		load.Step{Service: load.ServiceTickets, Operation: load.OperationCreate, Body: job},
	)
}

// result is the outcome of one program.
type result struct {
	user    user
	latency time.Duration // from its first call to its last answer
	outcome load.Outcome
}

// run runs the program to its end.
func (u user) run(ctx context.Context, bases []string, book *ledger) result {
	client, err := load.NewClient(load.ClientConfig{
		BaseURLs: bases,
		Key:      "ik_" + u.customer + keySuffix,
		Sticky:   u.sticky,
		OnRetry:  book.retry,
	})
	if err != nil {
		return result{user: u, outcome: load.Outcome{Err: err}}
	}
	defer client.Close()
	program := &load.Program{
		Client:     client,
		Name:       u.name,
		Model:      u.model,
		Steps:      u.steps,
		PauseScale: 1,
		Observer:   book,
	}
	began := time.Now()
	outcome := program.Run(ctx)
	return result{user: u, latency: time.Since(began), outcome: outcome}
}
