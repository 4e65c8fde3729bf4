package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in for a backend server. It serves one request at a time on a channel and
// reports itself to the system.
type worker struct {
	id, service, zone string
	slots             int // requests that run at once
	queue             int // requests that wait for a slot
	version           string
	work              func(r *http.Request) time.Duration // how long a request runs
	// lateCopy reports whether a refusal is sent a second time, at the point where the next
	// response on its channel is expected.
	lateCopy func() bool
	events   int // of the streams of turns

	system   *system
	listener net.Listener
	born     time.Time
	busy     chan struct{} // slots
	waiting  chan struct{} // places in the queue and in the slots
	stopped  chan struct{}

	mu       sync.Mutex
	runs     map[string]int // by Request-Id
	sequence int
}

func startWorker(s *system, w *worker, ip string) (*worker, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	w.system, w.listener, w.born = s, listener, time.Now()
	w.busy, w.waiting, w.stopped = make(chan struct{}, w.slots), make(chan struct{}, w.slots+w.queue), make(chan struct{})
	w.runs = make(map[string]int)
	if w.version == "" {
		w.version = "v1"
	}
	go w.accept()
	go w.report()
	return w, nil
}

func (w *worker) stop() {
	close(w.stopped)
	w.listener.Close()
}

// report sends a status report about every 1.2 s, to another node if one does not accept it.
func (w *worker) report() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	addresses := w.system.controlAddresses()
	next := 0
	for {
		w.sequence++
		body, _ := json.Marshal(map[string]any{"backend": w.service, "address": w.listener.Addr().String(), "zone": w.zone, "version": w.version,
			"slots": w.slots, "state": "ready", "cold_remaining_ms": 0, "sequence": w.sequence, "born": w.born.UnixMilli()})
		for range addresses {
			status, _, err := post(client, http.MethodPost, "http://"+addresses[next]+"/api/Instances.Heartbeat/"+w.id, body)
			if err == nil && status/100 == 2 {
				break
			}
			next = (next + 1) % len(addresses)
		}
		select {
		case <-w.stopped:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (w *worker) accept() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.serve(conn)
	}
}

// serve serves the requests of one channel, one after another.
func (w *worker) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	late := "" // a copy of the refusal before
	for {
		_ = conn.SetReadDeadline(time.Now().Add(30 * time.Second))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if late != "" {
			if _, err := io.WriteString(conn, late); err != nil {
				return
			}
			w.system.record.line("worker %s sends the copy of its refusal late, where the answer to %s is expected", w.id, r.Header.Get("Request-Id"))
			late = ""
		}
		refusal, ok := w.answer(conn, r)
		if !ok {
			return
		}
		if refusal != "" && w.lateCopy != nil && w.lateCopy() {
			late = refusal
		}
	}
}

// answer answers one request, and returns the bytes of a refusal.
func (w *worker) answer(conn net.Conn, r *http.Request) (string, bool) {
	id := r.Header.Get("Request-Id")
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		text := fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		_, err := io.WriteString(conn, text)
		return "", err == nil
	}
	select {
	case w.waiting <- struct{}{}:
	default:
		text := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\nKeep-Alive: timeout=20\r\n\r\n", id)
		w.system.record.line("worker %s refuses %s: full", w.id, id)
		_, err := io.WriteString(conn, text)
		return text, err == nil
	}
	w.busy <- struct{}{}
	w.mu.Lock()
	w.runs[id]++
	run := w.runs[id]
	w.mu.Unlock()
	w.system.record.line("worker %s runs %s %s (run %d)", w.id, id, r.URL.Path, run)
	if w.work != nil {
		time.Sleep(w.work(r))
	}
	<-w.busy
	<-w.waiting
	return "", w.success(conn, r, id) == nil
}

// success writes a whole answer: a stream for a turn, a short text otherwise.
func (w *worker) success(conn net.Conn, r *http.Request, id string) error {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s.%s\r\nKeep-Alive: timeout=20\r\n", id, w.id, id)
	if r.Header.Get("Token-Count") == "" {
		text := "done " + id
		_, err := fmt.Fprintf(conn, "%sContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", head, len(text), text)
		return err
	}
	var b strings.Builder
	b.WriteString(head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for i := 1; i <= w.events; i++ {
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", i, i, id)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(event), event)
	}
	b.WriteString("0\r\n\r\n")
	_, err := io.WriteString(conn, b.String())
	return err
}
