package load

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is a kind of program, which determines its sequence of steps.
type Kind string

// Kinds of programs.
const (
	KindDiagnosis Kind = "diagnosis"  // a single model call about a failed part
	KindQuote     Kind = "quote"      // a conversation that ends in an order of parts
	KindShipping  Kind = "shipping"   // a long conversation with a shipping agent
	KindBerthPlan Kind = "berth-plan" // sub-agents draft a plan, a berth is booked
)

// Kinds returns all kinds of programs.
func Kinds() []Kind {
	return []Kind{KindDiagnosis, KindQuote, KindShipping, KindBerthPlan}
}

// Step is one step of a program: a pause, then a model call, a service call or a
// set of sub-agents.
type Step struct {
	Pause     time.Duration // time that a tool or a person takes before the call
	Message   string        // model call: the user's message
	MaxTokens int           // model call: limit of the answer
	Service   string        // service call: name of the service
	Operation string        // service call: operation of the service
	Body      string        // service call: JSON body
	SubAgents [][]Step      // steps of each sub-agent; the sub-agents run in parallel
}

// Services and operations that the programs call. The example contracts allow them
// and declare which operations are repeatable.
const (
	ServiceBerths         = "berths"
	ServiceManifests      = "manifests"
	ServiceStock          = "stock"
	ServiceTickets        = "tickets"
	OperationBook         = "book"          // not repeatable
	OperationCreate       = "create"        // not repeatable
	OperationRequestParts = "request-parts" // not repeatable
	OperationLookup       = "lookup"        // repeatable
)

const (
	minQuoteTurns      = 6
	maxQuoteTurns      = 20
	minShippingTurns   = 20
	maxShippingTurns   = 65
	berthPlanSubAgents = 3
	subAgentTurns      = 2
	maxToolPause       = 2 * time.Second
	shortAnswerTokens  = 48
	longAnswerTokens   = 160
	shortMessageWords  = 30
	longMessageWords   = 120
)

// GenerateSteps returns the steps of a program of the given kind. Random sources
// with equal states give equal steps. The name appears in the bodies of service
// calls, so that each effect can be traced to its program.
func GenerateSteps(kind Kind, name string, random *rand.Rand) []Step {
	switch kind {
	case KindQuote:
		return quoteSteps(name, random)
	case KindShipping:
		return conversationSteps(random, randomBetween(random, minShippingTurns, maxShippingTurns), longMessageWords, longAnswerTokens)
	case KindBerthPlan:
		return berthPlanSteps(name, random)
	default:
		return []Step{{Message: randomText(random, longMessageWords), MaxTokens: longAnswerTokens}}
	}
}

func randomBetween(random *rand.Rand, lowest, highest int) int {
	return lowest + random.IntN(highest-lowest+1)
}

// conversationSteps returns model calls with a random pause before each except the
// first.
func conversationSteps(random *rand.Rand, turns, words, maxTokens int) []Step {
	steps := make([]Step, turns)
	for i := range steps {
		steps[i] = Step{Message: randomText(random, words), MaxTokens: maxTokens}
		if i > 0 {
			steps[i].Pause = time.Duration(random.Int64N(int64(maxToolPause)))
		}
	}
	return steps
}

// quoteSteps returns a conversation with a stock lookup in the middle, followed by a
// parts request and the creation of a ticket.
func quoteSteps(name string, random *rand.Rand) []Step {
	turns := randomBetween(random, minQuoteTurns, maxQuoteTurns)
	steps := conversationSteps(random, turns, shortMessageWords, shortAnswerTokens)
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

// berthPlanSteps returns the steps of a program that drafts a plan with sub-agents,
// looks up a manifest, books one berth and reports.
func berthPlanSteps(name string, random *rand.Rand) []Step {
	subAgents := make([][]Step, berthPlanSubAgents)
	for i := range subAgents {
		subAgents[i] = conversationSteps(random, subAgentTurns, shortMessageWords, shortAnswerTokens)
	}
	return []Step{
		{Message: randomText(random, longMessageWords), MaxTokens: longAnswerTokens},
		{SubAgents: subAgents},
		{Message: randomText(random, shortMessageWords), MaxTokens: longAnswerTokens},
		{Service: ServiceManifests, Operation: OperationLookup, Body: bookingBody(name)},
		{Message: randomText(random, shortMessageWords), MaxTokens: shortAnswerTokens},
		{Service: ServiceBerths, Operation: OperationBook, Body: bookingBody(name)},
		{Message: randomText(random, shortMessageWords), MaxTokens: shortAnswerTokens},
	}
}

func bookingBody(name string) string {
	return fmt.Sprintf(`{"berth":3,"convoy":%q}`, name)
}

// randomText returns a text of the given number of random words.
func randomText(random *rand.Rand, words int) string {
	parts := make([]string, words)
	for i := range parts {
		parts[i] = vocabulary[random.IntN(len(vocabulary))]
	}
	return strings.Join(parts, " ")
}

var vocabulary = [...]string{
	"excavator", "boom", "hose", "leaks", "at", "the", "crimp", "port", "crane",
	"barge", "draft", "tide", "window", "crew", "price", "agreed", "please", "check",
}
