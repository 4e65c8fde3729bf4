package main

import (
	"container/heap"
	"time"
)

// simulator is a queue of events in virtual time. Events of the same time run
// in the order in which they were added.
type simulator struct {
	now    time.Duration
	events eventHeap
	seq    uint64
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

// after runs fn once the delay has passed.
func (s *simulator) after(delay time.Duration, fn func()) {
	heap.Push(&s.events, event{at: s.now + max(delay, 0), seq: s.seq, run: fn})
	s.seq++
}

// every runs fn at each multiple of the period until end.
func (s *simulator) every(period, end time.Duration, fn func()) {
	s.after(period, func() {
		fn()
		if s.now < end {
			s.every(period, end, fn)
		}
	})
}

// runUntil runs the events up to end.
func (s *simulator) runUntil(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func toDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
