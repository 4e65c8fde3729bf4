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

// sidecar simulates the sidecar of one engine. It admits, queues and starts calls, and
// decides which prefixes the engine keeps in its cache.
type sidecar struct {
	sys          *system
	id           string
	engine       *engine
	queue        *order.Queue[*attempt]
	running      map[string]int   // calls by customer
	queued       map[*client]bool // programs with a call in the queue
	toolPauses   *retain.ToolPauses
	state        place.State
	overloaded   bool          // the engine responds with 529
	losesAnswers bool          // the engine runs calls, but their answers are lost
	meanRunTime  time.Duration // of a call on the engine, as an exponential moving average
}

// initialRunTime is the assumed run time of a call until the first one has ended.
const initialRunTime = 6 * time.Second

// runTimeWeight is the weight of the latest call in the mean run time.
const runTimeWeight = 0.05

func newSidecar(s *system, id string) *sidecar {
	sc := &sidecar{
		sys:         s,
		id:          id,
		queue:       order.NewQueue[*attempt](s.variant.order),
		running:     make(map[string]int),
		queued:      make(map[*client]bool),
		toolPauses:  retain.NewToolPauses(),
		state:       place.StateReady,
		meanRunTime: initialRunTime,
	}
	cache := newPrefixCache(s.sim, s.deployment.engine.cacheTokens)
	cache.onEvict = sc.reportEviction
	sc.engine = &engine{sim: s.sim, spec: s.deployment.engine, speed: 1, cache: cache, onDone: sc.handleDone}
	return sc
}

// announcement returns the announcement of the server as entry e stores it.
func (sc *sidecar) announcement(e *entry) place.Server {
	spec := sc.engine.spec
	running := sc.engine.running()
	inFlight := e.inFlight[sc.id]
	return place.Server{
		ID:        sc.id,
		State:     sc.state,
		ExpiresAt: sc.sys.sim.now + announcementLease,
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
		InFlight:         inFlight,
		InFlightAtReport: inFlight.Calls(),
	}
}

// submit queues an attempt, or refuses it if the server is unavailable or overloaded or
// admission control refuses the call.
func (sc *sidecar) submit(a *attempt) {
	switch {
	case sc.state == place.StateDown:
		a.fail(retry.Failure{Kind: retry.KindConnect, NotRun: true})
		return
	case sc.state == place.StateLeaving:
		a.fail(retry.Failure{Kind: retry.KindLeaving, NotRun: true})
		return
	case sc.overloaded:
		a.fail(retry.Failure{Kind: retry.KindStatus, Status: statusOverloaded, NotRun: true, RetryAfter: sc.sys.overloadRetryAfter()})
		return
	}
	d := sc.sys.variant.admit.Decide(sc.admissionRequest(a), sc.admissionLoad(a.call.priority()), sc.sys.sim.now)
	if !d.Admit {
		sc.sys.metrics.refusals[string(d.Reason)]++
		a.fail(retry.Failure{Kind: sc.sys.variant.refusalKind, NotRun: true, RetryAfter: d.RetryAfter})
		return
	}
	sc.enqueue(a)
	sc.startQueued()
}

// enqueue adds an attempt to the queue. Queue limits may refuse it, or shed another
// attempt for it.
func (sc *sidecar) enqueue(a *attempt) {
	c := a.call
	shed, err := sc.queue.Push(order.Call{
		ID:             strconv.FormatUint(a.seq, 10),
		Program:        c.client.program.id,
		Customer:       c.client.program.customer.name,
		Priority:       c.priority(),
		SharePermille:  c.client.program.customer.sharePermille,
		AttainedTokens: uint64(c.client.attainedTokens),
		Cost:           uint64(c.newTokens + c.outputTokens),
		Arrived:        sc.sys.sim.now,
		Deadline:       c.deadline,
	}, a)
	if err != nil {
		a.fail(retry.Failure{Kind: retry.KindQueueFull, NotRun: true, RetryAfter: sc.meanRunTime, Err: err})
		return
	}
	sc.queued[c.client] = true
	if shed != nil {
		delete(sc.queued, shed.Value.call.client)
		sc.sys.metrics.refusals["shed"]++
		shed.Value.fail(retry.Failure{Kind: retry.KindShed, NotRun: true, RetryAfter: sc.meanRunTime})
	}
	sc.sys.sim.after(c.deadline-sc.sys.sim.now, func() { sc.handleTimeout(a) })
}

func (sc *sidecar) admissionRequest(a *attempt) admit.Request {
	return admit.Request{
		Priority:   a.call.priority(),
		NewProgram: a.call.turn == 0 && a.call.client.parent == nil,
		RunTime:    sc.meanRunTime,
		Deadline:   a.call.deadline,
	}
}

// admissionLoad returns the load that a new call of the given priority meets, with its
// expected wait.
func (sc *sidecar) admissionLoad(priority int32) admit.Load {
	load := admit.Load{Waiting: sc.queue.Len(), Running: sc.engine.running()}
	if cache := sc.engine.cache; sc.sys.variant.retain != nil {
		load.MemoryShare = float64(cache.used) / float64(cache.capacity)
	}
	batchLimit := sc.engine.spec.batchLimit
	if sc.engine.running() >= batchLimit {
		position := sc.queue.Ahead(priority) + 1
		load.ExpectedWait = sc.meanRunTime * time.Duration(position) / time.Duration(batchLimit)
	}
	return load
}

// startQueued starts queued calls while the batch has room.
func (sc *sidecar) startQueued() {
	for sc.state != place.StateDown && sc.engine.running() < sc.engine.spec.batchLimit {
		item, ok := sc.popNext()
		if !ok {
			return
		}
		sc.start(item.Value)
	}
}

// popNext removes the next call from the queue, as the variant's rule for contract
// shares allows.
func (sc *sidecar) popNext() (order.Item[*attempt], bool) {
	now := sc.sys.sim.now
	switch sc.sys.variant.shares {
	case sharesAsHardLimits:
		return sc.queue.PopIf(now, sc.withinShare)
	case sharesAsSoftLimits:
		if item, ok := sc.queue.PopIf(now, sc.withinShare); ok {
			return item, true
		}
	}
	return sc.queue.Pop(now)
}

// withinShare reports whether the customer of c uses fewer slots than its share.
func (sc *sidecar) withinShare(c *order.Call) bool {
	return sc.running[c.Customer] < admit.SlotLimit(sc.engine.spec.batchLimit, c.SharePermille)
}

// start starts an attempt on the engine and records the pause before the call.
func (sc *sidecar) start(a *attempt) {
	c := a.call
	a.started = sc.sys.sim.now
	delete(sc.queued, c.client)
	sc.running[c.client.program.customer.name]++
	cached := sc.engine.cache.acquire(c.client, c.promptTokens+c.outputTokens)
	cached = min(cached, c.promptTokens-c.newTokens)
	sc.sys.metrics.recordRecomputed(sc.sys.sim.now, c.promptTokens-c.newTokens-cached)
	if c.client.pauseTool != "" {
		sc.toolPauses.Observe(c.client.pauseTool, c.started-c.client.pausedAt)
		c.client.pauseTool = ""
	}
	sc.engine.start(a, cached)
}

// handleDone handles the end of an attempt on the engine.
func (sc *sidecar) handleDone(a *attempt) {
	c := a.call
	sc.running[c.client.program.customer.name]--
	runTime := sc.sys.sim.now - a.started
	sc.meanRunTime += time.Duration(runTimeWeight * float64(runTime-sc.meanRunTime))
	if sc.losesAnswers {
		sc.engine.cache.release(c.client, true)
		a.fail(retry.Failure{Kind: retry.KindConnectionLost})
		sc.startQueued()
		return
	}
	a.inFlight.End()
	c.finished = true
	c.client.cachedOn, c.client.cachedTokens = sc.id, c.promptTokens+c.outputTokens
	entry := sc.engine.cache.release(c.client, true)
	c.client.handleAnswer(c)
	sc.setKeepTime(entry)
	sc.startQueued()
}

// handleTimeout ends an attempt if it is still queued or running at its deadline.
func (sc *sidecar) handleTimeout(a *attempt) {
	if a.call.currentAttempt != a || a.call.finished {
		return
	}
	if _, queued := sc.queue.Remove(strconv.FormatUint(a.seq, 10)); !queued {
		sc.running[a.call.client.program.customer.name]--
		sc.engine.cancel(a)
		sc.engine.cache.release(a.call.client, false)
	}
	delete(sc.queued, a.call.client)
	a.fail(retry.Failure{Kind: retry.KindTimeout})
	sc.startQueued()
}

// setKeepTime sets how long the prefix is kept while the program pauses.
func (sc *sidecar) setKeepTime(entry *cacheEntry) {
	policy := sc.sys.variant.retain
	if policy == nil || entry.activeCalls > 0 {
		return
	}
	entry.tool = entry.client.pauseTool
	entry.keepUntil = sc.sys.sim.now + policy.KeepFor(sc.toolPauses, entry.tool)
	if float64(sc.engine.cache.used) > policy.HighWatermark*float64(sc.engine.cache.capacity) {
		sc.releasePrefixes()
	}
}

// releasePrefixes releases the prefixes that the retention policy selects.
func (sc *sidecar) releasePrefixes() {
	policy := sc.sys.variant.retain
	if policy == nil || sc.state == place.StateDown {
		return
	}
	cache := sc.engine.cache
	for _, release := range policy.PlanReleases(sc.toolPauses, sc.holds(), cache.capacity, sc.sys.sim.now) {
		cl := sc.sys.clients[release.Program]
		entry := cache.entries[cl]
		if release.Reason == retain.ReasonKeptTooLong && entry.tool != "" {
			sc.toolPauses.ObserveAbandoned(entry.tool)
		}
		cache.remove(entry)
		sc.reportEviction(cl)
	}
}

// holds returns the idle prefixes, and the prefixes in use as a single hold.
func (sc *sidecar) holds() []retain.Hold {
	cache := sc.engine.cache
	holds := make([]retain.Hold, 0, cache.idle.Len()+1)
	idleTokens := int64(0)
	for element := cache.idle.Front(); element != nil; element = element.Next() {
		e := element.Value.(*cacheEntry)
		idleTokens += e.tokens
		holds = append(holds, retain.Hold{
			Program:   e.client.program.id,
			Customer:  e.client.program.customer.name,
			Tool:      e.tool,
			Tokens:    e.tokens,
			Busy:      sc.queued[e.client],
			Ended:     e.client.ended || e.client.cachedOn != sc.id,
			PausedAt:  e.lastUsed,
			KeepUntil: e.keepUntil,
		})
	}
	return append(holds, retain.Hold{Busy: true, Tokens: cache.used - idleTokens})
}

// reportEviction tells the entries that a prefix was removed from the cache. Reports
// are delayed at random, and a share of cacheEventLossShare is lost.
func (sc *sidecar) reportEviction(cl *client) {
	if sc.sys.rng.Float64() < cacheEventLossShare {
		return
	}
	delay := time.Duration(sc.sys.rng.Int64N(int64(maxCacheEventDelay)))
	sc.sys.sim.after(delay, func() {
		if cl.cachedOn == sc.id && sc.engine.cache.entries[cl] == nil {
			cl.cachedOn, cl.cachedTokens = "", 0
		}
	})
}

func (c *call) priority() int32 { return c.client.program.kind.priority }
