package main

import (
	"math/rand/v2"
	"time"
)

// tool is the reason for a pause between two calls of a program. The length of the
// pause is uniform between min and max.
type tool struct {
	name    string
	min     time.Duration
	max     time.Duration
	service bool // the pause is a call to a plain service of this duration
}

// programKind describes programs of one kind. Ranges are inclusive.
type programKind struct {
	name           string
	priority       int32
	loadShare      float64 // of the engine time of the load
	customers      []customerShare
	turns          [2]int   // calls of a program
	context        [2]int64 // tokens of the first prompt
	input          [2]int64 // new tokens of each later prompt
	output         [2]int64 // tokens of each answer
	tools          []tool
	subAgents      int           // children of the turn in the middle, which waits for them
	abandonedShare float64       // share of programs that stop without reporting their end
	timeout        time.Duration // of a call
}

// customerShare is a customer's share of the programs of a kind.
type customerShare struct {
	name          string
	weight        float64 // relative number of programs
	sharePermille uint32  // share of the customer's contract
}

// deployment describes one of the two simulated deployments.
type deployment struct {
	name     string
	engines  int
	services int
	engine   engineSpec
	kinds    []programKind
}

// movedKeepPeriod is how long a moved prefix is kept if no call uses it.
const movedKeepPeriod = 2 * time.Minute

func deployments() []deployment {
	return []deployment{hoseRepair(), wharf()}
}

// hoseRepair returns a deployment with short programs, in which quote conversations
// have priority over diagnoses.
func hoseRepair() deployment {
	stock := tool{"stock", 300 * time.Millisecond, 2 * time.Second, true}
	manual := tool{"manual", time.Second, 4 * time.Second, false}
	price := tool{"price", 2 * time.Second, 8 * time.Second, false}
	foreman := tool{"foreman", 8 * time.Second, 40 * time.Second, false}
	return deployment{
		name: "hoses", engines: 10, services: 6,
		engine: engineSpec{batchLimit: 16, prefillRate: 10000, decodeRate: 60, decodeSlowdown: 1.0 / 15, cacheTokens: 280_000},
		kinds: []programKind{
			{
				name: "quote", priority: 7, loadShare: 0.35, customers: []customerShare{{"plantations", 1, 500}},
				turns: [2]int{6, 14}, context: [2]int64{1500, 3000}, input: [2]int64{150, 400}, output: [2]int64{100, 250},
				tools: []tool{stock, price, foreman, stock}, abandonedShare: 0.1, timeout: 2 * time.Minute,
			},
			{
				name: "diagnosis", priority: 4, loadShare: 0.5,
				customers: []customerShare{{"excavators", 1, 300}, {"cranes", 6, 300}},
				turns:     [2]int{2, 5}, context: [2]int64{2500, 6000}, input: [2]int64{300, 900}, output: [2]int64{150, 400},
				tools: []tool{manual, stock, manual}, subAgents: 1, abandonedShare: 0.05, timeout: 2 * time.Minute,
			},
			{
				name: "stock report", priority: 1, loadShare: 0.15, customers: []customerShare{{"office", 1, 100}},
				turns: [2]int{4, 8}, context: [2]int64{2000, 8000}, input: [2]int64{500, 1500}, output: [2]int64{100, 300},
				tools: []tool{stock}, timeout: 10 * time.Minute,
			},
		},
	}
}

// wharf returns a deployment with long programs, mostly conversations with shipping
// agents.
func wharf() deployment {
	manifest := tool{"manifest", 300 * time.Millisecond, 2 * time.Second, true}
	tide := tool{"tide", time.Second, 5 * time.Second, false}
	agent := tool{"agent", 10 * time.Second, 45 * time.Second, false}
	return deployment{
		name: "wharf", engines: 12, services: 20,
		engine: engineSpec{batchLimit: 16, prefillRate: 20000, decodeRate: 60, decodeSlowdown: 1.0 / 15, cacheTokens: 1_100_000},
		kinds: []programKind{
			{
				name: "berth plan", priority: 8, loadShare: 0.15, customers: []customerShare{{"dispatch", 1, 400}},
				turns: [2]int{10, 20}, context: [2]int64{6000, 12000}, input: [2]int64{300, 1200}, output: [2]int64{100, 400},
				tools: []tool{tide, manifest}, subAgents: 3, timeout: 2 * time.Minute,
			},
			{
				name: "shipping", priority: 6, loadShare: 0.65,
				customers: []customerShare{{"agents north", 1, 400}, {"agents south", 4, 400}},
				turns:     [2]int{10, 24}, context: [2]int64{6000, 16000}, input: [2]int64{300, 1200}, output: [2]int64{100, 300},
				tools: []tool{manifest, agent, tide}, abandonedShare: 0.08, timeout: 2 * time.Minute,
			},
			{
				name: "customs", priority: 0, loadShare: 0.2, customers: []customerShare{{"customs", 1, 200}},
				turns: [2]int{6, 10}, context: [2]int64{4000, 10000}, input: [2]int64{500, 2000}, output: [2]int64{200, 400},
				tools: []tool{manifest}, timeout: 20 * time.Minute,
			},
		},
	}
}

// turn is one call of a program and the pause after it.
type turn struct {
	inputTokens  int64 // prompt tokens that are not part of the history
	outputTokens int64
	tool         tool
	pause        time.Duration
	children     []*program // start after the call and must finish before the next one
}

// program describes one run of a program, independent of all policies.
type program struct {
	id           string
	kind         *programKind
	customer     customerShare
	arrival      time.Duration
	turns        []turn
	abandonAfter int // index of the turn after which it is abandoned, -1 if it is not
}

// idealSeconds returns the ideal engine time of the calls of the program and its
// children.
func (p *program) idealSeconds(spec engineSpec) float64 {
	sum := 0.0
	for i, t := range p.turns {
		if p.abandonAfter >= 0 && i > p.abandonAfter {
			break
		}
		sum += spec.idealSeconds(t.inputTokens, t.outputTokens)
		for _, child := range t.children {
			sum += child.idealSeconds(spec)
		}
	}
	return sum
}

// generator draws random programs. The same seed gives the same programs for all
// policies.
type generator struct {
	rng *rand.Rand
}

func newGenerator(seed uint64) *generator {
	return &generator{rng: rand.New(rand.NewPCG(seed, 1))}
}

// uniform draws a number between the bounds, inclusive.
func (g *generator) uniform(bounds [2]int64) int64 {
	return bounds[0] + g.rng.Int64N(bounds[1]-bounds[0]+1)
}

// drawArrivals draws the programs that arrive before end. The arrivals of each kind are
// a Poisson process. The ideal engine time of all programs is, on average, the given
// share of the deployment's capacity.
func (g *generator) drawArrivals(d deployment, load float64, end time.Duration) []*program {
	var programs []*program
	for k := range d.kinds {
		kind := &d.kinds[k]
		rate := load * float64(d.engines) * kind.loadShare / meanIdealSeconds(d, kind)
		arrival := time.Duration(0)
		for {
			arrival += toDuration(g.rng.ExpFloat64() / rate)
			if arrival >= end {
				break
			}
			p := g.drawProgram(kind, g.drawCustomer(kind), false)
			p.arrival = arrival
			programs = append(programs, p)
		}
	}
	return programs
}

// meanSampleCount is the number of programs from which the mean ideal engine time of a
// kind is estimated.
const meanSampleCount = 400

func meanIdealSeconds(d deployment, kind *programKind) float64 {
	generator := newGenerator(uint64(len(kind.name)))
	sum := 0.0
	for range meanSampleCount {
		sum += generator.drawProgram(kind, kind.customers[0], false).idealSeconds(d.engine)
	}
	return sum / meanSampleCount
}

func (g *generator) drawCustomer(kind *programKind) customerShare {
	total := 0.0
	for _, c := range kind.customers {
		total += c.weight
	}
	x := g.rng.Float64() * total
	for _, c := range kind.customers {
		x -= c.weight
		if x < 0 {
			return c
		}
	}
	return kind.customers[0]
}

// drawProgram draws a program of the kind, with its children unless it is a child.
func (g *generator) drawProgram(kind *programKind, customer customerShare, child bool) *program {
	p := &program{kind: kind, customer: customer, abandonAfter: -1}
	turns := kind.turns[0] + g.rng.IntN(kind.turns[1]-kind.turns[0]+1)
	if child {
		turns = 2
	}
	for i := range turns {
		p.turns = append(p.turns, g.drawTurn(kind, i))
	}
	if child {
		return p
	}
	if g.rng.Float64() < kind.abandonedShare {
		p.abandonAfter = g.rng.IntN(turns)
	}
	for range kind.subAgents {
		middleTurn := &p.turns[turns/2]
		middleTurn.children = append(middleTurn.children, g.drawProgram(kind, customer, true))
	}
	return p
}

func (g *generator) drawTurn(kind *programKind, i int) turn {
	input := g.uniform(kind.input)
	if i == 0 {
		input = g.uniform(kind.context)
	}
	t := kind.tools[g.rng.IntN(len(kind.tools))]
	pause := t.min + time.Duration(g.rng.Int64N(int64(t.max-t.min)+1))
	return turn{inputTokens: input, outputTokens: g.uniform(kind.output), tool: t, pause: pause}
}
