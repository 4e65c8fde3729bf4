package hosted

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// TestClosingProcessAnswersAcceptedRequests has a request in progress when the process closes
// its servers.
func TestClosingProcessAnswersAcceptedRequests(t *testing.T) {
	p := newProcess(Options{Logger: hclog.NewNullLogger()})
	accepted, closing := make(chan struct{}), make(chan struct{})
	listeners, err := p.listen(t.Context(), "127.0.0.1:0")
	assert.NilError(t, err)
	server := p.serveHTTP(listeners[0], service{handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(accepted)
		<-closing
		_, err := io.WriteString(w, "ok")
		assert.Check(t, err)
	})})
	server.RegisterOnShutdown(func() { close(closing) })

	type result struct {
		body string
		err  error
	}
	results := make(chan result, 1)
	go func() {
		body, err := get(t.Context(), "http://"+listeners[0].Addr().String())
		results <- result{body, err}
	}()
	<-accepted
	p.close()
	got := <-results
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, "ok")
}

// get returns the body of a response, waiting for the server to listen.
func get(ctx context.Context, url string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return "", err
	}
	client := &http.Client{Timeout: 10 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// TestEndlessRequestHeaderIsRefused has a client that sends header lines without end.
func TestEndlessRequestHeaderIsRefused(t *testing.T) {
	p := newProcess(Options{Logger: hclog.NewNullLogger()})
	defer p.close()
	listeners, err := p.listen(t.Context(), "127.0.0.1:0")
	assert.NilError(t, err)
	p.serveHTTP(listeners[0], service{handler: http.NotFoundHandler()})
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", listeners[0].Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n")
	assert.NilError(t, err)
	const endless = 32 << 20
	line := "X-Filler: " + strings.Repeat("x", 4000) + "\r\n"
	written := 0
	for err == nil && written < endless {
		var n int
		n, err = io.WriteString(conn, line)
		written += n
	}
	assert.Assert(t, written < endless, "the header was read without end")
}

// TestRequestHeaderHasAtMost64KB sends headers below and above the limit. net/http allows 4 KB
// beyond it for the request line.
func TestRequestHeaderHasAtMost64KB(t *testing.T) {
	p := newProcess(Options{Logger: hclog.NewNullLogger()})
	defer p.close()
	listeners, err := p.listen(t.Context(), "127.0.0.1:0")
	assert.NilError(t, err)
	p.serveHTTP(listeners[0], service{handler: http.NotFoundHandler()})
	cases := map[int]int{60 << 10: http.StatusNotFound, 69 << 10: http.StatusRequestHeaderFieldsTooLarge}
	for size, status := range cases {
		conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", listeners[0].Addr().String())
		assert.NilError(t, err)
		defer conn.Close()
		const start, end = "GET / HTTP/1.1\r\nHost: h\r\nX-Filler: ", "\r\n\r\n"
		_, err = io.WriteString(conn, start+strings.Repeat("x", size-len(start)-len(end))+end)
		assert.NilError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		defer resp.Body.Close()
		assert.Equal(t, resp.StatusCode, status, "a header of %d bytes", size)
	}
}
