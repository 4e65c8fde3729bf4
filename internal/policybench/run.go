package main

import (
	"runtime"
	"sync"
	"sync/atomic"
)

// scenario is one cell of the experiment.
type scenario struct {
	deploy  deployment
	variant variant
	load    float64 // share of the engines' capacity
	faults  bool
	outage  outage // length 0: none
}

// simulate runs a scenario with one seed.
func simulate(sc scenario, seed uint64) *metrics {
	s := newSystem(sc.deploy, sc.variant, seed)
	for _, p := range newGenerator(seed).arrivals(sc.deploy, sc.load, arrivalEnd) {
		s.sim.after(p.arrival, func() { s.startProgram(p, nil) })
	}
	s.sim.every(reportPeriod, runEnd, s.report)
	if sc.variant.retain != nil {
		s.sim.every(retainPeriod, runEnd, func() {
			for _, sidecar := range s.sidecars {
				sidecar.retain()
			}
		})
	}
	if sc.outage.length > 0 {
		s.faults.planOutage(sc.outage)
	}
	if sc.faults {
		s.faults.plan()
	}
	s.sim.runUntil(runEnd)
	for _, sidecar := range s.sidecars {
		sidecar.engine.cache.settle(sidecar.id)
		s.metrics.vain += sidecar.engine.cache.vain
	}
	s.metrics.close(sc.deploy.engines, s.faults.lost)
	return s.metrics
}

// simulateAll runs each scenario with seeds 1 to n on all cores and returns the
// merged metrics in the order of the scenarios. The result does not depend on
// the number of cores.
func simulateAll(scenarios []scenario, n int) []*metrics {
	results := make([]*metrics, len(scenarios)*n)
	var next atomic.Int64
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for {
				i := int(next.Add(1)) - 1
				if i >= len(results) {
					return
				}
				results[i] = simulate(scenarios[i/n], uint64(i%n)+1)
			}
		})
	}
	wg.Wait()
	merged := make([]*metrics, len(scenarios))
	for i := range merged {
		merged[i] = newMetrics()
		for _, m := range results[i*n : (i+1)*n] {
			merged[i].merge(m)
		}
	}
	return merged
}
