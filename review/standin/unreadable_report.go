package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

// unreadableReport has two other writers whose status reports have an ID with bytes that are no
// text, and makes an ordinary change of the configuration. Requests on the route that the change
// adds must be served everywhere once configBound has passed since its ack.
func unreadableReport(s *system, trouble bool) (bool, error) {
	if err := s.start(); err != nil {
		return false, err
	}
	for i, zone := range zones[:2] {
		w := &worker{id: fmt.Sprintf("i-%d", i+1), service: "app", zone: zone, slots: 6, work: func(*http.Request) time.Duration { return 20 * time.Millisecond }}
		if _, err := startWorker(s, w, fmt.Sprintf("%s.%d", s.net, 40+i)); err != nil {
			return false, err
		}
	}
	time.Sleep(settleTime / 2)
	o := operator{system: s}
	services := []any{plainService("app")}
	first := plainRoute("first", "/first/", "safe", "app", 1500)
	if _, err := o.putConfig(1, []any{first}, services); err != nil {
		return false, err
	}
	time.Sleep(settleTime / 2)
	for _, entry := range s.entries {
		if a := send(entry, http.MethodGet, "/first/1", 1500*time.Millisecond, nil, nil); a.status != http.StatusOK {
			return false, fmt.Errorf("%s does not serve before the disruption: %d %v", entry.name, a.status, a.err)
		}
	}
	stop := make(chan struct{})
	defer close(stop)
	if trouble {
		for writer := range unreadableWriters {
			go s.sendUnreadableReports(writer, stop)
		}
	}
	// Several heartbeat intervals, and longer than contact_ms.
	time.Sleep(10 * time.Second)
	second := plainRoute("second", "/second/", "safe", "app", 1500)
	acked, err := o.putConfig(2, []any{first, second}, services)
	if err != nil {
		return false, err
	}
	return s.countOldAnswers(acked), nil
}

// unreadableWriters is the number of other writers.
const unreadableWriters = 2

// sendUnreadableReports sends the status reports of one writer, every heartbeat_ms, to one node
// that serves control after another.
func (s *system) sendUnreadableReports(writer int, stop <-chan struct{}) {
	addresses := s.controlAddresses()
	time.Sleep(time.Duration(writer) * heartbeat / unreadableWriters)
	for i := writer; ; i += unreadableWriters {
		address := addresses[i%len(addresses)]
		status, err := sendUnreadableReport(address, writer)
		s.record.line("writer %d sends a status report with an unreadable ID to %s: status %d, error %v", writer+1, address, status, err)
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// sendUnreadableReport sends a status report of a service that no configuration names.
func sendUnreadableReport(address string, writer int) (int, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	body := `{"backend":"another","address":"` + address + `","zone":"zone-a","version":"v1","slots":1,"state":"ready","sequence":1,"born":1}`
	if _, err := fmt.Fprintf(conn, "POST /api/Instances.Heartbeat/i-%c\xff\xfe HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", '1'+writer, address, len(body), body); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, nil
}

// countOldAnswers sends requests to the new route of version 2 from configBound after its ack on,
// for 20 s, and reports whether an entry handled any of them as only version 1 allows.
func (s *system) countOldAnswers(acked time.Time) bool {
	time.Sleep(time.Until(acked.Add(configBound + 500*time.Millisecond)))
	old, served, other := 0, 0, 0
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, entry := range s.entries {
			a := send(entry, http.MethodGet, "/second/1", 1500*time.Millisecond, nil, nil)
			switch a.status {
			case http.StatusOK:
				served++
			case http.StatusNotFound:
				old++
			default:
				other++
			}
			s.record.line("%s, %.1f s after the ack of version 2: %s on its new route is answered %d %v", entry.name, a.sent.Sub(acked).Seconds(), a.id, a.status, a.err)
		}
	}
	s.record.line("on the new route: %d served, %d answered 404, %d others", served, old, other)
	return old > 0
}
