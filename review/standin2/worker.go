package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeatInterval is the pause between two status reports of a worker.
const heartbeatInterval = 1200 * time.Millisecond

// run is a request that a worker ran.
type run struct {
	id, worker string
	body       string
	at         time.Time
}

// worker is a sound model worker: it answers a turn by a stream of events.
type worker struct {
	id, service, version string
	events               int           // of each stream
	gap                  time.Duration // between two events
	deployment           *deployment
	listener             net.Listener
	server               *http.Server
	born                 int64
	sequence             int
	stop                 context.CancelFunc
	reports              sync.WaitGroup

	mu   sync.Mutex
	runs []run
}

// stride is the number of tokens in an event.
const stride = 3

// startWorker starts a worker on a loopback address of its own.
func startWorker(d *deployment, number int, service, version string, events int, gap time.Duration) (*worker, error) {
	w := &worker{id: fmt.Sprintf("i-%s-%d", service, number), service: service, version: version, events: events, gap: gap, deployment: d, born: time.Now().UnixMilli()}
	var err error
	if w.listener, err = net.Listen("tcp", fmt.Sprintf("%s.%d:0", d.network, 200+number)); err != nil {
		return nil, err
	}
	w.begin(0)
	return w, nil
}

// begin serves requests, and reports the start after a delay.
func (w *worker) begin(delay time.Duration) {
	w.server = &http.Server{Handler: w.handler(w.version)}
	server, listener := w.server, w.listener
	go func() { _ = server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	w.reports.Go(func() {
		select {
		case <-ctx.Done():
		case <-time.After(delay):
			w.report(ctx)
		}
	})
}

// crash ends the worker without a word. Its channels are closed.
func (w *worker) crash() {
	w.close()
	w.deployment.record.add("worker %s: crashes", w.id)
}

// restart starts the worker under its ID and at its address, with another version of its software. Its
// first report is sent after a delay.
func (w *worker) restart(version string, delay time.Duration) error {
	var err error
	if w.listener, err = net.Listen("tcp", w.listener.Addr().String()); err != nil {
		return err
	}
	w.version, w.born, w.sequence = version, time.Now().UnixMilli(), 0
	w.deployment.record.add("worker %s: starts with version %s, born %d", w.id, version, w.born)
	w.begin(delay)
	return nil
}

func (w *worker) close() {
	w.stop()
	w.reports.Wait()
	_ = w.server.Close()
}

// report sends a status report at each interval, to the first machine that acknowledges it.
func (w *worker) report(ctx context.Context) {
	for {
		w.sequence++
		body, err := json.Marshal(map[string]any{
			"backend": w.service, "address": w.listener.Addr().String(), "zone": "zone-a", "version": w.version, "slots": 32, "state": "ready",
			"cold_remaining_ms": 0, "sequence": w.sequence, "born": w.born, "stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
		})
		if err != nil {
			return
		}
		for _, address := range w.deployment.controls() {
			status, _, err := send(http.MethodPost, "http://"+address+"/api/Instances.Heartbeat/"+w.id, body)
			if err == nil && status/100 == 2 {
				break
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// runsOf returns the runs of all workers by request.
func runsOf(workers []*worker) map[string][]run {
	all := make(map[string][]run)
	for _, w := range workers {
		w.mu.Lock()
		for _, r := range w.runs {
			all[r.id] = append(all[r.id], r)
		}
		w.mu.Unlock()
	}
	return all
}

// handler returns the handler of one start of the worker.
func (w *worker) handler(version string) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.serve(rw, r, version) })
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request, version string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	rw.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	w.runs = append(w.runs, run{id: id, worker: w.id, body: string(body), at: time.Now()})
	w.mu.Unlock()
	w.deployment.record.add("worker %s %s: runs %s, Last-Event-Id %q, body %s", w.id, version, id, r.Header.Get("Last-Event-Id"), brief(string(body)))
	rw.Header().Set("Response-Seal", w.id+"."+id)
	rw.Header().Set("Weight-Versions", "1")
	rw.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for i := first; i <= w.events; i++ {
		if i > first {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(w.gap):
			}
		}
		fmt.Fprintf(rw, "id: %d\nevent: %s\ndata: %s\n\n", i, version, eventText(i))
		if http.NewResponseController(rw).Flush() != nil {
			return
		}
	}
}

// eventText is the data of the event with an ID.
func eventText(id int) string { return fmt.Sprintf("piece %d", id) }
