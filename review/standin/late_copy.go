package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// garbledShare is the share of its refusals that a faulty worker sends a second time, for
	// garbledFor at a time with garbledPause in between.
	garbledShare = 0.03
	garbledFor   = 5 * time.Second
	garbledPause = time.Second
)

// lateCopy sends requests that must not run twice to a service that is full at times. Its worker
// sends a copy of a few of its refusals late, at the point where the next answer on the channel
// is expected.
func lateCopy(s *system, trouble bool) (bool, error) {
	const (
		work  = 70 * time.Millisecond
		slots = 2
		load  = 0.75 // of what the slots can run
	)
	if err := s.start(); err != nil {
		return false, err
	}
	faulty := &worker{id: "i-1", service: "app", zone: zones[0], slots: slots, work: func(*http.Request) time.Duration { return work }}
	sound := &worker{id: "i-2", service: "other", zone: zones[1], slots: slots}
	if trouble {
		start := time.Now()
		faulty.lateCopy = func() bool {
			return time.Since(start)%(garbledFor+garbledPause) < garbledFor && rand.Float64() < garbledShare
		}
	}
	workers := []*worker{faulty, sound}
	for i, w := range workers {
		if _, err := startWorker(s, w, fmt.Sprintf("%s.%d", s.net, 40+i)); err != nil {
			return false, err
		}
	}
	time.Sleep(settleTime / 2)
	routes := []any{plainRoute("ticket", "/ticket/", "unsafe", "app", 2000), plainRoute("other", "/other/", "unsafe", "other", 2000)}
	if _, err := (operator{system: s}).putConfig(1, routes, []any{plainService("app"), plainService("other")}); err != nil {
		return false, err
	}
	time.Sleep(settleTime / 2)
	answers := s.load(80*time.Second, load*slots/work.Seconds(), func(entry *process) answer {
		return send(entry, http.MethodPost, "/ticket/new", 2*time.Second, nil, []byte("one ticket"))
	})
	time.Sleep(time.Second) // longer than any request runs
	return s.checkOnce(answers, workers), nil
}

// load sends attempts at random times to the entries in turn, and returns their answers.
func (s *system) load(length time.Duration, perSecond float64, one func(entry *process) answer) []answer {
	var mu sync.Mutex
	var answers []answer
	var running sync.WaitGroup
	next := time.Now()
	end := next.Add(length)
	for i := 0; next.Before(end); i++ {
		time.Sleep(time.Until(next))
		next = next.Add(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		entry := s.entries[i%len(s.entries)]
		running.Go(func() {
			a := one(entry)
			s.record.line("client of %s gets %d for %s after %d ms, %v", entry.name, a.status, a.id, a.took.Milliseconds(), a.err)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
	}
	running.Wait()
	return answers
}

// checkOnce reports whether a request that must not run twice did so, or ran although its client
// was told that it did not.
func (s *system) checkOnce(answers []answer, workers []*worker) bool {
	twice, refusedAndRun, statuses := 0, 0, make(map[int]int)
	for _, a := range answers {
		statuses[a.status]++
		runs := 0
		for _, w := range workers {
			w.mu.Lock()
			runs += w.runs[a.id]
			w.mu.Unlock()
		}
		if runs > 1 {
			twice++
			s.record.line("TWICE: %s ran %d times, its client got %d", a.id, runs, a.status)
		}
		if runs > 0 && (a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421) {
			refusedAndRun++
			s.record.line("REFUSED: %s ran %d times, its client got %d", a.id, runs, a.status)
		}
	}
	s.record.line("%d requests, answers by status %v; %d ran twice, %d ran although refused", len(answers), statuses, twice, refusedAndRun)
	return twice > 0 || refusedAndRun > 0
}
