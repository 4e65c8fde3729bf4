package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// worker is a backend server.
type worker struct {
	system  *system
	id      string
	service string
	zone    string
	version string
	slots   int
	born    int64
	run     func(w http.ResponseWriter, r *http.Request)

	address  string
	server   *http.Server
	sequence atomic.Int64
	silent   atomic.Bool // sends no status reports any more
	leaving  atomic.Bool
	stop     chan struct{}
	stopped  sync.Once
}

// startWorker starts a worker that reports itself. run handles a request that is the worker's.
func (s *system) startWorker(id, service, zone string, slots int, run func(w http.ResponseWriter, r *http.Request)) (*worker, error) {
	w := &worker{system: s, id: id, service: service, zone: zone, version: "v1", slots: slots, run: run}
	return w, w.start(s.nextIP() + ":0")
}

// start starts a boot of the worker at an address.
func (w *worker) start(address string) error {
	w.born, w.stop = time.Now().UnixMilli(), make(chan struct{})
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.address = l.Addr().String()
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve), IdleTimeout: 5 * time.Second, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = w.server.Serve(l) }() // ends with close
	go w.report()
	return nil
}

func (w *worker) close() {
	w.stopped.Do(func() { close(w.stop) })
	w.server.Close()
}

// status returns the content of a status report.
func (w *worker) status(state string) map[string]any {
	return map[string]any{
		"backend": w.service, "address": w.address, "zone": w.zone, "version": w.version, "slots": w.slots,
		"state": state, "cold_remaining_ms": 0, "sequence": w.sequence.Add(1), "born": w.born,
	}
}

// report sends status reports, each to the first node that acknowledges it.
func (w *worker) report() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		if !w.silent.Load() {
			w.sendReport("ready")
		}
		select {
		case <-w.stop:
			return
		case <-ticker.C:
		}
	}
}

func (w *worker) sendReport(state string) {
	body := w.status(state)
	for _, address := range w.system.controls() {
		if post("http://"+address+"/api/Instances.Heartbeat/"+w.id, body) == http.StatusOK {
			return
		}
	}
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	header := rw.Header()
	if r.URL.Path == "/health" {
		header.Set("Instance-Id", w.id)
		return
	}
	id := r.Header.Get("Request-Id")
	header.Set("Request-Id", id)
	if w.leaving.Load() {
		header.Set("Server-Leaving", "1")
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		header.Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		header.Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	header.Set("Response-Seal", fmt.Sprintf("%s.%s", w.id, id))
	w.run(rw, r)
}
