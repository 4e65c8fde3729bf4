package httpserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/cloudwego/hertz/pkg/app"
	"gotest.tools/v3/assert"
)

// startLimited serves a handler that answers with the length of the body.
func startLimited(t *testing.T, limits Limits) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := New(listener, limits)
	server.POST("/", func(_ context.Context, rc *app.RequestContext) {
		rc.String(http.StatusOK, "%d bytes", len(rc.Request.Body()))
	})
	server.Start()
	t.Cleanup(func() { assert.Check(t, server.Stop(context.Background())) })
	return listener.Addr().String()
}

// send sends raw bytes on a new connection, in parts of size bytes, and returns the response.
func send(t *testing.T, address, raw string, size int) (int, string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	go func() {
		for rest := raw; rest != ""; rest = rest[min(size, len(rest)):] {
			if _, err := io.WriteString(conn, rest[:min(size, len(rest))]); err != nil {
				return
			}
		}
	}()
	return readResponse(t, bufio.NewReader(conn))
}

func readResponse(t *testing.T, reader *bufio.Reader) (int, string) {
	t.Helper()
	resp, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(body)
}

const (
	postHead    = "POST / HTTP/1.1\r\nHost: h\r\n"
	chunkedHead = postHead + "Transfer-Encoding: chunked\r\n\r\n"
)

// TestBodiesAreWholeWhenAHandlerRuns sends bodies in one part and in small ones, and requests one
// behind the other on one connection.
func TestBodiesAreWholeWhenAHandlerRuns(t *testing.T) {
	address := startLimited(t, Limits{BodyBytes: 1 << 20})
	const length = 200_001
	body := strings.Repeat("b", length)
	var chunks strings.Builder
	for part := range strings.SplitSeq(strings.Repeat("c", length/3), "\n") {
		fmt.Fprintf(&chunks, "%x\r\n%s\r\n1\r\nc\r\n", len(part), part)
	}
	fixed := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", postHead, length, body)
	chunked := chunkedHead + chunks.String() + "0\r\nT: t\r\n\r\n"
	for _, size := range []int{1 << 20, 1000, 4096} {
		status, text := send(t, address, fixed, size)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, text, fmt.Sprint(length, " bytes"))
		status, text = send(t, address, chunked, size)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, text, fmt.Sprint(length/3+1, " bytes"))
	}
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	go func() { _, _ = io.WriteString(conn, fixed+chunked+"\r\n"+fixed) }()
	reader := bufio.NewReader(conn)
	for i, want := range []int{length, length/3 + 1, length} {
		status, text := readResponse(t, reader)
		assert.Equal(t, status, http.StatusOK, "request %d", i)
		assert.Equal(t, text, fmt.Sprint(want, " bytes"))
	}
}

// TestBodiesBeyondTheLimitsAreRefused guards against bodies that are buffered although no handler may
// get them: of a length, or in chunks without end.
func TestBodiesBeyondTheLimitsAreRefused(t *testing.T) {
	address := startLimited(t, Limits{BodyBytes: 100 << 10})
	for _, raw := range []string{
		postHead + "Content-Length: 102401\r\n\r\n",
		chunkedHead + strings.Repeat("1000\r\n"+strings.Repeat("x", 4096)+"\r\n", 26),
		chunkedHead + "7000000\r\n",
	} {
		status, _ := send(t, address, raw, len(raw))
		assert.Equal(t, status, http.StatusRequestEntityTooLarge)
	}
}

// TestBodiesThatDoNotFitAreRefused guards against bodies that together take more memory than there is,
// and against small requests that are refused for them.
func TestBodiesThatDoNotFitAreRefused(t *testing.T) {
	address := startLimited(t, Limits{BodyBytes: 1 << 20, RequestBytes: 600 << 10})
	held, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer held.Close()
	_, err = io.WriteString(held, postHead+"Content-Length: 1000000\r\n\r\n"+strings.Repeat("x", 500_000))
	assert.NilError(t, err)
	large := postHead + "Content-Length: 300000\r\n\r\n" + strings.Repeat("x", 300_000)
	for status := 0; status != http.StatusServiceUnavailable; {
		var text string
		status, text = send(t, address, large, len(large))
		assert.Assert(t, status == http.StatusOK || text == "memory\n", "%d %s", status, text)
	}
	status, _ := send(t, address, postHead+"Content-Length: 3\r\n\r\nabc", 100)
	assert.Equal(t, status, http.StatusOK)
}

// TestClientsThatWaitForA100ResponseGetIt guards against a server that waits for a body which the
// client sends only then.
func TestClientsThatWaitForA100ResponseGetIt(t *testing.T) {
	address := startLimited(t, Limits{BodyBytes: 1 << 20})
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, postHead+"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n")
	assert.NilError(t, err)
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, line, "HTTP/1.1 100 Continue\r\n")
	_, err = reader.ReadString('\n')
	assert.NilError(t, err)
	_, err = io.WriteString(conn, "abc")
	assert.NilError(t, err)
	status, text := readResponse(t, reader)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, text, "3 bytes")
}
