package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	tenantKey  = "k-acme-0001"
	frozenFor  = 6 * time.Second
	sentBefore = 1500 * time.Millisecond // the wake-up; clients wait longer than that for a first event
)

// publicTurn continues kept turns on a public route while one front machine stands still and wakes again.
// The clients send the key of their tenant with every request, on channels that they keep open.
func publicTurn(s *system, trouble bool) (bool, error) {
	s.extraBounds = "  strict_revoke: true\n  revoke_ms: 5000\n  quota_window_s: 5\n  quota_over: 0.1\n  quota_slack: 20\n"
	if err := s.start(); err != nil {
		return false, err
	}
	for i, zone := range zones {
		w := &worker{id: fmt.Sprintf("i-%d", i+1), service: "model", zone: zone, slots: 32, queue: 8, events: 4, work: func(*http.Request) time.Duration { return 50 * time.Millisecond }}
		if _, err := startWorker(s, w, fmt.Sprintf("%s.%d", s.net, 40+i)); err != nil {
			return false, err
		}
	}
	time.Sleep(settleTime / 2)
	route := turnRoute("chat", "/chat/", "model")
	route["public"] = true
	o := operator{system: s}
	o.tenants = []any{map[string]any{"name": "acme", "api_keys": []any{tenantKey}}}
	if _, err := o.putConfig(1, []any{route}, []any{engineService("model")}); err != nil {
		return false, err
	}
	time.Sleep(settleTime / 2)
	const programs = 8
	entry := s.entries[0]
	first := make([]answer, programs)
	channels := make([]*channel, programs)
	for i := range first {
		var err error
		if channels[i], err = open(entry); err != nil {
			return false, err
		}
		defer channels[i].conn.Close()
		first[i] = channels[i].send(http.MethodPost, "/chat/turn", turnDeadline, keyedTurn(i, ""), []byte("first input"), "keep-alive")
		if first[i].status != http.StatusOK {
			return false, fmt.Errorf("first turn: %d %v", first[i].status, first[i].err)
		}
		s.record.line("first turn %s of program-%d is answered 200 and whole", first[i].id, i)
	}
	if trouble {
		machine := []*process{entry, s.standbys[0]}
		for _, p := range machine {
			p.signal(syscall.SIGSTOP)
		}
		s.record.line("%s stands still", entry.name)
		time.AfterFunc(frozenFor, func() {
			for _, p := range machine {
				p.signal(syscall.SIGCONT)
			}
			s.record.line("%s goes on", entry.name)
		})
		time.Sleep(frozenFor - sentBefore)
	}
	unknown := 0
	var mu sync.Mutex
	var running sync.WaitGroup
	for i := range first {
		running.Go(func() {
			a := channels[i].send(http.MethodPost, "/chat/turn", turnDeadline, keyedTurn(i, first[i].id), []byte("second input"), "close")
			s.record.line("turn %s of program-%d after %s: %d %q, %v", a.id, i, first[i].id, a.status, strings.TrimSpace(a.body[:min(len(a.body), 40)]), a.err)
			mu.Lock()
			defer mu.Unlock()
			if a.status == http.StatusNotFound || a.status == http.StatusGone {
				unknown++
			}
		})
	}
	running.Wait()
	s.record.line("%d of %d turns are answered 404 although the turn before is kept", unknown, programs)
	return unknown > 0, nil
}

// keyedTurn returns the headers of a turn of a program, with the key of its tenant.
func keyedTurn(program int, previous string) map[string]string {
	header := turnHeader(fmt.Sprintf("program-%d", program), previous)
	header["Credential"] = tenantKey
	return header
}
