package main

import (
	"time"

	"ibistray.example/ibistray/internal/policy/place"
	"ibistray.example/ibistray/internal/policy/retain"
	"ibistray.example/ibistray/internal/policy/retry"
)

// Faults of a run with faults. Times are counted from the start of the run.
const (
	crashAt                = 5 * time.Minute
	crashDowntime          = 30 * time.Second
	slowAt                 = 8 * time.Minute
	slowDuration           = 90 * time.Second
	slowSpeed              = 0.3 // factor on the rates of the engine
	stopAt                 = 11 * time.Minute
	stopNotice             = 30 * time.Second // from the announcement to the stop
	stopDowntime           = time.Minute
	engineOverloadAt       = 14 * time.Minute
	engineOverloadDuration = 15 * time.Second
	serviceHangAt          = 16 * time.Minute
	serviceHangDuration    = time.Minute
	transferRate           = 50000 // tokens per second when a prefix is moved
	overloadStride         = 3     // every overloadStride-th engine is affected
)

// faultInjector injects faults into a system.
type faultInjector struct {
	sys               *system
	outage            outage
	lostEngineSeconds float64 // engine time that the faults make unavailable
}

// scheduleFaults schedules each fault once: a crash, a slow engine, a planned stop,
// an overload of some engines and a service that hangs.
func (f *faultInjector) scheduleFaults() {
	sim := f.sys.sim
	n := len(f.sys.sidecars)
	sim.after(crashAt, func() { f.crash(f.sys.sidecars[0], crashDowntime) })
	f.lostEngineSeconds += (1 - slowSpeed) * slowDuration.Seconds()
	sim.after(slowAt, func() { f.sys.sidecars[1%n].engine.setSpeed(slowSpeed) })
	sim.after(slowAt+slowDuration, func() { f.sys.sidecars[1%n].engine.setSpeed(1) })
	sim.after(stopAt, func() { f.announceStop(f.sys.sidecars[2%n]) })
	f.lostEngineSeconds += engineOverloadDuration.Seconds() * float64((n+overloadStride-1)/overloadStride)
	sim.after(engineOverloadAt, func() { f.setOverload(true) })
	sim.after(engineOverloadAt+engineOverloadDuration, func() { f.setOverload(false) })
	sim.after(serviceHangAt, func() { f.sys.services.hungService = 0 })
	sim.after(serviceHangAt+serviceHangDuration, func() { f.sys.services.hungService = -1 })
}

// outageAt is the start of an outage.
const outageAt = 8 * time.Minute

// scheduleOutage schedules an outage that starts at outageAt.
func (f *faultInjector) scheduleOutage(o outage) {
	f.outage = o
	f.sys.sim.after(outageAt, func() { f.setOutage(true) })
	f.sys.sim.after(outageAt+o.duration, func() { f.setOutage(false) })
}

// setOutage starts or ends the outage.
func (f *faultInjector) setOutage(on bool) {
	for i, sc := range f.sys.sidecars {
		if f.outage.losesAnswers {
			sc.losesAnswers = on && i%overloadStride == 0
		} else {
			sc.overloaded = on
		}
	}
}

// crash takes a server down for a time. Its running and queued calls fail, and its
// cache is lost.
func (f *faultInjector) crash(sc *sidecar, downtime time.Duration) {
	sc.state = place.StateDown
	f.lostEngineSeconds += downtime.Seconds()
	aborted := sc.engine.clear()
	clear(sc.running)
	clear(sc.queued)
	for _, a := range aborted {
		a.fail(retry.Failure{Kind: retry.KindServerDied})
	}
	for {
		item, ok := sc.queue.Pop(f.sys.sim.now)
		if !ok {
			break
		}
		item.Value.fail(retry.Failure{Kind: retry.KindServerDown, NotRun: true})
	}
	f.sys.sim.after(downtime, func() { sc.state = place.StateReady })
}

// announceStop starts a planned stop: the server accepts no new calls, running and
// queued calls have stopNotice to finish, and cached prefixes move to other servers.
func (f *faultInjector) announceStop(sc *sidecar) {
	sc.state = place.StateLeaving
	f.lostEngineSeconds += stopNotice.Seconds()
	f.movePrefixes(sc)
	f.sys.sim.after(stopNotice, func() { f.crash(sc, stopDowntime) })
}

// movePrefixes moves, one after the other, the prefixes that are worth moving before
// the server stops.
func (f *faultInjector) movePrefixes(sc *sidecar) {
	if f.sys.variant.retain == nil || f.sys.variant.noPrefixMoves {
		return
	}
	rates := retain.Rates{Transfer: transferRate, Prefill: sc.engine.spec.prefillRate}
	delay := time.Duration(0)
	for _, id := range retain.PlanMoves(sc.toolPauses, sc.holds(), rates, stopNotice, f.sys.sim.now) {
		cl := f.sys.clients[id]
		entry := sc.engine.cache.entries[cl]
		delay += toDuration(float64(entry.tokens) / transferRate)
		f.sys.sim.after(delay, func() { f.movePrefix(sc, cl) })
	}
}

// movePrefix moves an idle prefix to the server with the least full cache, if it has
// room.
func (f *faultInjector) movePrefix(from *sidecar, cl *client) {
	entry := from.engine.cache.entries[cl]
	if entry == nil || entry.activeCalls > 0 {
		return
	}
	to := f.leastFullSidecar()
	if !to.engine.cache.put(cl, entry.tokens) {
		return
	}
	from.engine.cache.removeMoved(entry)
	cl.cachedOn = to.id
}

// leastFullSidecar returns the sidecar of the ready server with the fewest tokens in
// its cache.
func (f *faultInjector) leastFullSidecar() *sidecar {
	var leastFull *sidecar
	for _, sc := range f.sys.sidecars {
		if sc.state == place.StateReady && (leastFull == nil || sc.engine.cache.used < leastFull.engine.cache.used) {
			leastFull = sc
		}
	}
	return leastFull
}

// setOverload starts or ends the overload of every overloadStride-th engine.
func (f *faultInjector) setOverload(on bool) {
	for i, sc := range f.sys.sidecars {
		if i%overloadStride == 0 {
			sc.overloaded = on
		}
	}
}
