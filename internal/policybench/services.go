package main

import (
	"fmt"
	"time"

	"ibistray.example/ibistray/internal/policy/place"
)

// serviceSlots is the number of calls that a plain service runs at once.
const serviceSlots = 4

// servicePool is the fake of the plain services: each runs a few calls at once
// in the order of their arrival.
type servicePool struct {
	sys     *system
	view    *place.View
	own     []*place.InFlight
	waiting [][]func()
	running []int
	hung    int // index of the service that does not answer, -1: none
}

func newServicePool(s *system, n int) *servicePool {
	p := &servicePool{sys: s, waiting: make([][]func(), n), running: make([]int, n), hung: -1}
	servers := make([]place.Server, n)
	for i := range servers {
		own := &place.InFlight{}
		p.own = append(p.own, own)
		servers[i] = place.Server{
			ID: fmt.Sprintf("service-%02d", i), State: place.StateReady, ExpiresAt: runEnd + time.Hour,
			Load: place.Load{BatchLimit: serviceSlots, TokensPerSecond: 1}, InFlight: own,
		}
	}
	p.view = place.NewView(place.Params{MeanOutputTokens: 1, Choices: 2}, servers)
	return p
}

// call runs a service call of the given time and then calls then, also when the
// service hangs: after the timeout the program goes on with an error.
func (p *servicePool) call(cost time.Duration, then func()) {
	program := fmt.Sprint(p.sys.rng.Uint64())
	d, err := place.Choose(p.view, place.Request{Program: program}, p.sys.rng.Uint64(), p.sys.sim.now)
	if err != nil {
		panic(err)
	}
	i := p.index(d.Server.ID)
	p.own[i].Begin()
	if i == p.hung {
		p.sys.sim.after(toolTimeout, func() {
			p.own[i].End()
			then()
		})
		return
	}
	p.waiting[i] = append(p.waiting[i], func() {
		p.sys.sim.after(cost, func() {
			p.own[i].End()
			p.running[i]--
			p.pump(i)
			then()
		})
	})
	p.pump(i)
}

func (p *servicePool) pump(i int) {
	for p.running[i] < serviceSlots && len(p.waiting[i]) > 0 {
		run := p.waiting[i][0]
		p.waiting[i] = p.waiting[i][1:]
		p.running[i]++
		run()
	}
}

func (p *servicePool) index(id string) int {
	for i := range p.own {
		if p.view.Servers()[i].ID == id {
			return i
		}
	}
	panic("unknown service " + id)
}
