package backendtest

import (
	"slices"
	"time"
)

// stepInterval is the time between two steps of the batch.
const stepInterval = 2 * time.Millisecond

// run steps the batch until the engine closes. It sleeps while nothing runs.
func (e *Engine) run() {
	defer close(e.stopped)
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-e.closed:
			return
		case <-ticker.C:
		}
		now := time.Now()
		busy, crash := e.step(now, now.Sub(last))
		last = now
		if crash {
			go e.Crash()
			return
		}
		if !busy {
			last = e.waitForWork()
		}
	}
}

// waitForWork blocks until a request arrives or the engine closes.
func (e *Engine) waitForWork() time.Time {
	select {
	case <-e.closed:
	case <-e.wake:
	}
	return time.Now()
}

// step advances the batch by the elapsed time. It reports whether work is left
// and whether a request crashes the engine.
func (e *Engine) step(now time.Time, elapsed time.Duration) (busy, crash bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fillBatch(now) {
		return false, true
	}
	seconds := elapsed.Seconds() * e.options.Speed * e.slowFactor
	e.prefill(e.options.PrefillRate * seconds)
	e.decode(e.options.DecodeRate*seconds, now)
	return len(e.running)+len(e.waiting) > 0, false
}

// fillBatch starts waiting requests, highest priority first. It reports
// whether one of them crashes the engine.
func (e *Engine) fillBatch(now time.Time) bool {
	for len(e.running) < e.options.BatchLimit && len(e.waiting) > 0 {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		if r.contains(e.options.CrashMarker) {
			return true
		}
		e.start(r, now)
	}
	e.stats.MaxRunning = max(e.stats.MaxRunning, len(e.running))
	return false
}

func (e *Engine) start(r *request, now time.Time) {
	r.chain = chainOf(r.messages)
	cached, recomputed := e.cache.lookup(r.program, r.chain)
	prompt := chainTokens(r.chain)
	r.cached = cached
	r.prefillLeft = float64(prompt - cached)
	e.stats.PromptTokens += int64(prompt)
	e.stats.CachedTokens += int64(cached)
	e.stats.RecomputedTokens += int64(recomputed)
	if e.cache.store(r.program, r.chain, now) {
		e.cache.pin(r.program, 1)
	}
	e.running = append(e.running, r)
}

// prefill spends a budget of prompt tokens on the running requests in order.
func (e *Engine) prefill(budget float64) {
	for _, r := range e.running {
		spent := min(budget, r.prefillLeft)
		r.prefillLeft -= spent
		budget -= spent
	}
}

// decode adds tokens to each running request whose prompt is computed.
func (e *Engine) decode(tokens float64, now time.Time) {
	for _, r := range slices.Clone(e.running) {
		if r.prefillLeft > 0 {
			continue
		}
		before := len(r.available())
		r.decoded += tokens
		if len(r.available()) == len(r.text) {
			e.finish(r, finishStop, now)
			continue
		}
		if len(r.available()) > before {
			r.notify()
		}
	}
}

// finish ends a request that waits or runs.
func (e *Engine) finish(r *request, reason string, now time.Time) {
	if r.finish != "" {
		return
	}
	r.finish = reason
	e.waiting = removeRequest(e.waiting, r)
	if i := slices.Index(e.running, r); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		e.cache.pin(r.program, -1)
		e.cacheAnswer(r, now)
	}
	e.stats.CompletionTokens += int64(r.completionTokens())
	if reason == finishCancelled {
		e.stats.Cancelled++
	} else {
		e.stats.Finished++
	}
	e.retain(r)
	r.notify()
}

// cacheAnswer extends the cached prefix of the program by a whole answer.
func (e *Engine) cacheAnswer(r *request, now time.Time) {
	if r.finish != finishStop {
		return
	}
	answer := Message{Role: "assistant", Content: r.text}
	whole := append(slices.Clone(r.messages), answer)
	e.cache.store(r.program, chainOf(whole), now)
}

func removeRequest(list []*request, r *request) []*request {
	if i := slices.Index(list, r); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// enqueue adds a request behind those of the same or a higher priority.
func (e *Engine) enqueue(r *request) {
	e.arrivals++
	r.arrival = e.arrivals
	i, _ := slices.BinarySearchFunc(e.waiting, r, compareRequests)
	e.waiting = slices.Insert(e.waiting, i, r)
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// compareRequests orders by priority, highest first, then by arrival.
func compareRequests(a, b *request) int {
	if a.priority != b.priority {
		return b.priority - a.priority
	}
	if a.arrival < b.arrival {
		return -1
	}
	return 1
}
