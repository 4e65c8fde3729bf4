package main

import (
	"container/heap"
	"math"
	"slices"
	"time"
)

// engineSpec holds the rates and limits of a simulated model engine.
type engineSpec struct {
	batchLimit     int     // calls
	prefillRate    float64 // tokens per second; prompts are prefilled one at a time
	decodeRate     float64 // tokens per second of a single stream
	decodeSlowdown float64 // relative slowdown of all streams for each additional one in the batch
	cacheTokens    int64   // capacity of the KV cache
}

// streamRate returns the decode rate of each stream in a batch of the given size, in
// tokens per second.
func (s engineSpec) streamRate(batch int) float64 {
	return s.decodeRate / (1 + s.decodeSlowdown*float64(batch-1))
}

// idealSeconds returns the engine time of a call in a full batch if only the given
// new tokens of its prompt have to be computed.
func (s engineSpec) idealSeconds(newTokens, output int64) float64 {
	decode := float64(s.batchLimit) * s.streamRate(s.batchLimit)
	return float64(newTokens)/s.prefillRate + float64(output)/decode
}

// engine simulates a model engine with continuous batching. While a prompt is in
// prefill, no stream decodes.
type engine struct {
	sim           *simulator
	spec          engineSpec
	speed         float64 // factor on all rates, 1 is normal
	cache         *prefixCache
	prefills      []*attempt // in order; the first is in progress
	decoding      finishHeap
	decodedTokens float64 // by a stream that has been running since the start
	lastAdvance   time.Duration
	eventID       int // of the pending event; events with other IDs are ignored
	onDone        func(*attempt)
}

// running returns the number of calls in the batch.
func (e *engine) running() int { return len(e.prefills) + len(e.decoding) }

// start adds an attempt to the batch. The given number of cached tokens needs no
// prefill.
func (e *engine) start(a *attempt, cached int64) {
	e.advance()
	a.prefillLeft = float64(a.call.promptTokens - cached)
	e.prefills = append(e.prefills, a)
	e.schedule()
}

// cancel removes an attempt from the batch.
func (e *engine) cancel(a *attempt) {
	e.advance()
	isTarget := func(b *attempt) bool { return a == b }
	e.prefills = slices.DeleteFunc(e.prefills, isTarget)
	e.decoding = slices.DeleteFunc(e.decoding, isTarget)
	heap.Init(&e.decoding)
	e.schedule()
}

// clear empties the batch and the cache, as a crash does, and returns the attempts
// that were in the batch.
func (e *engine) clear() []*attempt {
	attempts := append(slices.Clone(e.prefills), e.decoding...)
	e.prefills, e.decoding = nil, nil
	e.eventID++
	e.cache.clear()
	return attempts
}

// setSpeed multiplies the rates by speed from now on.
func (e *engine) setSpeed(speed float64) {
	e.advance()
	e.speed = speed
	e.schedule()
}

// advance accounts for the work done since the previous call of advance. It must be
// called before the batch or the speed changes.
func (e *engine) advance() {
	elapsed := (e.sim.now - e.lastAdvance).Seconds() * e.speed
	e.lastAdvance = e.sim.now
	switch {
	case len(e.prefills) > 0:
		e.prefills[0].prefillLeft -= elapsed * e.spec.prefillRate
	case len(e.decoding) > 0:
		e.decodedTokens += elapsed * e.spec.streamRate(len(e.decoding))
	}
}

// schedule schedules the event at which the current prefill or the next stream ends.
func (e *engine) schedule() {
	e.eventID++
	var seconds float64
	switch {
	case len(e.prefills) > 0:
		seconds = e.prefills[0].prefillLeft / e.spec.prefillRate
	case len(e.decoding) > 0:
		seconds = (e.decoding[0].finishAt - e.decodedTokens) / e.spec.streamRate(len(e.decoding))
	default:
		return
	}
	eventID := e.eventID
	e.sim.after(toDuration(math.Max(seconds, 0)/e.speed)+1, func() {
		if eventID == e.eventID {
			e.handleEvent()
		}
	})
}

// tokenTolerance absorbs the rounding of times to nanoseconds.
const tokenTolerance = 1e-3

// handleEvent ends the current prefill, or else the streams that are complete.
func (e *engine) handleEvent() {
	e.advance()
	if len(e.prefills) > 0 {
		e.finishPrefill()
		e.schedule()
		return
	}
	var ended []*attempt
	for len(e.decoding) > 0 && e.decoding[0].finishAt <= e.decodedTokens+tokenTolerance {
		ended = append(ended, heap.Pop(&e.decoding).(*attempt))
	}
	e.schedule()
	for _, a := range ended {
		e.onDone(a)
	}
}

// finishPrefill moves the first prompt to decoding if its prefill is complete.
func (e *engine) finishPrefill() {
	a := e.prefills[0]
	if a.prefillLeft > tokenTolerance {
		return
	}
	e.prefills = e.prefills[1:]
	a.finishAt = e.decodedTokens + float64(a.call.outputTokens)
	heap.Push(&e.decoding, a)
}

// finishHeap is a heap of the decoding streams, ordered by the time of their end.
type finishHeap []*attempt

func (h finishHeap) Len() int { return len(h) }
func (h finishHeap) Less(i, j int) bool {
	if h[i].finishAt != h[j].finishAt {
		return h[i].finishAt < h[j].finishAt
	}
	return h[i].seq < h[j].seq
}
func (h finishHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *finishHeap) Push(x any) { *h = append(*h, x.(*attempt)) }

// Pop implements heap.Interface.
func (h *finishHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
