package main

import (
	"math/rand/v2"
	"time"
)

// tool is a kind of pause between two calls of a program.
type tool struct {
	name    string
	min     time.Duration
	max     time.Duration
	service bool // a call to a plain service instead of a fixed pause
}

// programKind describes programs of one kind. Ranges are inclusive.
type programKind struct {
	name      string
	priority  int32
	share     float64 // of the engine time
	customers []customerMix
	turns     [2]int
	context   [2]int64 // tokens of the first prompt
	input     [2]int64 // new tokens of each later prompt
	output    [2]int64
	tools     []tool
	subAgents int     // programs that one turn in the middle waits for
	abandoned float64 // share of programs that stop coming back
	timeout   time.Duration
}

// customerMix is a customer's part in the programs of a kind.
type customerMix struct {
	name  string
	part  float64
	share uint32 // of the contract, permille
}

// deployment is one of the two users' systems.
type deployment struct {
	name     string
	engines  int
	services int
	engine   engineSpec
	kinds    []programKind
}

// moveKeep is how long a moved prefix is kept if no call uses it.
const moveKeep = 2 * time.Minute

func deployments() []deployment {
	return []deployment{hoseRepair(), wharf()}
}

// hoseRepair has short programs: quote conversations prior to diagnoses.
func hoseRepair() deployment {
	stock := tool{"stock", 300 * time.Millisecond, 2 * time.Second, true}
	manual := tool{"manual", time.Second, 4 * time.Second, false}
	price := tool{"price", 2 * time.Second, 8 * time.Second, false}
	foreman := tool{"foreman", 8 * time.Second, 40 * time.Second, false}
	return deployment{
		name: "hoses", engines: 10, services: 6,
		engine: engineSpec{batchLimit: 16, prefillRate: 10000, decodeRate: 60, decodeDecay: 1.0 / 15, cacheTokens: 280_000},
		kinds: []programKind{
			{
				name: "quote", priority: 7, share: 0.35, customers: []customerMix{{"plantations", 1, 500}},
				turns: [2]int{6, 14}, context: [2]int64{1500, 3000}, input: [2]int64{150, 400}, output: [2]int64{100, 250},
				tools: []tool{stock, price, foreman, stock}, abandoned: 0.1, timeout: 2 * time.Minute,
			},
			{
				name: "diagnosis", priority: 4, share: 0.5,
				customers: []customerMix{{"excavators", 1, 300}, {"cranes", 6, 300}},
				turns:     [2]int{2, 5}, context: [2]int64{2500, 6000}, input: [2]int64{300, 900}, output: [2]int64{150, 400},
				tools: []tool{manual, stock, manual}, subAgents: 1, abandoned: 0.05, timeout: 2 * time.Minute,
			},
			{
				name: "stock report", priority: 1, share: 0.15, customers: []customerMix{{"office", 1, 100}},
				turns: [2]int{4, 8}, context: [2]int64{2000, 8000}, input: [2]int64{500, 1500}, output: [2]int64{100, 300},
				tools: []tool{stock}, timeout: 10 * time.Minute,
			},
		},
	}
}

// wharf has long programs: conversations with shipping agents.
func wharf() deployment {
	manifest := tool{"manifest", 300 * time.Millisecond, 2 * time.Second, true}
	tide := tool{"tide", time.Second, 5 * time.Second, false}
	agent := tool{"agent", 10 * time.Second, 45 * time.Second, false}
	return deployment{
		name: "wharf", engines: 12, services: 20,
		engine: engineSpec{batchLimit: 16, prefillRate: 20000, decodeRate: 60, decodeDecay: 1.0 / 15, cacheTokens: 1_100_000},
		kinds: []programKind{
			{
				name: "berth plan", priority: 8, share: 0.15, customers: []customerMix{{"dispatch", 1, 400}},
				turns: [2]int{10, 20}, context: [2]int64{6000, 12000}, input: [2]int64{300, 1200}, output: [2]int64{100, 400},
				tools: []tool{tide, manifest}, subAgents: 3, timeout: 2 * time.Minute,
			},
			{
				name: "shipping", priority: 6, share: 0.65,
				customers: []customerMix{{"agents north", 1, 400}, {"agents south", 4, 400}},
				turns:     [2]int{10, 24}, context: [2]int64{6000, 16000}, input: [2]int64{300, 1200}, output: [2]int64{100, 300},
				tools: []tool{manifest, agent, tide}, abandoned: 0.08, timeout: 2 * time.Minute,
			},
			{
				name: "customs", priority: 0, share: 0.2, customers: []customerMix{{"customs", 1, 200}},
				turns: [2]int{6, 10}, context: [2]int64{4000, 10000}, input: [2]int64{500, 2000}, output: [2]int64{200, 400},
				tools: []tool{manifest}, timeout: 20 * time.Minute,
			},
		},
	}
}

// turn is one call of a program and the pause after it.
type turn struct {
	input    int64 // tokens that were never in a prompt before
	output   int64
	tool     tool
	pause    time.Duration
	children []*program // started after the call, awaited before the next one
}

// program is everything about one run that no policy decides.
type program struct {
	id       string
	kind     *programKind
	customer customerMix
	arrival  time.Duration
	turns    []turn
	stopAt   int // the program never comes back after this turn; -1: it ends
}

// idealSeconds is the engine time of the program's calls and its children's.
func (p *program) idealSeconds(spec engineSpec) float64 {
	sum := 0.0
	for i, t := range p.turns {
		if p.stopAt >= 0 && i > p.stopAt {
			break
		}
		sum += spec.idealSeconds(t.input, t.output)
		for _, child := range t.children {
			sum += child.idealSeconds(spec)
		}
	}
	return sum
}

// generator draws programs. The same seed gives the same programs whatever the
// policies do.
type generator struct {
	rng *rand.Rand
}

func newGenerator(seed uint64) *generator {
	return &generator{rng: rand.New(rand.NewPCG(seed, 1))}
}

func (g *generator) between(r [2]int64) int64 {
	return r[0] + g.rng.Int64N(r[1]-r[0]+1)
}

// arrivals draws the programs of a run, by arrival, as Poisson processes whose
// engine time is the given load of the deployment's capacity.
func (g *generator) arrivals(d deployment, load float64, end time.Duration) []*program {
	var all []*program
	for k := range d.kinds {
		kind := &d.kinds[k]
		rate := load * float64(d.engines) * kind.share / meanIdealSeconds(d, kind)
		at := time.Duration(0)
		for {
			at += toDuration(g.rng.ExpFloat64() / rate)
			if at >= end {
				break
			}
			p := g.draw(kind, g.customer(kind), false)
			p.arrival = at
			all = append(all, p)
		}
	}
	return all
}

// meanSamples is the number of programs from which the mean cost of a kind is
// taken.
const meanSamples = 400

func meanIdealSeconds(d deployment, kind *programKind) float64 {
	sample := newGenerator(uint64(len(kind.name)))
	sum := 0.0
	for range meanSamples {
		sum += sample.draw(kind, kind.customers[0], false).idealSeconds(d.engine)
	}
	return sum / meanSamples
}

func (g *generator) customer(kind *programKind) customerMix {
	total := 0.0
	for _, c := range kind.customers {
		total += c.part
	}
	x := g.rng.Float64() * total
	for _, c := range kind.customers {
		x -= c.part
		if x < 0 {
			return c
		}
	}
	return kind.customers[0]
}

func (g *generator) draw(kind *programKind, customer customerMix, child bool) *program {
	p := &program{kind: kind, customer: customer, stopAt: -1}
	n := kind.turns[0] + g.rng.IntN(kind.turns[1]-kind.turns[0]+1)
	if child {
		n = 2
	}
	for i := range n {
		p.turns = append(p.turns, g.drawTurn(kind, i))
	}
	if child {
		return p
	}
	if g.rng.Float64() < kind.abandoned {
		p.stopAt = g.rng.IntN(n)
	}
	for range kind.subAgents {
		middle := &p.turns[n/2]
		middle.children = append(middle.children, g.draw(kind, customer, true))
	}
	return p
}

func (g *generator) drawTurn(kind *programKind, i int) turn {
	input := g.between(kind.input)
	if i == 0 {
		input = g.between(kind.context)
	}
	t := kind.tools[g.rng.IntN(len(kind.tools))]
	pause := t.min + time.Duration(g.rng.Int64N(int64(t.max-t.min)+1))
	return turn{input: input, output: g.between(kind.output), tool: t, pause: pause}
}
