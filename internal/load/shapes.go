package load

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind names the shape of a program.
type Kind string

// Kinds of programs.
const (
	KindDiagnosis Kind = "diagnosis" // one question about a failed part
	KindQuote     Kind = "quote"     // a conversation until the price is agreed
	KindShipping  Kind = "shipping"  // a long conversation with a shipping agent
	KindBerthPlan Kind = "berth-plan"
)

// Kinds returns all kinds of programs.
func Kinds() []Kind {
	return []Kind{KindDiagnosis, KindQuote, KindShipping, KindBerthPlan}
}

// Step is one step of a program: a model call, a service call or sub-agents,
// after a pause.
type Step struct {
	Pause     time.Duration // time that a tool or a person takes before the step
	Message   string        // model call: the new message
	MaxTokens int           // model call
	Service   string        // service call
	Operation string        // service call
	Body      string        // service call, JSON
	SubAgents [][]Step      // programs that run side by side before the next step
}

// Services and operations that the programs call, as in the example contracts.
const (
	ServiceBerths         = "berths"
	ServiceManifests      = "manifests"
	ServiceStock          = "stock"
	ServiceTickets        = "tickets"
	OperationBook         = "book"          // may not be repeated
	OperationCreate       = "create"        // may not be repeated
	OperationRequestParts = "request-parts" // may not be repeated
	OperationLookup       = "lookup"        // may be repeated
)

const (
	minQuoteTurns    = 6
	maxQuoteTurns    = 20
	minShippingTurns = 20
	maxShippingTurns = 65
	planSubAgents    = 3
	subAgentTurns    = 2
	longestToolPause = 2 * time.Second
	shortAnswer      = 48  // tokens
	longAnswer       = 160 // tokens
	shortMessage     = 30  // words
	longMessage      = 120 // words
)

// GenerateSteps returns the steps of one program. Equal random sources give equal
// programs. The name makes bookings recognisable.
func GenerateSteps(kind Kind, name string, random *rand.Rand) []Step {
	switch kind {
	case KindQuote:
		return quote(name, random)
	case KindShipping:
		return conversation(random, between(random, minShippingTurns, maxShippingTurns), longMessage, longAnswer)
	case KindBerthPlan:
		return berthPlan(name, random)
	default:
		return []Step{{Message: sentence(random, longMessage), MaxTokens: longAnswer}}
	}
}

func between(random *rand.Rand, least, most int) int {
	return least + random.IntN(most-least+1)
}

// conversation returns turns with a pause before each but the first.
func conversation(random *rand.Rand, turns, words, maxTokens int) []Step {
	steps := make([]Step, turns)
	for i := range steps {
		steps[i] = Step{Message: sentence(random, words), MaxTokens: maxTokens}
		if i > 0 {
			steps[i].Pause = time.Duration(random.Int64N(int64(longestToolPause)))
		}
	}
	return steps
}

// quote is a conversation with a look at the stock in its middle; it ends with
// a parts request and a job ticket.
func quote(name string, random *rand.Rand) []Step {
	turns := between(random, minQuoteTurns, maxQuoteTurns)
	steps := conversation(random, turns, shortMessage, shortAnswer)
	lookup := Step{Service: ServiceStock, Operation: OperationLookup, Body: jobBody(name)}
	steps = slices.Insert(steps, turns/2, lookup)
	return append(steps,
		Step{Service: ServiceStock, Operation: OperationRequestParts, Body: jobBody(name)},
		Step{Service: ServiceTickets, Operation: OperationCreate, Body: jobBody(name)},
	)
}

func jobBody(name string) string {
	return fmt.Sprintf(`{"job":%q,"hose":"R12-16","quantity":2}`, name)
}

// berthPlan drafts a plan with sub-agents, looks up, books once and reports.
func berthPlan(name string, random *rand.Rand) []Step {
	agents := make([][]Step, planSubAgents)
	for i := range agents {
		agents[i] = conversation(random, subAgentTurns, shortMessage, shortAnswer)
	}
	return []Step{
		{Message: sentence(random, longMessage), MaxTokens: longAnswer},
		{SubAgents: agents},
		{Message: sentence(random, shortMessage), MaxTokens: longAnswer},
		{Service: ServiceManifests, Operation: OperationLookup, Body: bookingBody(name)},
		{Message: sentence(random, shortMessage), MaxTokens: shortAnswer},
		{Service: ServiceBerths, Operation: OperationBook, Body: bookingBody(name)},
		{Message: sentence(random, shortMessage), MaxTokens: shortAnswer},
	}
}

func bookingBody(name string) string {
	return fmt.Sprintf(`{"berth":3,"convoy":%q}`, name)
}

// sentence returns a text of the given number of words.
func sentence(random *rand.Rand, words int) string {
	parts := make([]string, words)
	for i := range parts {
		parts[i] = messageWords[random.IntN(len(messageWords))]
	}
	return strings.Join(parts, " ")
}

var messageWords = [...]string{
	"excavator", "boom", "hose", "leaks", "at", "the", "crimp", "port", "crane",
	"barge", "draft", "tide", "window", "crew", "price", "agreed", "please", "check",
}
