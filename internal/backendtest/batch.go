package backendtest

import (
	"slices"
	"time"
)

// stepInterval is the time between two steps of the batch.
const stepInterval = 2 * time.Millisecond

// run advances the batch in steps until the engine closes or crashes. It blocks while
// there are no requests.
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
		busy, crashed := e.step(now, now.Sub(last))
		last = now
		if crashed {
			go e.Crash()
			return
		}
		if !busy {
			last = e.waitForWork()
		}
	}
}

// waitForWork blocks until a request arrives or the engine closes, and returns the time
// at which it did.
func (e *Engine) waitForWork() time.Time {
	select {
	case <-e.closed:
	case <-e.wake:
	}
	return time.Now()
}

// step advances the batch by the elapsed time. It reports whether requests are left
// and whether a request crashes the engine.
func (e *Engine) step(now time.Time, elapsed time.Duration) (busy, crashed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.admitWaiting(now) {
		return false, true
	}
	seconds := elapsed.Seconds() * e.options.Speed * e.rateFactor
	e.prefill(e.options.PrefillRate * seconds)
	e.decode(e.options.DecodeRate*seconds, now)
	return len(e.running)+len(e.waiting) > 0, false
}

// admitWaiting moves waiting requests into the batch, highest priority first, up to the
// batch limit. It reports whether one of them crashes the engine. The caller holds e.mu.
func (e *Engine) admitWaiting(now time.Time) bool {
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

// start adds a request to the batch. Prompt tokens whose prefix is cached need no
// prefill.
func (e *Engine) start(r *request, now time.Time) {
	r.chain = messageChain(r.messages)
	cached, recomputed := e.cache.lookup(r.program, r.chain)
	promptTokens := chainTokens(r.chain)
	r.cachedTokens = cached
	r.prefillRemaining = float64(promptTokens - cached)
	e.stats.PromptTokens += int64(promptTokens)
	e.stats.CachedTokens += int64(cached)
	e.stats.RecomputedTokens += int64(recomputed)
	if e.cache.store(r.program, r.chain, now) {
		e.cache.adjustPins(r.program, 1)
	}
	e.running = append(e.running, r)
}

// prefill computes prompt tokens of the running requests, in the order in which they
// started, up to a budget of tokens.
func (e *Engine) prefill(budget float64) {
	for _, r := range e.running {
		spent := min(budget, r.prefillRemaining)
		r.prefillRemaining -= spent
		budget -= spent
	}
}

// decode adds answer tokens to each running request whose prefill is complete, and
// finishes those whose answer is complete.
func (e *Engine) decode(tokensPerRequest float64, now time.Time) {
	for _, r := range slices.Clone(e.running) {
		if r.prefillRemaining > 0 {
			continue
		}
		computed := len(r.available())
		r.decodedTokens += tokensPerRequest
		if len(r.available()) == len(r.text) {
			e.finish(r, finishStop, now)
			continue
		}
		if len(r.available()) > computed {
			r.notify()
		}
	}
}

// finish ends a waiting or running request with a finish reason. It does nothing if the
// request has ended. The caller holds e.mu.
func (e *Engine) finish(r *request, reason string, now time.Time) {
	if r.finishReason != "" {
		return
	}
	r.finishReason = reason
	e.waiting = removeRequest(e.waiting, r)
	if i := slices.Index(e.running, r); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		e.cache.adjustPins(r.program, -1)
		e.cacheAnswer(r, now)
	}
	e.stats.CompletionTokens += int64(r.completionTokens())
	if reason == finishCancelled {
		e.stats.Cancelled++
	} else {
		e.stats.Finished++
	}
	e.retainFinished(r)
	r.notify()
}

// cacheAnswer extends the cached prefix of the program by a complete answer.
func (e *Engine) cacheAnswer(r *request, now time.Time) {
	if r.finishReason != finishStop {
		return
	}
	answer := Message{Role: "assistant", Content: r.text}
	history := append(slices.Clone(r.messages), answer)
	e.cache.store(r.program, messageChain(history), now)
}

// removeRequest returns the list without a request.
func removeRequest(list []*request, r *request) []*request {
	if i := slices.Index(list, r); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// enqueue adds a request to the queue behind those of the same or a higher priority, and
// wakes the batch loop.
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
