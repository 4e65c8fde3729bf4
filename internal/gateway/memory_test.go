package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/membudget"
	"ibistray.example/ibistray/proto/ledgerpb"
)

// limitMemory gives the entry a budget for running requests.
func (f *fixture) limitMemory(bytes int64, unread time.Duration) {
	f.cfg.Memory = MemoryLimits{HeldBytes: bytes, UnreadTimeout: unread}
	f.budget = newBudget(f.cfg.Memory, f.metrics)
	f.outputs = newOutputs(f.cfg.Memory, f.metrics)
	f.commands = newCommandSlots(f.cfg.Memory)
}

// open sends the beginning of a request and returns the connection.
func (f *fixture) open(t *testing.T, head string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", f.front.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	_, err = io.WriteString(conn, head)
	assert.NilError(t, err)
	return conn
}

// waitForHeld waits until the entry holds a number of bytes for which done returns true.
func (f *fixture) waitForHeld(t *testing.T, done func(held int64) bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !done(f.budget.Held()); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%d bytes are held", f.budget.Held())
	}
}

func isZero(held int64) bool { return held == 0 }

// TestSlowWriterHoldsWhatItHasSent has a client that announces a body of 256 KiB and sends a
// part of it.
func TestSlowWriterHoldsWhatItHasSent(t *testing.T) {
	f := newFixture(t, newBackend(t, "a", respondOK))
	f.limitMemory(1<<20, time.Second)
	const announced, sent = 256 << 10, 6 << 10
	conn := f.open(t, fmt.Sprintf("POST /safe/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nTimeout-Ms: 300\r\nContent-Length: %d\r\n\r\n%s", announced, strings.Repeat("x", sent)))
	f.waitForHeld(t, func(held int64) bool { return held >= requestBytes+sent })
	assert.Assert(t, f.budget.Held() <= requestBytes+2*sent)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout)
	f.waitForHeld(t, isZero)
}

// TestAnnouncedBodyThatIsTooLargeIsRefusedAtOnce has a client that sends nothing of it.
func TestAnnouncedBodyThatIsTooLargeIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t, newBackend(t, "a", respondOK))
	f.limitMemory(1<<20, time.Second)
	conn := f.open(t, fmt.Sprintf("POST /safe/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: %d\r\n\r\n", defaultMaxBodyBytes+1))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusRequestEntityTooLarge)
}

// TestProgramsThatBeginAreRefusedFirst has a budget of which other requests hold three
// quarters.
func TestProgramsThatBeginAreRefusedFirst(t *testing.T) {
	server := newBackend(t, "a", streamEvents(1, 3, true))
	f := newFixture(t, server)
	f.limitMemory(20*requestBytes, time.Second)
	others := membudget.NewClaim(f.budget)
	others.Hold(membudget.Responses, 15*requestBytes)

	got := f.send(t, http.MethodPost, "/stream/x", "in", "Id", "1", "Program", "p", "Budget", "9")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, strings.TrimSpace(got.body), reasonMemory)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, len(server.executed()), 0)
	assert.Equal(t, len(f.ledger.beginIDs), 0)

	got = f.send(t, http.MethodPost, "/stream/x", "in", "Id", "2", "Program", "p", "Previous", "0", "Budget", "9")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, eventText(1, 3))
	others.Release()
	f.waitForHeld(t, isZero)
}

func TestHistoryBeyondTheBudgetIsRefusedAndSettled(t *testing.T) {
	server := newBackend(t, "a", streamEvents(1, 3, true))
	f := newFixture(t, server)
	f.limitMemory(4*requestBytes, time.Second)
	f.ledger.previous = history{turns: []*ledgerpb.Exchange{{Input: make([]byte, 4*requestBytes)}}}
	got := f.send(t, http.MethodPost, "/chat/x", "in", "Id", "1", "Program", "p", "Previous", "0", "Budget", "9")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, len(server.executed()), 0)
	assert.Equal(t, (<-f.ledger.settled).CallId, "1")
	f.waitForHeld(t, isZero)
}

// TestBodyWithHistoryTakesTheMemoryThatIsHeld has a history of several parts, which are joined once.
func TestBodyWithHistoryTakesTheMemoryThatIsHeld(t *testing.T) {
	c := &call{body: []byte("in")}
	c.prependTurns([]*ledgerpb.Exchange{{Input: make([]byte, 30<<10), Output: make([]byte, 40<<10)}, {Input: make([]byte, 50<<10)}})
	assert.Equal(t, len(c.request.Body), 120<<10+2)
	assert.Assert(t, cap(c.request.Body) <= 136<<10, "%d bytes are allocated", cap(c.request.Body))
}

// TestRunningResponseIsNotCutWhenMemoryIsUsedUp has a response that is larger than what is
// buffered, on an entry whose memory other requests use up while it runs.
func TestRunningResponseIsNotCutWhenMemoryIsUsedUp(t *testing.T) {
	text := strings.Repeat("0123456789", maxBufferedResponseBytes/5)
	var f *fixture
	server := newBackend(t, "a", func(w http.ResponseWriter, _ *http.Request, _ string) {
		others := membudget.NewClaim(f.budget)
		others.Hold(membudget.Responses, 1<<20)
		t.Cleanup(others.Release)
		_, err := io.WriteString(w, text)
		assert.Check(t, err)
	})
	f = newFixture(t, server)
	f.limitMemory(1<<20, time.Second)
	got := f.send(t, http.MethodGet, "/safe/x", "", "Id", "1")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Assert(t, got.body == text)
}

// endlessEvents returns a handler that sends events until the client has gone, and closes
// the channel then.
func endlessEvents(ended chan<- struct{}) func(http.ResponseWriter, *http.Request, string) {
	return func(w http.ResponseWriter, r *http.Request, _ string) {
		defer close(ended)
		w.Header().Set("Content-Type", "text/event-stream")
		data := strings.Repeat("x", 16<<10)
		for i := 1; r.Context().Err() == nil; i++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, data); err != nil {
				return
			}
		}
	}
}

// TestUnreadStreamEnds has a client that does not read an endless stream. The server is
// released, and the client finds a stream that is not complete.
func TestUnreadStreamEnds(t *testing.T) {
	ended := make(chan struct{})
	f := newFixture(t, newBackend(t, "a", endlessEvents(ended)))
	f.limitMemory(1<<20, 200*time.Millisecond)
	conn := f.open(t, "POST /feed/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: 2\r\n\r\nin")
	f.waitForHeld(t, func(held int64) bool { return held > 0 })
	f.waitForHeld(t, isZero)
	<-ended
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// TestBufferedResponseReleasesItsServer has a client that does not read a response which the
// entry holds in full. The server's connection carries the next request meanwhile.
func TestBufferedResponseReleasesItsServer(t *testing.T) {
	f := newFixture(t, newBackend(t, "a", respondOK))
	f.limitMemory(1<<20, time.Second)
	written, release := make(chan struct{}), make(chan struct{})
	blocked := &blockingWriter{ResponseRecorder: httptest.NewRecorder(), written: written, release: release}
	req := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/safe/x", http.NoBody)
	req.Host = "h"
	req.Header.Set("Id", "1")
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.ServeHTTP(blocked, req)
	}()
	<-written
	got := f.send(t, http.MethodGet, "/safe/x", "", "Id", "2")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, dialed(t, f), 1)
	close(release)
	<-done
}

// blockingWriter is a response whose first write lasts until release is closed.
type blockingWriter struct {
	*httptest.ResponseRecorder
	written chan<- struct{}
	release <-chan struct{}
}

func (w *blockingWriter) SetReadDeadline(time.Time) error  { return nil }
func (w *blockingWriter) SetWriteDeadline(time.Time) error { return nil }

func (w *blockingWriter) Write(p []byte) (int, error) {
	close(w.written)
	<-w.release
	return w.ResponseRecorder.Write(p)
}

// dialed returns the number of connections to backend servers that were opened.
func dialed(t *testing.T, f *fixture) int {
	t.Helper()
	families, err := f.metrics.Registry.Gather()
	assert.NilError(t, err)
	for _, family := range families {
		if family.GetName() == "ibistray_server_connections_total" {
			return int(family.GetMetric()[0].GetCounter().GetValue())
		}
	}
	return 0
}

// TestConnectionBeyondTheLimitsIsRefused sends a request on such a connection.
func TestConnectionBeyondTheLimitsIsRefused(t *testing.T) {
	server := newBackend(t, "a", respondOK)
	f := newFixture(t, server)
	front := httptest.NewUnstartedServer(f)
	front.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context { return RefuseConnection(ctx) }
	front.Start()
	defer front.Close()
	f.front = front
	got := f.send(t, http.MethodGet, "/safe/x", "", "Id", "1")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, strings.TrimSpace(got.body), reasonConnections)
	assert.Assert(t, got.close && got.header.Get("Retry-After") != "")
	assert.Equal(t, len(server.executed()), 0)
}

var _ http.ResponseWriter = (*unreadLimiter)(nil)

func TestWritesExtendTheirDeadline(t *testing.T) {
	w := &unreadLimiter{control: http.NewResponseController(&blockingWriter{}), timeout: time.Second}
	start := time.Now()
	w.end = start.Add(1500 * time.Millisecond)
	assert.NilError(t, w.extend(start))
	assert.Equal(t, w.deadline, start.Add(1250*time.Millisecond))
	assert.NilError(t, w.extend(start.Add(250*time.Millisecond)))
	assert.Equal(t, w.deadline, start.Add(1250*time.Millisecond))
	assert.NilError(t, w.extend(start.Add(251*time.Millisecond)))
	assert.Equal(t, w.deadline, w.end)
	assert.Assert(t, errors.Is(w.note(context.Canceled), context.Canceled) && !w.expired)
}
