package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["names"] = namesCase }

const (
	namesPerSecond = 200 // requests of the clients that do not behave
	namesDuration  = 60 * time.Second
	namesBytes     = 7_800 // of each of two names; a head may have 16,384
	namesCalmPause = 500 * time.Millisecond
	// namesAllowed is the number of times that processes of a machine may end by themselves.
	namesAllowed = 2
)

// namesCase sends turns of programs. In trouble, some clients give each program and each request a
// long name.
func namesCase(rec *record, trouble bool) error {
	s, err := prepare(rec, 0)
	if err != nil {
		return err
	}
	run := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for n := 1; n <= 3; n++ {
			fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n, n)
		}
	}
	for n := range 3 {
		if _, err := s.startWorker(fmt.Sprintf("i-%d", n), "models", s.entries[n].zone, 32, run); err != nil {
			return err
		}
	}
	route := func(name string, retain bool) map[string]any {
		return map[string]any{
			"name": name, "hostname": "chat.example", "path_prefix": "/" + name + "/", "route_type": "stream", "timeout_ms": 5000,
			"target_latency_ms": 250, "priority": 0, "backend": "models", "max_attempts": 2, "retain": retain, "retention_s": 60.0,
			"session_affinity": true, "resumable": false, "target_gap_ms": 400,
		}
	}
	config := map[string]any{
		"version": 1,
		"routes":  []any{route("kept", true), route("plain", false)},
		"services": []any{map[string]any{
			"name": "models", "health_path": "/health", "max_connections": 260, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 32, "kv_capacity": 204013, "kv_token_bytes": 131072, "link_mbps": 340000.0, "stride": 3, "models": []any{map[string]any{"name": "m"}}},
		}},
		"limits": limits(),
	}
	if err := s.serveConfig(config); err != nil {
		return err
	}
	stop := make(chan struct{})
	var background, clients sync.WaitGroup
	kills := make([]int, len(s.all()))
	most := make([]float64, len(kills))
	for i, m := range s.all() {
		background.Go(func() { most[i], kills[i] = m.limitMemory(stop) })
	}
	background.Go(func() { calmClient(rec, s, stop) })
	var status [600]atomic.Int64
	if trouble {
		ticker := time.NewTicker(time.Second / namesPerSecond)
		defer ticker.Stop()
		filler := strings.Repeat("x", namesBytes)
		for n := range int(namesDuration.Seconds() * namesPerSecond) {
			<-ticker.C
			clients.Go(func() {
				got := clientRequest{
					address: s.entries[n%len(s.entries)].clients(), method: http.MethodPost, host: "chat.example", path: "/plain/1",
					headers: []string{
						fmt.Sprintf("Request-Id: n%06d%s", n, filler), fmt.Sprintf("Program-Id: p%06d%s", n, filler),
						"Session-Id: s", "Finish-Ms: 9000", "Model: m", "Token-Budget: 1000", "Token-Count: 40,9",
					},
					body: "a question", timeout: 5 * time.Second,
				}.send()
				status[got.status].Add(1)
			})
			if n%namesPerSecond == 0 {
				line := ""
				for _, m := range s.stores {
					line += fmt.Sprintf(" %s %.0f MB", m.name, m.privateMemoryMB())
				}
				rec.add("platform:%s", line)
			}
		}
		clients.Wait()
	} else {
		time.Sleep(namesDuration)
	}
	close(stop)
	background.Wait()
	for code := range status {
		if count := status[code].Load(); count > 0 {
			rec.add("clients with long names: %d answers with status %d", count, code)
		}
	}
	ended := 0
	for i, m := range s.all() {
		rec.add("judge: %s %s used %.0f MB at most of %d MB, and was killed %d times", m.name, m.args[0], most[i], m.memoryLimit(), kills[i])
		if kills[i] > namesAllowed {
			ended++
		}
	}
	if ended >= 2 {
		return fmt.Errorf("%w: Fault: the processes of %d machines have used more than their memory more than %d times", errBroken, ended, namesAllowed)
	}
	return nil
}

// calmClient runs the turns of an ordinary program until stop is closed. Each goes on from the latest
// one that was answered whole.
func calmClient(rec *record, s *system, stop <-chan struct{}) {
	previous := ""
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(namesCalmPause):
		}
		id := fmt.Sprintf("c%04d", n)
		request := clientRequest{
			address: s.entries[n%len(s.entries)].clients(), method: http.MethodPost, host: "chat.example", path: "/kept/1",
			headers: []string{"Request-Id: " + id, "Program-Id: calm", "Session-Id: s", "Finish-Ms: 9000", "Model: m", "Token-Budget: 10000", "Token-Count: 40,9"},
			body:    "a question", timeout: 5 * time.Second,
		}
		if previous != "" {
			request.headers = append(request.headers, "Previous-Turn: "+previous)
		}
		got := request.send()
		rec.add("calm client: %s after %q, status %d, end %v", id, previous, got.status, got.err)
		if got.status == http.StatusOK && got.err == nil {
			previous = id
		}
	}
}
