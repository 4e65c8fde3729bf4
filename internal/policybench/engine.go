package main

import (
	"container/heap"
	"math"
	"slices"
	"time"
)

// engineSpec are the rates of a fake model engine.
type engineSpec struct {
	batchLimit  int
	prefillRate float64 // tokens per second, one prompt at a time
	decodeRate  float64 // tokens per second of a single stream
	decodeDecay float64 // each further stream of the batch slows all by this share
	cacheTokens int64
}

// streamRate is the decode rate of each stream of a batch.
func (s engineSpec) streamRate(batch int) float64 {
	return s.decodeRate / (1 + s.decodeDecay*float64(batch-1))
}

// idealSeconds is the engine time of a call in a full batch whose prompt has
// the given number of tokens that were never computed before.
func (s engineSpec) idealSeconds(newTokens, output int64) float64 {
	decode := float64(s.batchLimit) * s.streamRate(s.batchLimit)
	return float64(newTokens)/s.prefillRate + float64(output)/decode
}

// engine is a fake with continuous batching. A prompt in prefill stalls the
// streams that decode.
type engine struct {
	sim      *simulator
	spec     engineSpec
	speed    float64 // 1: normal
	cache    *prefixCache
	prefills []*attempt // in order; the first is in progress
	decoding finishHeap
	decoded  float64 // tokens that each stream has decoded since the start
	last     time.Duration
	epoch    int // of the pending event
	done     func(*attempt)
}

// running returns the number of calls in the batch.
func (e *engine) running() int { return len(e.prefills) + len(e.decoding) }

// start adds an attempt to the batch, of which cached tokens need no prefill.
func (e *engine) start(a *attempt, cached int64) {
	e.advance()
	a.prefillLeft = float64(a.call.prompt - cached)
	e.prefills = append(e.prefills, a)
	e.schedule()
}

// cancel removes an attempt from the batch.
func (e *engine) cancel(a *attempt) {
	e.advance()
	same := func(b *attempt) bool { return a == b }
	e.prefills = slices.DeleteFunc(e.prefills, same)
	e.decoding = slices.DeleteFunc(e.decoding, same)
	heap.Init(&e.decoding)
	e.schedule()
}

// clear removes all attempts and the cache, as a crash does.
func (e *engine) clear() []*attempt {
	lost := append(slices.Clone(e.prefills), e.decoding...)
	e.prefills, e.decoding = nil, nil
	e.epoch++
	e.cache.clear()
	return lost
}

// setSpeed changes the rates from now on.
func (e *engine) setSpeed(speed float64) {
	e.advance()
	e.speed = speed
	e.schedule()
}

// advance accounts for the work since the last change of the batch.
func (e *engine) advance() {
	elapsed := (e.sim.now - e.last).Seconds() * e.speed
	e.last = e.sim.now
	switch {
	case len(e.prefills) > 0:
		e.prefills[0].prefillLeft -= elapsed * e.spec.prefillRate
	case len(e.decoding) > 0:
		e.decoded += elapsed * e.spec.streamRate(len(e.decoding))
	}
}

// schedule plans the end of the current prefill or of the next stream.
func (e *engine) schedule() {
	e.epoch++
	var seconds float64
	switch {
	case len(e.prefills) > 0:
		seconds = e.prefills[0].prefillLeft / e.spec.prefillRate
	case len(e.decoding) > 0:
		seconds = (e.decoding[0].finish - e.decoded) / e.spec.streamRate(len(e.decoding))
	default:
		return
	}
	epoch := e.epoch
	e.sim.after(toDuration(math.Max(seconds, 0)/e.speed)+1, func() {
		if epoch == e.epoch {
			e.step()
		}
	})
}

// tokenSlack absorbs the rounding of times to nanoseconds.
const tokenSlack = 1e-3

func (e *engine) step() {
	e.advance()
	if len(e.prefills) > 0 {
		e.endPrefill()
		e.schedule()
		return
	}
	var ended []*attempt
	for len(e.decoding) > 0 && e.decoding[0].finish <= e.decoded+tokenSlack {
		ended = append(ended, heap.Pop(&e.decoding).(*attempt))
	}
	e.schedule()
	for _, a := range ended {
		e.done(a)
	}
}

func (e *engine) endPrefill() {
	a := e.prefills[0]
	if a.prefillLeft > tokenSlack {
		return
	}
	e.prefills = e.prefills[1:]
	a.finish = e.decoded + float64(a.call.output)
	heap.Push(&e.decoding, a)
}

// finishHeap orders the streams by their end.
type finishHeap []*attempt

func (h finishHeap) Len() int { return len(h) }
func (h finishHeap) Less(i, j int) bool {
	if h[i].finish != h[j].finish {
		return h[i].finish < h[j].finish
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
