package hosted

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/policy/memory"
	"ibistray.example/ibistray/internal/routing"
	"ibistray.example/ibistray/internal/telemetry"
)

// fakeServers are the connections to backend servers.
type fakeServers struct {
	open, idle atomic.Int64
	limits     routing.Limits
}

func (s *fakeServers) ServerConnections() (open, idle int) {
	return int(s.open.Load()), int(s.idle.Load())
}

func (s *fakeServers) CloseIdleServers(n int) {
	s.open.Add(int64(-n))
	s.idle.Add(int64(-n))
}

func (s *fakeServers) ClientLimits() routing.Limits { return s.limits }

// addIdle adds a connection that has carried a request.
func addIdle(t *testing.T, c *connections) net.Conn {
	t.Helper()
	client, server := net.Pipe()
	t.Cleanup(func() { client.Close() })
	c.accept(t.Context(), server)
	c.observe(server, http.StateActive)
	c.observe(server, http.StateIdle)
	return client
}

// isOpen reports whether the entry has not closed the other end of a connection.
func isOpen(client net.Conn) bool {
	if err := client.SetReadDeadline(time.Now().Add(time.Millisecond)); err != nil {
		return false
	}
	_, err := client.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded)
}

func TestIdleConnectionsAreClosedNearTheLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := &fakeServers{}
		servers.open.Store(12)
		servers.idle.Store(2)
		c := newConnections(memory.Limits{Clients: 100, Total: 30}, servers, telemetry.NewMetrics())
		var clients []net.Conn
		for range 15 {
			clients = append(clients, addIdle(t, c))
			time.Sleep(time.Second)
		}
		assert.Equal(t, servers.idle.Load(), int64(2), "27 of 30 are not too many")
		for range 5 {
			clients = append(clients, addIdle(t, c))
			time.Sleep(time.Second)
		}
		assert.Equal(t, servers.idle.Load(), int64(0), "connections to servers are closed first")
		for i, client := range clients {
			assert.Equal(t, isOpen(client), i >= 3, "connection %d", i)
		}
		assert.Equal(t, c.count.Load(), int64(17))
	})
}

func TestRefusedConnectionGetsAResponse(t *testing.T) {
	release := make(chan struct{})
	c := newConnections(memory.Limits{Clients: 2}, &fakeServers{}, telemetry.NewMetrics())
	front := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-release
		}
	}))
	marked := make(chan bool, 8)
	front.Config.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		next := c.accept(ctx, conn)
		marked <- next != ctx
		return next
	}
	front.Config.ConnState = c.observe
	front.Start()
	defer front.Close()
	for i := range 3 {
		conn, err := net.Dial("tcp", front.Listener.Addr().String())
		assert.NilError(t, err)
		defer conn.Close()
		path := "/wait"
		if i == 2 {
			path = "/"
		}
		_, err = io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		assert.Equal(t, <-marked, i == 2)
		if i == 2 {
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			assert.NilError(t, resp.Body.Close())
		}
	}
	close(release)
}

func TestClientsKeepTheTimeoutsOfTheRoutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := &fakeServers{limits: routing.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}}
		c := newConnections(memory.Limits{Clients: 100}, servers, telemetry.NewMetrics())
		idle := addIdle(t, c)
		silent, server := net.Pipe()
		defer silent.Close()
		c.accept(t.Context(), server)
		time.Sleep(2 * time.Second)
		c.sweep()
		assert.Assert(t, isOpen(silent))
		time.Sleep(2 * time.Second)
		c.sweep()
		assert.Assert(t, !isOpen(silent), "it sent no header")
		assert.Assert(t, isOpen(idle))
		time.Sleep(12 * time.Second)
		c.sweep()
		assert.Assert(t, !isOpen(idle))
	})
}

// TestConnectionsThatBecomeBusyMeanwhileAreNotClosed plans to close more connections than are
// idle when it comes to it.
func TestConnectionsThatBecomeBusyMeanwhileAreNotClosed(t *testing.T) {
	c := newConnections(memory.Limits{Clients: 100}, &fakeServers{}, telemetry.NewMetrics())
	client := addIdle(t, c)
	c.closeWaiting(3)
	assert.Assert(t, !isOpen(client))
	c.closeWaiting(3)
}

// TestRequestThatCrossesTheCloseIsNotPassedOn guards against a request that is read while its
// connection is closed as an idle one, and passed on though nobody can get its response.
func TestRequestThatCrossesTheCloseIsNotPassedOn(t *testing.T) {
	c := newConnections(memory.Limits{}, &fakeServers{}, telemetry.NewMetrics())
	client, server := net.Pipe()
	defer client.Close()
	ctx := c.connContext(t.Context(), server)
	passedOn := 0
	handler := guard(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { passedOn++ }))
	arrive := func() (dropped any) {
		defer func() { dropped = recover() }()
		c.observe(server, http.StateActive)
		handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(ctx, http.MethodPost, "/", http.NoBody))
		return nil
	}
	assert.Assert(t, arrive() == nil)
	c.observe(server, http.StateIdle)
	before := c.idle()
	assert.Assert(t, arrive() == nil)
	c.close(before[0], closedClient)
	assert.Assert(t, isOpen(client), "a request has arrived meanwhile")
	c.observe(server, http.StateIdle)
	c.closeWaiting(1)
	assert.Assert(t, !isOpen(client))
	assert.Equal(t, arrive(), http.ErrAbortHandler)
	assert.Equal(t, passedOn, 2)
}

func TestStopClosesConnectionsOnceTheyAreIdle(t *testing.T) {
	c := newConnections(memory.Limits{}, &fakeServers{}, telemetry.NewMetrics())
	idle := addIdle(t, c)
	busy, server := net.Pipe()
	defer busy.Close()
	c.accept(t.Context(), server)
	c.observe(server, http.StateActive)
	c.stop()
	assert.Assert(t, !isOpen(idle))
	assert.Assert(t, isOpen(busy))
	c.observe(server, http.StateIdle)
	assert.Assert(t, !isOpen(busy))
}

// TestStopWaitsForTheFirstRequestOfAConnection guards against a request that is on its way when
// the entry ends, on a connection that it has just accepted.
func TestStopWaitsForTheFirstRequestOfAConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newConnections(memory.Limits{}, &fakeServers{}, telemetry.NewMetrics())
		addIdle(t, c)
		client, server := net.Pipe()
		defer client.Close()
		c.accept(t.Context(), server)
		c.stop()
		assert.Assert(t, isOpen(client))
		time.AfterFunc(100*time.Millisecond, func() { c.observe(server, http.StateActive) })
		start := time.Now()
		c.awaitFirstRequests(time.Second)
		assert.Assert(t, time.Since(start) <= 100*time.Millisecond+unusedPollInterval)
		c.accept(t.Context(), client)
		start = time.Now()
		c.awaitFirstRequests(time.Second)
		assert.Equal(t, time.Since(start), time.Second, "it carries none")
	})
}
