package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// longInput is the size of a turn's input; max_body_bytes is 4194304.
	longInput  = 4_000_000
	shortInput = 1_000
	chainTurns = 5
)

// longChain runs a program whose turns have inputs a little below max_body_bytes. Each turn of
// the chain that was answered whole must be continued for retention_s.
func longChain(s *system, trouble bool) (bool, error) {
	if err := s.start(); err != nil {
		return false, err
	}
	var workers []*worker
	for i, zone := range zones {
		w := &worker{id: fmt.Sprintf("i-%d", i+1), service: "model", zone: zone, slots: 32, queue: 8, events: 4, work: func(*http.Request) time.Duration { return 50 * time.Millisecond }}
		if _, err := startWorker(s, w, fmt.Sprintf("%s.%d", s.net, 40+i)); err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	time.Sleep(settleTime / 2)
	if _, err := (operator{system: s}).putConfig(1, []any{turnRoute("chat", "/chat/", "model")}, []any{engineService("model")}); err != nil {
		return false, err
	}
	time.Sleep(settleTime / 2)
	size := shortInput
	if trouble {
		size = longInput
	}
	input := []byte(strings.Repeat("x", size))
	previous := ""
	for turn := 1; turn <= chainTurns; turn++ {
		done, err := s.takeTurn(workers, "program-1", turn, previous, input)
		if err != nil || done.status != http.StatusOK {
			return turn > 1 && err == nil, err
		}
		previous = done.id
	}
	return false, nil
}

// takeTurn sends a turn until it is answered whole, with at most eight tries. Before each try, a
// first turn of another program shows that the system serves such. It returns the last answer.
func (s *system) takeTurn(workers []*worker, program string, turn int, previous string, input []byte) (answer, error) {
	var a answer
	reached, firstReached := 0, 0
	const tries = 8
	for try := 1; try <= tries; try++ {
		entry := s.entries[try%len(s.entries)]
		first := s.sendTurn(entry, fmt.Sprintf("other-%d-%d", turn, try), "", []byte("a first turn"))
		if first.status == http.StatusOK {
			firstReached++
		}
		a = s.sendTurn(entry, program, previous, input)
		runs := 0
		for _, w := range workers {
			w.mu.Lock()
			runs += w.runs[a.id]
			w.mu.Unlock()
		}
		s.record.line("turn %d of %s (%d bytes, previous %q), try %d at %s: %s answered %d %q after %d ms, %v; runs at workers: %d",
			turn, program, len(input), previous, try, entry.name, a.id, a.status, strings.TrimSpace(a.body[:min(len(a.body), 40)]), a.took.Milliseconds(), a.err, runs)
		reached += runs
		if a.status == http.StatusOK {
			return a, nil
		}
		time.Sleep(400 * time.Millisecond)
	}
	s.record.line("turn %d of %s reached a worker %d times in %d tries; of %d first turns of other programs %d were served", turn, program, reached, tries, tries, firstReached)
	if reached > 0 || firstReached*10 < tries*9 {
		return a, fmt.Errorf("turn %d: the conditions of the rule were not met", turn)
	}
	return a, nil
}

func (s *system) sendTurn(entry *process, program, previous string, input []byte) answer {
	return send(entry, http.MethodPost, "/chat/turn", turnDeadline, turnHeader(program, previous), input)
}

const turnDeadline = 5 * time.Second

// turnHeader returns the headers of a turn.
func turnHeader(program, previous string) map[string]string {
	header := map[string]string{"Program-Id": program, "Session-Id": program + "-line", "Finish-Ms": "90000", "Token-Budget": "100000", "Token-Count": "1840,12",
		"Model": "m", "Prefix-Hash": "5c1e07a2:800,91bd3f06:410"}
	if previous != "" {
		header["Previous-Turn"] = previous
	}
	return header
}
