package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// clientRequest is one client attempt on a new channel.
type clientRequest struct {
	address, method, host, path string
	headers                     []string // lines
	body                        string
	timeout                     time.Duration
	leaveAfter                  time.Duration // the client closes its channel then; 0: it waits for the answer
}

// answer is what a client has received. status is 0 without an answer.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // the body did not come to its end
}

// send sends a request and waits for the answer.
func (c clientRequest) send() answer {
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	limit := c.timeout
	if c.leaveAfter > 0 {
		limit = c.leaveAfter
	}
	if err := conn.SetDeadline(time.Now().Add(limit)); err != nil {
		return answer{err: err}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: %d\r\n", c.method, c.path, c.host, c.timeout.Milliseconds())
	for _, line := range c.headers {
		b.WriteString(line + "\r\n")
	}
	if c.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	b.WriteString("\r\n" + c.body)
	if _, err := io.WriteString(conn, b.String()); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: c.method})
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}
