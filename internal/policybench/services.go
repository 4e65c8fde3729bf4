package main

import (
	"fmt"
	"time"

	"ibistray.example/ibistray/internal/policy/place"
)

// serviceSlots is the number of calls that a plain service runs concurrently.
const serviceSlots = 4

// servicePool simulates the plain services. Each runs up to serviceSlots calls
// concurrently and starts them in the order of arrival.
type servicePool struct {
	sys         *system
	view        *place.View
	inFlight    []*place.InFlight
	queues      [][]func()
	running     []int
	hungService int // index of the service that does not respond, -1 if none
}

func newServicePool(s *system, count int) *servicePool {
	p := &servicePool{sys: s, queues: make([][]func(), count), running: make([]int, count), hungService: -1}
	servers := make([]place.Server, count)
	for i := range servers {
		inFlight := &place.InFlight{}
		p.inFlight = append(p.inFlight, inFlight)
		servers[i] = place.Server{
			ID: fmt.Sprintf("service-%02d", i), State: place.StateReady, ExpiresAt: runEnd + time.Hour,
			Load: place.Load{BatchLimit: serviceSlots, TokensPerSecond: 1}, InFlight: inFlight,
		}
	}
	p.view = place.NewView(place.Params{MeanOutputTokens: 1, Choices: 2}, servers)
	return p
}

// call runs a service call of the given duration and then calls done. If the service
// hangs, it calls done after toolTimeout: the program continues with an error.
func (p *servicePool) call(duration time.Duration, done func()) {
	program := fmt.Sprint(p.sys.rng.Uint64())
	d, err := place.Choose(p.view, place.Request{Program: program}, p.sys.rng.Uint64(), p.sys.sim.now)
	if err != nil {
		panic(err)
	}
	i := p.indexOf(d.Server.ID)
	p.inFlight[i].Begin()
	if i == p.hungService {
		p.sys.sim.after(toolTimeout, func() {
			p.inFlight[i].End()
			done()
		})
		return
	}
	p.queues[i] = append(p.queues[i], func() {
		p.sys.sim.after(duration, func() {
			p.inFlight[i].End()
			p.running[i]--
			p.startWaiting(i)
			done()
		})
	})
	p.startWaiting(i)
}

// startWaiting starts the queued calls of service i while it has free slots.
func (p *servicePool) startWaiting(i int) {
	for p.running[i] < serviceSlots && len(p.queues[i]) > 0 {
		run := p.queues[i][0]
		p.queues[i] = p.queues[i][1:]
		p.running[i]++
		run()
	}
}

func (p *servicePool) indexOf(id string) int {
	for i := range p.inFlight {
		if p.view.Servers()[i].ID == id {
			return i
		}
	}
	panic("unknown service " + id)
}
