package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["drain"] = drainCase }

const (
	// drainRestart is the delay after which the platform starts a killed process again.
	drainRestart = 300 * time.Millisecond
	// drainQuiet is the time from the acknowledgement until clients send again: all machines are in
	// touch then.
	drainQuiet    = drainRestart + contactTime + 200*time.Millisecond
	drainRequests = 18
	drainPause    = 50 * time.Millisecond
	// drainServes is how long the worker serves after the acknowledgement.
	drainServes = 7 * time.Second
)

// drainCase lets a worker deregister at a store, go on serving for some seconds and exit. In trouble,
// the process that has acknowledged it is killed right after that and started again.
func drainCase(rec *record, trouble bool) error {
	s, err := prepare(rec, 2)
	if err != nil {
		return err
	}
	var mu sync.Mutex
	sent := make(map[string]time.Duration)
	var late []string
	var acknowledged time.Duration // 0: not yet
	run := func(id string) func(w http.ResponseWriter, r *http.Request) {
		return func(w http.ResponseWriter, r *http.Request) {
			request := r.Header.Get("Request-Id")
			rec.add("worker %s: runs %s", id, request)
			mu.Lock()
			if id == "i-leaves" && acknowledged > 0 && sent[request] > acknowledged+drainTime {
				late = append(late, request)
			}
			mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			fmt.Fprint(w, "ok")
		}
	}
	leaver, err := s.startWorker("i-leaves", "orders", s.entries[0].zone, 6, run("i-leaves"))
	if err != nil {
		return err
	}
	defer leaver.close()
	for n := range 2 {
		id := fmt.Sprintf("i-stays-%d", n)
		if _, err := s.startWorker(id, "orders", s.entries[n].zone, 6, run(id)); err != nil {
			return err
		}
	}
	config := map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "status", "hostname": "orders.example", "path_prefix": "/status/", "route_type": "safe", "timeout_ms": 1500,
			"target_latency_ms": 250, "priority": 1, "backend": "orders", "max_attempts": 2,
		}},
		"services": []any{map[string]any{"name": "orders", "health_path": "/health", "max_connections": 130, "protocol": "h1", "tls": false}},
		"limits":   limits(),
	}
	if err := s.serveConfig(config); err != nil {
		return err
	}
	request := func(n int) {
		id := fmt.Sprintf("d%04d", n)
		mu.Lock()
		sent[id] = rec.now()
		mu.Unlock()
		entry := s.entries[n%len(s.entries)]
		got := clientRequest{
			address: entry.clients(), method: http.MethodGet, host: "orders.example", path: "/status/1",
			headers: []string{"Request-Id: " + id}, timeout: 1500 * time.Millisecond,
		}.send()
		rec.add("client: %s through %s, status %d, leaving %q", id, entry.name, got.status, got.header.Get("Server-Leaving"))
	}
	for n := range drainRequests {
		request(n)
		time.Sleep(drainPause)
	}
	leaver.silent.Store(true)
	leaver.sendReport("ready")
	leaver.leaving.Store(true)
	store := s.stores[0]
	status := post("http://"+store.control()+"/api/Instances.Deregister/"+leaver.id, map[string]any{"born": leaver.born})
	if status == http.StatusOK && trouble {
		store.signal(syscall.SIGKILL)
	}
	if status != http.StatusOK {
		return errors.New("the deregistration was not acknowledged")
	}
	at := time.Now()
	mu.Lock()
	acknowledged = rec.now()
	mu.Unlock()
	rec.add("worker i-leaves: %s has acknowledged that it is gone", store.name)
	if trouble {
		store.kill()
		rec.add("platform: %s was killed", store.name)
		time.Sleep(drainRestart)
		if err := store.start(false); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(at.Add(drainQuiet)))
	for n := range drainRequests {
		request(1000 + n)
		time.Sleep(drainPause)
	}
	time.Sleep(time.Until(at.Add(drainServes)))
	rec.add("worker i-leaves: exits")
	mu.Lock()
	defer mu.Unlock()
	if len(late) > 0 {
		return fmt.Errorf("%w: DRAIN: %d requests, sent more than %s after the acknowledgement, reached the worker: %v", errBroken, len(late), drainTime, late)
	}
	return nil
}
