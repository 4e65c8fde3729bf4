package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

func init() { cases["quota"] = quotaCase }

// The limit of the client account of the case, and how the settings measure it.
const (
	quotaRate   = 10.0
	quotaBurst  = 10.0
	quotaWindow = 5 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 20.0

	quotaUsual      = 8 // requests a second
	quotaHot        = 60
	quotaUsualTime  = 4 * time.Second
	quotaHotTime    = 6500 * time.Millisecond
	quotaWork       = 150 * time.Millisecond
	quotaAim        = 250 * time.Millisecond
	quotaLeaveAfter = 40 * time.Millisecond // the latest, half of the objective at most
)

// sentAndRun is a request that a worker has begun to run.
type sentAndRun struct{ sent, ran time.Duration }

// quotaCase sends more requests of one account than its limit allows. In trouble, its clients leave
// soon after they have sent their requests.
func quotaCase(rec *record, trouble bool) error {
	s, err := prepare(rec, 2)
	if err != nil {
		return err
	}
	var mu sync.Mutex
	sent := make(map[string]time.Duration)
	var ran []sentAndRun
	run := func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Request-Id")
		mu.Lock()
		ran = append(ran, sentAndRun{sent: sent[id], ran: rec.now()})
		mu.Unlock()
		rec.add("worker: runs %s of %s", id, r.Header.Get("Tenant"))
		select {
		case <-r.Context().Done():
			return
		case <-time.After(quotaWork):
		}
		fmt.Fprint(w, "ok")
	}
	for i := range 4 {
		if _, err := s.startWorker(fmt.Sprintf("i-%d", i), "orders", s.entries[i%3].zone, 16, run); err != nil {
			return err
		}
	}
	config := map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "status", "hostname": "orders.example", "path_prefix": "/status/", "route_type": "safe", "timeout_ms": 1500,
			"target_latency_ms": quotaAim.Milliseconds(), "priority": 1, "backend": "orders", "max_attempts": 2,
		}},
		"services": []any{map[string]any{"name": "orders", "health_path": "/health", "max_connections": 200, "protocol": "h1", "tls": false}},
		"tenants": []any{
			map[string]any{"name": "hot", "api_keys": []string{"key-hot"}, "rate_per_s": quotaRate, "burst": quotaBurst},
		},
		"limits": limits(),
	}
	if err := s.serveConfig(config); err != nil {
		return err
	}
	var clients sync.WaitGroup
	load := func(perSecond int, duration time.Duration) {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for range int(duration.Seconds() * float64(perSecond)) {
			<-ticker.C
			request := clientRequest{
				address: s.entries[rand.IntN(len(s.entries))].clients(), method: http.MethodGet, host: "orders.example", path: "/status/1",
				timeout: 1500 * time.Millisecond,
			}
			if trouble {
				request.leaveAfter = quotaLeaveAfter/4 + rand.N(quotaLeaveAfter*3/4)
			}
			mu.Lock()
			id := fmt.Sprintf("q%06d", len(sent))
			sent[id] = rec.now()
			mu.Unlock()
			request.headers = []string{"Request-Id: " + id, "Credential: key-hot"}
			clients.Go(func() {
				got := request.send()
				rec.add("client: %s, leaves after %d ms, status %d", id, request.leaveAfter.Milliseconds(), got.status)
			})
		}
	}
	load(quotaUsual, quotaUsualTime)
	load(quotaHot, quotaHotTime)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	most := mostInWindow(ran, quotaWindow)
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOver) + quotaSlack
	rec.add("judge: %d requests ran; at most %d in %s, %g allowed", len(ran), most, quotaWindow, allowed)
	if float64(most) > allowed {
		return fmt.Errorf("%w: QUOTA: %d requests of one tenant were sent and run within %s, %g are allowed", errBroken, most, quotaWindow, allowed)
	}
	return nil
}

// mostInWindow returns the largest number of requests that were both sent and run within a window.
func mostInWindow(list []sentAndRun, window time.Duration) int {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b sentAndRun) int { return int(a.sent - b.sent) })
	most := 0
	for i, first := range list {
		count := 0
		for _, other := range list[i:] {
			if other.ran <= first.sent+window {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}
