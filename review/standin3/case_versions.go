package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["versions"] = versionsCase }

const (
	versionsWorkers = 7 // of which one crashes
	versionsStreams = 84
	versionsEvents  = 25
	versionsPause   = 100 * time.Millisecond
	versionsCrash   = 600 * time.Millisecond // after the streams have begun
	versionsBack    = 1100 * time.Millisecond
	versionsLate    = time.Second // of the first status report of the new boot
	// versionsAllowed is the number of streams that may hold events of two versions.
	versionsAllowed = 2
)

// streamRun returns how a worker of a software version runs streams. It goes on after Last-Event-Id.
func streamRun(rec *record, id, version string) func(w http.ResponseWriter, r *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 without
		rec.add("worker %s of %s: runs %s after event %d", id, version, r.Header.Get("Request-Id"), last)
		w.Header().Set("Content-Type", "text/event-stream")
		for n := last + 1; n <= versionsEvents; n++ {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(versionsPause):
			}
			fmt.Fprintf(w, "id: %d\ndata: %s token %d\n\n", n, version, n)
			if err := http.NewResponseController(w).Flush(); err != nil {
				return
			}
		}
	}
}

// versionsCase runs streams at workers of two software versions. In trouble, the last worker of the
// first version crashes and starts again under its id, with the second version.
func versionsCase(rec *record, trouble bool) error {
	s, err := prepare(rec, 0)
	if err != nil {
		return err
	}
	old, err := s.startWorker("i-a", "models", s.entries[0].zone, 32, streamRun(rec, "i-a", "v1"))
	if err != nil {
		return err
	}
	defer old.close()
	for n := range versionsWorkers - 1 {
		id := fmt.Sprintf("i-b%d", n)
		other := &worker{system: s, id: id, service: "models", zone: s.entries[(n+1)%zones].zone, version: "v2", slots: 32, run: streamRun(rec, id, "v2")}
		if err := other.start(s.nextIP() + ":0"); err != nil {
			return err
		}
		defer other.close()
	}
	config := map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "chat", "hostname": "chat.example", "path_prefix": "/chat/", "route_type": "stream", "timeout_ms": 5000,
			"target_latency_ms": 250, "priority": 0, "backend": "models", "max_attempts": 2, "retain": false, "retention_s": 60.0,
			"session_affinity": true, "resumable": true, "target_gap_ms": 400,
		}},
		"services": []any{map[string]any{
			"name": "models", "health_path": "/health", "max_connections": 260, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 32, "kv_capacity": 204013, "kv_token_bytes": 131072, "link_mbps": 340000.0, "stride": 3, "models": []any{map[string]any{"name": "m"}}},
		}},
		"limits": limits(),
	}
	if err := s.serveConfig(config); err != nil {
		return err
	}
	var mu sync.Mutex
	var mixed []string
	var clients sync.WaitGroup
	for n := range versionsStreams {
		clients.Go(func() {
			id := fmt.Sprintf("v%04d", n)
			got := clientRequest{
				address: s.entries[n%len(s.entries)].clients(), method: http.MethodPost, host: "chat.example", path: "/chat/1",
				headers: []string{
					"Request-Id: " + id, fmt.Sprintf("Program-Id: program-%d", n), fmt.Sprintf("Session-Id: session-%d", n), "Finish-Ms: 9000", "Model: m",
					"Token-Budget: 1000", fmt.Sprintf("Token-Count: 40,%d", 3*versionsEvents),
				},
				body: "a question", timeout: 5 * time.Second,
			}.send()
			first, second := strings.Count(got.body, "data: v1"), strings.Count(got.body, "data: v2")
			rec.add("client: %s, status %d, %d events of v1, %d of v2, end %v", id, got.status, first, second, got.err)
			if first > 0 && second > 0 {
				mu.Lock()
				mixed = append(mixed, id)
				mu.Unlock()
			}
		})
		time.Sleep(3 * time.Millisecond)
	}
	if trouble {
		time.Sleep(versionsCrash)
		address := old.address
		old.close()
		rec.add("worker i-a of v1: crashes")
		time.Sleep(versionsBack)
		again := &worker{system: s, id: "i-a", service: "models", zone: s.entries[0].zone, version: "v2", slots: 32, run: streamRun(rec, "i-a", "v2"), late: versionsLate}
		if err := again.start(address); err != nil {
			return err
		}
		defer again.close()
		rec.add("worker i-a of v2: starts")
	}
	clients.Wait()
	rec.add("judge: %d streams hold events of two versions, %d are allowed", len(mixed), versionsAllowed)
	if len(mixed) > versionsAllowed {
		return fmt.Errorf("%w: ORDER: %d streams hold events of two software versions of one service: %v", errBroken, len(mixed), mixed)
	}
	return nil
}
