package main

import (
	"strconv"
	"time"

	"ibistray.example/ibistray/internal/policy/admit"
	"ibistray.example/ibistray/internal/policy/order"
	"ibistray.example/ibistray/internal/policy/place"
	"ibistray.example/ibistray/internal/policy/retain"
	"ibistray.example/ibistray/internal/policy/retry"
)

// sidecar stands beside one engine: it queues calls, starts them and decides
// on the engine's cache.
type sidecar struct {
	sys        *system
	id         string
	engine     *engine
	queue      *order.Queue[*attempt]
	running    map[string]int // by customer
	waiting    map[*client]bool
	times      *retain.ToolPauses
	state      place.State
	overloaded bool          // the engine answers 529
	losing     bool          // the engine runs calls, but their answers get lost
	meanRun    time.Duration // of a call, from start to end
}

// initialRun is the assumed run time of a call before any has ended.
const initialRun = 6 * time.Second

// runWeight is the weight of the newest call in the mean run time.
const runWeight = 0.05

func newSidecar(s *system, id string) *sidecar {
	sc := &sidecar{
		sys:     s,
		id:      id,
		queue:   order.NewQueue[*attempt](s.variant.order),
		running: make(map[string]int),
		waiting: make(map[*client]bool),
		times:   retain.NewToolPauses(),
		state:   place.StateReady,
		meanRun: initialRun,
	}
	cache := newPrefixCache(s.sim, s.deploy.engine.cacheTokens)
	cache.evicted = sc.evicted
	sc.engine = &engine{sim: s.sim, spec: s.deploy.engine, speed: 1, cache: cache, done: sc.done}
	return sc
}

// announce returns the announcement of the server as an entry stores it.
func (sc *sidecar) announce(e *entry) place.Server {
	spec := sc.engine.spec
	running := sc.engine.running()
	own := e.own[sc.id]
	return place.Server{
		ID:        sc.id,
		State:     sc.state,
		ExpiresAt: sc.sys.sim.now + leaseTime,
		Load: place.Load{
			Running:                int64(running),
			Waiting:                int64(sc.queue.Len()),
			BatchLimit:             int64(spec.batchLimit),
			CacheUsedTokens:        sc.engine.cache.used,
			CacheCapacityTokens:    spec.cacheTokens,
			TokensPerSecond:        spec.streamRate(max(running, 1)) * sc.engine.speed,
			PrefillTokensPerSecond: spec.prefillRate * sc.engine.speed,
			MeasuredAt:             sc.sys.sim.now,
		},
		InFlight:         own,
		InFlightAtReport: own.Calls(),
	}
}

// offer queues an attempt or refuses it.
func (sc *sidecar) offer(a *attempt) {
	switch {
	case sc.state == place.StateDown:
		a.failed(retry.Failure{Kind: retry.KindConnect, NotRun: true})
		return
	case sc.state == place.StateLeaving:
		a.failed(retry.Failure{Kind: retry.KindLeaving, NotRun: true})
		return
	case sc.overloaded:
		a.failed(retry.Failure{Kind: retry.KindStatus, Status: statusOverloaded, NotRun: true, RetryAfter: sc.sys.overloadHint()})
		return
	}
	d := sc.sys.variant.admit.Decide(sc.admission(a), sc.load(a.call.priority()), sc.sys.sim.now)
	if !d.Admit {
		sc.sys.metrics.refusals[string(d.Reason)]++
		a.failed(retry.Failure{Kind: sc.sys.variant.refusal, NotRun: true, RetryAfter: d.RetryAfter})
		return
	}
	sc.push(a)
	sc.pump()
}

func (sc *sidecar) push(a *attempt) {
	c := a.call
	shed, err := sc.queue.Push(order.Call{
		ID:             strconv.FormatUint(a.seq, 10),
		Program:        c.client.program.id,
		Customer:       c.client.program.customer.name,
		Priority:       c.priority(),
		SharePermille:  c.client.program.customer.share,
		AttainedTokens: uint64(c.client.attained),
		Cost:           uint64(c.newInput + c.output),
		Arrived:        sc.sys.sim.now,
		Deadline:       c.deadline,
	}, a)
	if err != nil {
		a.failed(retry.Failure{Kind: retry.KindQueueFull, NotRun: true, RetryAfter: sc.meanRun, Err: err})
		return
	}
	sc.waiting[c.client] = true
	if shed != nil {
		delete(sc.waiting, shed.Value.call.client)
		sc.sys.metrics.refusals["shed"]++
		shed.Value.failed(retry.Failure{Kind: retry.KindShed, NotRun: true, RetryAfter: sc.meanRun})
	}
	sc.sys.sim.after(c.deadline-sc.sys.sim.now, func() { sc.timeout(a) })
}

func (sc *sidecar) admission(a *attempt) admit.Request {
	return admit.Request{
		Priority:   a.call.priority(),
		NewProgram: a.call.index == 0 && a.call.client.parent == nil,
		RunTime:    sc.meanRun,
		Deadline:   a.call.deadline,
	}
}

// load estimates the wait of a new call of the priority.
func (sc *sidecar) load(priority int32) admit.Load {
	load := admit.Load{Waiting: sc.queue.Len(), Running: sc.engine.running()}
	if cache := sc.engine.cache; sc.sys.variant.retain != nil {
		load.MemoryShare = float64(cache.used) / float64(cache.capacity)
	}
	batch := sc.engine.spec.batchLimit
	if sc.engine.running() >= batch {
		ahead := sc.queue.Ahead(priority) + 1
		load.ExpectedWait = sc.meanRun * time.Duration(ahead) / time.Duration(batch)
	}
	return load
}

// pump starts waiting calls while the batch has room.
func (sc *sidecar) pump() {
	for sc.state != place.StateDown && sc.engine.running() < sc.engine.spec.batchLimit {
		item, ok := sc.pop()
		if !ok {
			return
		}
		sc.start(item.Value)
	}
}

// pop takes the next call under the variant's rule for contract shares.
func (sc *sidecar) pop() (order.Item[*attempt], bool) {
	now := sc.sys.sim.now
	switch sc.sys.variant.shares {
	case sharesHard:
		return sc.queue.PopIf(now, sc.withinShare)
	case sharesSoft:
		if item, ok := sc.queue.PopIf(now, sc.withinShare); ok {
			return item, true
		}
	}
	return sc.queue.Pop(now)
}

// withinShare reports whether the customer holds fewer slots than its share.
func (sc *sidecar) withinShare(c *order.Call) bool {
	return sc.running[c.Customer] < admit.SlotLimit(sc.engine.spec.batchLimit, c.SharePermille)
}

func (sc *sidecar) start(a *attempt) {
	c := a.call
	a.started = sc.sys.sim.now
	delete(sc.waiting, c.client)
	sc.running[c.client.program.customer.name]++
	cached := sc.engine.cache.acquire(c.client, c.prompt+c.output)
	cached = min(cached, c.prompt-c.newInput)
	sc.sys.metrics.recompute(sc.sys.sim.now, c.prompt-c.newInput-cached)
	if c.client.pausedFor != "" {
		sc.times.Observe(c.client.pausedFor, c.started-c.client.pausedAt)
		c.client.pausedFor = ""
	}
	sc.engine.start(a, cached)
}

// done handles the end of an attempt on the engine.
func (sc *sidecar) done(a *attempt) {
	c := a.call
	sc.running[c.client.program.customer.name]--
	run := sc.sys.sim.now - a.started
	sc.meanRun += time.Duration(runWeight * float64(run-sc.meanRun))
	if sc.losing {
		sc.engine.cache.finish(c.client, true)
		a.failed(retry.Failure{Kind: retry.KindConnectionLost})
		sc.pump()
		return
	}
	a.own.End()
	c.over = true
	c.client.cachedOn, c.client.cachedTokens = sc.id, c.prompt+c.output
	entry := sc.engine.cache.finish(c.client, true)
	c.client.answered(c)
	sc.keep(entry)
	sc.pump()
}

// timeout ends an attempt whose caller has given up.
func (sc *sidecar) timeout(a *attempt) {
	if a.call.current != a || a.call.over {
		return
	}
	if _, waiting := sc.queue.Remove(strconv.FormatUint(a.seq, 10)); !waiting {
		sc.running[a.call.client.program.customer.name]--
		sc.engine.cancel(a)
		sc.engine.cache.finish(a.call.client, false)
	}
	delete(sc.waiting, a.call.client)
	a.failed(retry.Failure{Kind: retry.KindTimeout})
	sc.pump()
}

// keep sets how long the prefix stays while the program pauses.
func (sc *sidecar) keep(entry *cacheEntry) {
	policy := sc.sys.variant.retain
	if policy == nil || entry.busy > 0 {
		return
	}
	entry.tool = entry.client.pausedFor
	entry.keepUntil = sc.sys.sim.now + policy.KeepFor(sc.times, entry.tool)
	if float64(sc.engine.cache.used) > policy.HighWatermark*float64(sc.engine.cache.capacity) {
		sc.retain()
	}
}

// retain releases what the policy names.
func (sc *sidecar) retain() {
	policy := sc.sys.variant.retain
	if policy == nil || sc.state == place.StateDown {
		return
	}
	cache := sc.engine.cache
	for _, release := range policy.PlanReleases(sc.times, sc.holds(), cache.capacity, sc.sys.sim.now) {
		cl := sc.sys.clients[release.Program]
		entry := cache.entries[cl]
		if release.Reason == retain.ReasonKeptTooLong && entry.tool != "" {
			sc.times.ObserveAbandoned(entry.tool)
		}
		cache.remove(entry)
		sc.evicted(cl)
	}
}

// holds lists the idle prefixes, and the busy ones as one.
func (sc *sidecar) holds() []retain.Hold {
	cache := sc.engine.cache
	holds := make([]retain.Hold, 0, cache.idle.Len()+1)
	idle := int64(0)
	for element := cache.idle.Front(); element != nil; element = element.Next() {
		e := element.Value.(*cacheEntry)
		idle += e.tokens
		holds = append(holds, retain.Hold{
			Program:   e.client.program.id,
			Customer:  e.client.program.customer.name,
			Tool:      e.tool,
			Tokens:    e.tokens,
			Busy:      sc.waiting[e.client],
			Ended:     e.client.ended || e.client.cachedOn != sc.id,
			PausedAt:  e.lastUse,
			KeepUntil: e.keepUntil,
		})
	}
	return append(holds, retain.Hold{Busy: true, Tokens: cache.used - idle})
}

// evicted tells the entries that a prefix is gone: late, and not always.
func (sc *sidecar) evicted(cl *client) {
	if sc.sys.rng.Float64() < cacheEventLoss {
		return
	}
	lag := time.Duration(sc.sys.rng.Int64N(int64(cacheEventLag)))
	sc.sys.sim.after(lag, func() {
		if cl.cachedOn == sc.id && sc.engine.cache.entries[cl] == nil {
			cl.cachedOn, cl.cachedTokens = "", 0
		}
	})
}

func (c *call) priority() int32 { return c.client.program.kind.priority }
