package main

import (
	"runtime"
	"sync"
	"sync/atomic"
)

// scenario is one combination of deployment, policies, load and faults.
type scenario struct {
	deployment deployment
	variant    variant
	load       float64 // share of the engines' capacity
	faults     bool
	outage     outage // duration 0: none
}

// simulate runs a scenario with one seed.
func simulate(sc scenario, seed uint64) *metrics {
	sys := newSystem(sc.deployment, sc.variant, seed)
	for _, p := range newGenerator(seed).drawArrivals(sc.deployment, sc.load, arrivalEnd) {
		sys.sim.after(p.arrival, func() { sys.startProgram(p, nil) })
	}
	sys.sim.every(reportPeriod, runEnd, sys.publishReports)
	if sc.variant.retain != nil {
		sys.sim.every(releasePeriod, runEnd, func() {
			for _, sidecar := range sys.sidecars {
				sidecar.releasePrefixes()
			}
		})
	}
	if sc.outage.duration > 0 {
		sys.faults.scheduleOutage(sc.outage)
	}
	if sc.faults {
		sys.faults.scheduleFaults()
	}
	sys.sim.runUntil(runEnd)
	for _, sidecar := range sys.sidecars {
		sidecar.engine.cache.removeUnneeded(sidecar.id)
		sys.metrics.unusedTokenSeconds += sidecar.engine.cache.unusedTokenSeconds
	}
	sys.metrics.finalize(sc.deployment.engines, sys.faults.lostEngineSeconds)
	return sys.metrics
}

// simulateAll runs each scenario with the given number of seeds, from 1 on, on all
// cores and returns the merged metrics in the order of the scenarios. The result does
// not depend on the number of cores.
func simulateAll(scenarios []scenario, seeds int) []*metrics {
	results := make([]*metrics, len(scenarios)*seeds)
	var next atomic.Int64
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for {
				i := int(next.Add(1)) - 1
				if i >= len(results) {
					return
				}
				results[i] = simulate(scenarios[i/seeds], uint64(i%seeds)+1)
			}
		})
	}
	wg.Wait()
	merged := make([]*metrics, len(scenarios))
	for i := range merged {
		merged[i] = newMetrics()
		for _, m := range results[i*seeds : (i+1)*seeds] {
			merged[i].merge(m)
		}
	}
	return merged
}
