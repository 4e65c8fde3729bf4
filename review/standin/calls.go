package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// operator sends orders to the control addresses: it picks one, and another one after a
// failure, a 5xx, or a second without a response.
type operator struct {
	system  *system
	tenants []any // of the configurations, nil for none
}

var operatorClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// do sends an order until it gets a clear response, for limit at most.
func (o operator) do(method, path string, body any, limit time.Duration) (int, []byte, error) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return 0, nil, err
		}
	}
	addresses := o.system.controlAddresses()
	pause := 50 * time.Millisecond
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); {
		address := addresses[rand.IntN(len(addresses))]
		status, answer, err := post(operatorClient, method, "http://"+address+path, data)
		if err == nil && status < 500 && status != 408 && status != 429 {
			return status, answer, nil
		}
		time.Sleep(pause)
		pause = min(2*pause, 400*time.Millisecond)
	}
	return 0, nil, errors.New("no clear response")
}

func post(client *http.Client, method, url string, body []byte) (int, []byte, error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

// putConfig sends a configuration until it is acknowledged, and records the acknowledgement.
func (o operator) putConfig(version int, routes, services []any) (time.Time, error) {
	config := map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	if o.tenants != nil {
		config["tenants"] = o.tenants
	}
	o.system.record.line("operator sends version %d", version)
	status, _, err := o.do(http.MethodPost, "/api/Config.Replace", config, 30*time.Second)
	if err != nil || status != http.StatusOK {
		return time.Time{}, fmt.Errorf("version %d: status %d: %v", version, status, err)
	}
	o.system.record.line("operator gets the ack of version %d", version)
	return time.Now(), nil
}

// plainRoute returns a route for requests that are not turns.
func plainRoute(name, prefix, kind, service string, timeoutMs int) map[string]any {
	return map[string]any{"name": name, "hostname": "h1.example", "path_prefix": prefix, "route_type": kind, "timeout_ms": timeoutMs,
		"target_latency_ms": 300, "priority": 2, "backend": service, "max_attempts": 2, "session_affinity": false, "resumable": false}
}

// turnRoute returns a route for turns that the system keeps.
func turnRoute(name, prefix, service string) map[string]any {
	return map[string]any{"name": name, "hostname": "h1.example", "path_prefix": prefix, "route_type": "stream", "timeout_ms": 5000,
		"target_latency_ms": 250, "priority": 0, "backend": service, "max_attempts": 2, "retain": true, "retention_s": 60.0,
		"session_affinity": true, "resumable": false, "target_gap_ms": 300}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_connections": 130, "protocol": "h1", "tls": false}
}

func engineService(name string) map[string]any {
	s := plainService(name)
	s["engine"] = map[string]any{"slots": 32, "kv_capacity": 204013, "kv_token_bytes": 131072, "link_mbps": 340000.0, "moves": true, "backups": true,
		"stride": 3, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}}}
	return s
}

// answer is what a client got for one attempt.
type answer struct {
	id     string
	status int // 0: the channel ended without a whole answer
	body   string
	err    error
	sent   time.Time
	took   time.Duration
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// channel is an open channel of a client to an entry.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

// open opens a channel; clients allow it a second.
func open(entry *process) (*channel, error) {
	conn, err := net.DialTimeout("tcp", entry.address(entry.system.ports.front), time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// send sends one attempt on a new channel.
func send(entry *process, method, path string, deadline time.Duration, header map[string]string, body []byte) answer {
	sent := time.Now()
	c, err := open(entry)
	if err != nil {
		return answer{id: newID(), err: err, sent: sent, took: time.Since(sent)}
	}
	defer c.conn.Close()
	return c.send(method, path, deadline, header, body, "close")
}

// send sends one attempt and waits for its answer. connection is "close" on the last one.
func (c *channel) send(method, path string, deadline time.Duration, header map[string]string, body []byte, connection string) (a answer) {
	a = answer{id: newID(), sent: time.Now()}
	defer func() { a.took = time.Since(a.sent) }()
	_ = c.conn.SetDeadline(a.sent.Add(deadline + 500*time.Millisecond))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h1.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nConnection: %s\r\n", method, path, a.id, deadline.Milliseconds(), connection)
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	if _, err := c.conn.Write(append([]byte(b.String()), body...)); err != nil {
		a.err = err
		return a
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		a.err = err
		return a
	}
	data, err := io.ReadAll(resp.Body)
	a.body = string(data)
	if err != nil {
		a.err = err
		return a
	}
	a.status = resp.StatusCode
	return a
}
