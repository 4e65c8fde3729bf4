package main

import (
	"container/heap"
	"time"
)

// simulator runs events in virtual time. Events with the same time run in the order in
// which they were added.
type simulator struct {
	now    time.Duration
	events eventHeap
	seq    uint64
}

// event is a function that runs at a point of virtual time.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// eventHeap is a heap of events, ordered by time and then by sequence number.
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

// after schedules fn to run after the delay. A negative delay counts as 0.
func (s *simulator) after(delay time.Duration, fn func()) {
	heap.Push(&s.events, event{at: s.now + max(delay, 0), seq: s.seq, run: fn})
	s.seq++
}

// every schedules fn to run once a period until end.
func (s *simulator) every(period, end time.Duration, fn func()) {
	s.after(period, func() {
		fn()
		if s.now < end {
			s.every(period, end, fn)
		}
	})
}

// runUntil runs all events up to and including end, and sets the time to end.
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
