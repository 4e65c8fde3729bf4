package main

import (
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["start"] = startCase }

// startWait is how long the operator sends the first config.
const startWait = 25 * time.Second

// startRequests is the number of requests that clients send to the entries afterwards.
const startRequests = 30

// startKills are the kills of all processes of the core, each back well within a second, from the
// start of the system on.
var startKills = []struct{ at, back time.Duration }{
	{30 * time.Millisecond, 750 * time.Millisecond},
	{785 * time.Millisecond, 1500 * time.Millisecond},
	{1535 * time.Millisecond, 2100 * time.Millisecond},
}

// startCase starts a system, sends it its first config and then requests. In trouble, all processes of
// the core are killed three times in the first seconds.
func startCase(rec *record, trouble bool) error {
	begin := time.Now()
	s, err := prepare(rec, 0)
	if err != nil {
		return err
	}
	core := append(append([]*machineProcess{}, s.stores...), s.standbys...)
	for _, k := range startKills {
		if !trouble {
			break
		}
		time.Sleep(time.Until(begin.Add(k.at)))
		for _, m := range core {
			m.signal(syscall.SIGKILL)
		}
		for _, m := range core {
			m.kill()
		}
		rec.add("platform: all processes of the core were killed")
		time.Sleep(time.Until(begin.Add(k.back)))
		for _, m := range core {
			if err := m.start(false); err != nil {
				return err
			}
		}
	}
	w, err := s.startWorker("i-0", "orders", s.entries[0].zone, 6, func(w http.ResponseWriter, r *http.Request) {
		rec.add("worker: runs %s", r.Header.Get("Request-Id"))
		fmt.Fprint(w, "ok")
	})
	if err != nil {
		return err
	}
	defer w.close()
	acknowledged := sendFirstConfig(rec, s)
	time.Sleep(contactTime)
	served := 0
	for n := range startRequests {
		id := fmt.Sprintf("s%04d", n)
		got := clientRequest{
			address: s.entries[n%len(s.entries)].clients(), method: http.MethodGet, host: "orders.example", path: "/status/1",
			headers: []string{"Request-Id: " + id}, timeout: 1500 * time.Millisecond,
		}.send()
		rec.add("client: %s, status %d", id, got.status)
		if got.status == http.StatusOK {
			served++
		}
	}
	rec.add("judge: first config acknowledged %v, %d of %d requests served", acknowledged, served, startRequests)
	if served > 0 {
		return nil
	}
	if !trouble {
		return errors.New("the system does not serve without the disruption")
	}
	return fmt.Errorf("%w: Fault: no request is served, %d of %d; first config acknowledged: %v", errBroken, served, startRequests, acknowledged)
}

// sendFirstConfig sends the first config until it is acknowledged, and reports whether it was.
func sendFirstConfig(rec *record, s *system) bool {
	config := map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "status", "hostname": "orders.example", "path_prefix": "/status/", "route_type": "safe", "timeout_ms": 1500,
			"target_latency_ms": 250, "priority": 1, "backend": "orders", "max_attempts": 2,
		}},
		"services": []any{map[string]any{"name": "orders", "health_path": "/health", "max_connections": 130, "protocol": "h1", "tls": false}},
		"limits":   limits(),
	}
	for end := time.Now().Add(startWait); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, address := range s.controls() {
			status := post("http://"+address+"/api/Config.Replace", config)
			rec.add("operator: status %d from %s", status, address)
			if status == http.StatusOK {
				return true
			}
		}
	}
	return false
}
