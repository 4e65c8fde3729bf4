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

// services is the number of services, each with one faulty and one sound worker.
const services = 4

// lateCopy sends requests that must not run twice to services that are full at times. One of the
// two workers of each sends a copy of a few of its refusals late, at the point where the next
// answer on the channel is expected.
func lateCopy(s *system, trouble bool) (bool, error) {
	const (
		work  = 70 * time.Millisecond
		slots = 2    // of each worker
		load  = 0.65 // of what the slots can run
	)
	if err := s.start(); err != nil {
		return false, err
	}
	start := time.Now()
	garbles := func() bool {
		return time.Since(start)%(garbledFor+garbledPause) < garbledFor && rand.Float64() < garbledShare
	}
	var workers []*worker
	var routes, served []any
	for i := range services {
		name := fmt.Sprintf("app-%d", i+1)
		routes = append(routes, plainRoute(name, "/"+name+"/", "unsafe", name, 2000))
		served = append(served, plainService(name))
		for j := range 2 {
			w := &worker{id: fmt.Sprintf("i-%d-%d", i+1, j+1), service: name, zone: zones[j], slots: slots, work: func(*http.Request) time.Duration { return work }}
			if trouble && j == 0 {
				w.lateCopy = garbles
			}
			if _, err := startWorker(s, w, fmt.Sprintf("%s.%d", s.net, 40+2*i+j)); err != nil {
				return false, err
			}
			workers = append(workers, w)
		}
	}
	time.Sleep(settleTime / 2)
	if _, err := (operator{system: s}).putConfig(1, routes, served); err != nil {
		return false, err
	}
	time.Sleep(settleTime / 2)
	answers := s.load(80*time.Second, load*services*2*slots/work.Seconds(), func(entry *process) answer {
		return send(entry, http.MethodPost, fmt.Sprintf("/app-%d/new", 1+rand.IntN(services)), 2*time.Second, nil, []byte("one ticket"))
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
