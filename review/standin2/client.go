package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// clientDeadline is how long a client waits for a turn.
const clientDeadline = 5 * time.Second

// hostName is the host of all routes.
const hostName = "ficu95.example"

// turn is a request of a client, apart from what differs from one attempt to the next.
type turn struct {
	path      string
	program   string // "" for a request that belongs to no program
	previous  string
	input     string
	maxTokens int
}

// attempt is one client attempt and its outcome.
type attempt struct {
	id        string
	status    int    // 0: no answer
	lastEvent string // ID of the last whole event, "" without any
	events    int
	complete  bool // the stream ended as a whole one
	reason    string
	versions  []string // of the workers' software, that of each event
}

// attempts numbers the client attempts.
var attempts atomic.Int64

// resumption says which stream an attempt takes up.
type resumption struct {
	resumes, lastEvent string
}

// streamClient opens a channel for each attempt.
var streamClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// send sends one attempt to a front.
func (t *turn) send(d *deployment, front *process, r resumption, end time.Time) *attempt {
	a := &attempt{id: fmt.Sprintf("%016x", attempts.Add(1))}
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front.frontAddress()+t.path, strings.NewReader(t.input))
	if err != nil {
		a.reason = err.Error()
		return a
	}
	req.Host = hostName
	headers := map[string]string{
		"Request-Id": a.id, "Deadline-Ms": fmt.Sprint(time.Until(end).Milliseconds()), "Model": "m", "Token-Count": fmt.Sprintf("100,%d", t.maxTokens),
		"Previous-Turn": t.previous, "Last-Event-Id": r.lastEvent, "Resumes": r.resumes,
	}
	if t.program != "" {
		headers["Program-Id"], headers["Session-Id"], headers["Finish-Ms"], headers["Token-Budget"] = t.program, t.program, "20000", "100000"
	}
	for name, value := range headers {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	d.record.add("client: %s to %s%s, program %q, Previous-Turn %q, Resumes %q, Last-Event-Id %q, body %s", a.id, front.name, t.path, t.program, t.previous, r.resumes, r.lastEvent, brief(t.input))
	a.read(req)
	d.record.add("client: %s answered %d by %s, %d events up to %q, complete %v%s", a.id, a.status, front.name, a.events, a.lastEvent, a.complete, a.reason)
	return a
}

// read sends the request and reads its answer.
func (a *attempt) read(req *http.Request) {
	resp, err := streamClient.Do(req)
	if err != nil {
		a.reason = ", " + err.Error()
		return
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		a.reason = ", " + strings.TrimSpace(string(text))
		return
	}
	lines := bufio.NewReader(resp.Body)
	id, version := "", ""
	for {
		line, err := lines.ReadString('\n')
		if errors.Is(err, io.EOF) && line == "" {
			a.complete = true
			return
		}
		if err != nil {
			a.reason = ", " + err.Error()
			return
		}
		if value, found := strings.CutPrefix(line, "id: "); found {
			id = strings.TrimSpace(value)
		}
		if value, found := strings.CutPrefix(line, "event: "); found {
			version = strings.TrimSpace(value)
		}
		if line != "\n" {
			continue
		}
		a.lastEvent = id
		a.events++
		a.versions = append(a.versions, version)
	}
}

// wholeAt reports whether the attempt brought the events up to the last one.
func (a *attempt) wholeAt(last int) bool {
	return a.status == http.StatusOK && a.complete && a.lastEvent == strconv.Itoa(last)
}
