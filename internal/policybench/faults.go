package main

import (
	"time"

	"ibistray.example/ibistray/internal/policy/place"
	"ibistray.example/ibistray/internal/policy/retain"
	"ibistray.example/ibistray/internal/policy/retry"
)

// Times of the faults of a run with faults.
const (
	crashAt       = 5 * time.Minute
	crashDown     = 30 * time.Second
	slowAt        = 8 * time.Minute
	slowFor       = 90 * time.Second
	slowSpeed     = 0.3
	stopAt        = 11 * time.Minute
	stopNotice    = 30 * time.Second
	stopDown      = time.Minute
	burstAt       = 14 * time.Minute
	burstFor      = 15 * time.Second
	hungAt        = 16 * time.Minute
	hungFor       = time.Minute
	transferRate  = 50000 // tokens per second of a move
	overloadShare = 3     // one engine in so many answers 529
)

// faultState injects faults into a system.
type faultState struct {
	sys    *system
	outage outage
	lost   float64 // engine seconds
}

// plan schedules each fault once.
func (f *faultState) plan() {
	sim := f.sys.sim
	n := len(f.sys.sidecars)
	sim.after(crashAt, func() { f.crash(f.sys.sidecars[0], crashDown) })
	f.lost += (1 - slowSpeed) * slowFor.Seconds()
	sim.after(slowAt, func() { f.sys.sidecars[1%n].engine.setSpeed(slowSpeed) })
	sim.after(slowAt+slowFor, func() { f.sys.sidecars[1%n].engine.setSpeed(1) })
	sim.after(stopAt, func() { f.stop(f.sys.sidecars[2%n]) })
	f.lost += burstFor.Seconds() * float64((n+overloadShare-1)/overloadShare)
	sim.after(burstAt, func() { f.overload(true) })
	sim.after(burstAt+burstFor, func() { f.overload(false) })
	sim.after(hungAt, func() { f.sys.services.hung = 0 })
	sim.after(hungAt+hungFor, func() { f.sys.services.hung = -1 })
}

// outageAt is the start of an outage of all engines.
const outageAt = 8 * time.Minute

// planOutage makes engines fail for a while.
func (f *faultState) planOutage(o outage) {
	f.outage = o
	f.sys.sim.after(outageAt, func() { f.setOutage(true) })
	f.sys.sim.after(outageAt+o.length, func() { f.setOutage(false) })
}

func (f *faultState) setOutage(on bool) {
	for i, sc := range f.sys.sidecars {
		if f.outage.lossy {
			sc.losing = on && i%overloadShare == 0
		} else {
			sc.overloaded = on
		}
	}
}

// crash ends a server with everything on it.
func (f *faultState) crash(sc *sidecar, down time.Duration) {
	sc.state = place.StateDown
	f.lost += down.Seconds()
	lost := sc.engine.clear()
	clear(sc.running)
	clear(sc.waiting)
	for _, a := range lost {
		a.failed(retry.Failure{Kind: retry.KindServerDied})
	}
	for {
		item, ok := sc.queue.Pop(f.sys.sim.now)
		if !ok {
			break
		}
		item.Value.failed(retry.Failure{Kind: retry.KindServerDown, NotRun: true})
	}
	f.sys.sim.after(down, func() { sc.state = place.StateReady })
}

// stop announces a planned stop: running and waiting calls end, caches move.
func (f *faultState) stop(sc *sidecar) {
	sc.state = place.StateLeaving
	f.lost += stopNotice.Seconds()
	f.moveCaches(sc)
	f.sys.sim.after(stopNotice, func() { f.crash(sc, stopDown) })
}

// moveCaches exports what pays to the server that has most room.
func (f *faultState) moveCaches(sc *sidecar) {
	if f.sys.variant.retain == nil || f.sys.variant.noMoves {
		return
	}
	rates := retain.Rates{Transfer: transferRate, Prefill: sc.engine.spec.prefillRate}
	delay := time.Duration(0)
	for _, id := range retain.PlanMoves(sc.times, sc.holds(), rates, stopNotice, f.sys.sim.now) {
		cl := f.sys.clients[id]
		entry := sc.engine.cache.entries[cl]
		delay += toDuration(float64(entry.tokens) / transferRate)
		f.sys.sim.after(delay, func() { f.moveOne(sc, cl) })
	}
}

func (f *faultState) moveOne(from *sidecar, cl *client) {
	entry := from.engine.cache.entries[cl]
	if entry == nil || entry.busy > 0 {
		return
	}
	to := f.roomiest()
	if !to.engine.cache.put(cl, entry.tokens) {
		return
	}
	from.engine.cache.take(entry)
	cl.cachedOn = to.id
}

func (f *faultState) roomiest() *sidecar {
	var best *sidecar
	for _, sc := range f.sys.sidecars {
		if sc.state == place.StateReady && (best == nil || sc.engine.cache.used < best.engine.cache.used) {
			best = sc
		}
	}
	return best
}

func (f *faultState) overload(on bool) {
	for i, sc := range f.sys.sidecars {
		if i%overloadShare == 0 {
			sc.overloaded = on
		}
	}
}
