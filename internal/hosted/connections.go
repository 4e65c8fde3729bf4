package hosted

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ibistray.example/ibistray/internal/gateway"
	"ibistray.example/ibistray/internal/loop"
	"ibistray.example/ibistray/internal/policy/memory"
	"ibistray.example/ibistray/internal/routing"
	"ibistray.example/ibistray/internal/telemetry"
)

const (
	// connectionSweepInterval is the interval at which idle connections of clients are checked
	// against the limits of the routes.
	connectionSweepInterval = 5 * time.Second
)

// unusedPollInterval is the interval at which a stopping entry looks for connections that have
// carried no request.
const unusedPollInterval = 10 * time.Millisecond

// Reasons for which idle connections are closed.
const (
	closedClient = "client" // of a client, near the limits
	closedServer = "server" // to a backend server, near the limits
	closedIdle   = "idle"   // of a client, after the timeouts of the routes
	closedStop   = "stop"   // of a client, since the entry stops
)

// closedMark in place of the time since which a connection has waited says that the entry has
// closed it.
const closedMark = -1

// serverConnections are the connections of an entry to backend servers.
type serverConnections interface {
	// ServerConnections returns the numbers of open ones and of those without a request.
	ServerConnections() (open, idle int)
	// CloseIdleServers closes up to n connections without a request, longest idle first.
	CloseIdleServers(n int)
	// ClientLimits returns the limits of the routes in force.
	ClientLimits() routing.Limits
}

// clientConn is an open connection of a client.
type clientConn struct {
	net.Conn
	// waitingSince is when it began to wait for a request, on the clock of connections; 0 while
	// it carries one, and closedMark once the entry has closed it.
	waitingSince atomic.Int64
	used         atomic.Bool // it has carried a request
}

// begin records that a request has arrived, unless the connection was closed before.
func (c *clientConn) begin() {
	for {
		since := c.waitingSince.Load()
		if since == closedMark || c.waitingSince.CompareAndSwap(since, 0) {
			return
		}
	}
}

// waitingConn is a connection that waits for a request.
type waitingConn struct {
	*clientConn
	since int64 // value of waitingSince
}

type clientConnKey struct{}

// guard returns a handler that drops requests which were read while their connection was closed
// as an idle one. They have no way to get a response, so they must not be passed on.
func guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, found := r.Context().Value(clientConnKey{}).(*clientConn)
		if found && conn.waitingSince.Load() == closedMark {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// connections holds the open connections of clients and keeps their number within limits. It
// is safe for concurrent use. Requests take no lock.
type connections struct {
	limits  memory.Limits
	servers serverConnections
	metrics *telemetry.Metrics
	started time.Time

	stopping atomic.Bool

	open  sync.Map // net.Conn to *clientConn
	count atomic.Int64
}

func newConnections(limits memory.Limits, servers serverConnections, metrics *telemetry.Metrics) *connections {
	return &connections{limits: limits, servers: servers, metrics: metrics, started: time.Now()}
}

// now returns the time on the clock of connections, which is never 0.
func (c *connections) now() int64 { return int64(time.Since(c.started)) + 1 }

// connContext registers a new connection and returns its context, also for guard. It is meant for
// http.Server.ConnContext.
func (c *connections) connContext(ctx context.Context, conn net.Conn) context.Context {
	ctx = c.accept(ctx, conn)
	known, found := c.open.Load(conn)
	if !found {
		return ctx
	}
	return context.WithValue(ctx, clientConnKey{}, known)
}

// accept registers a new connection, closes idle ones if there are many, and returns the
// context of the connection.
func (c *connections) accept(ctx context.Context, conn net.Conn) context.Context {
	gateway.LimitUnsent(conn)
	added := &clientConn{Conn: conn}
	since := c.now()
	added.waitingSince.Store(since)
	c.open.Store(conn, added)
	clients := int(c.count.Add(1))
	plan := c.plan(clients)
	if plan.CloseServers > 0 {
		c.servers.CloseIdleServers(plan.CloseServers)
		c.metrics.ClosedConnections.WithLabelValues(closedServer).Add(float64(plan.CloseServers))
	}
	if plan.CloseClients > 0 {
		c.closeWaiting(plan.CloseClients)
	}
	if !plan.Refuse {
		return ctx
	}
	if plan.Close {
		c.close(waitingConn{added, since}, closedClient)
	}
	return gateway.RefuseConnection(ctx)
}

// plan decides what to do about the connections. Idle ones are counted only if there are
// many connections.
func (c *connections) plan(clients int) memory.Plan {
	open, idleServers := c.servers.ServerConnections()
	state := memory.Connections{Clients: clients, IdleClients: clients, Servers: open, IdleServers: idleServers}
	if memory.PlanConnections(state, c.limits) == (memory.Plan{}) {
		return memory.Plan{}
	}
	state.IdleClients = len(c.closable())
	return memory.PlanConnections(state, c.limits)
}

// idle returns the connections that wait for another request, longest first.
func (c *connections) idle() []waitingConn {
	var list []waitingConn
	c.open.Range(func(_, value any) bool {
		conn := value.(*clientConn)
		if since := conn.waitingSince.Load(); since > 0 && conn.used.Load() {
			list = append(list, waitingConn{conn, since})
		}
		return true
	})
	slices.SortFunc(list, func(a, b waitingConn) int { return cmp.Compare(a.since, b.since) })
	return list
}

// closable returns the connections that may be closed for new ones: those that have carried no
// request for some time, and then those that wait for another one, longest first.
func (c *connections) closable() []waitingConn {
	now := c.now()
	var list []waitingConn
	c.open.Range(func(_, value any) bool {
		conn := value.(*clientConn)
		since := conn.waitingSince.Load()
		if since > 0 && (conn.used.Load() || memory.MayClose(time.Duration(now-since))) {
			list = append(list, waitingConn{conn, since})
		}
		return true
	})
	slices.SortFunc(list, func(a, b waitingConn) int {
		if used := a.used.Load(); used != b.used.Load() {
			return map[bool]int{false: -1, true: 1}[used]
		}
		return cmp.Compare(a.since, b.since)
	})
	return list
}

// closeWaiting closes up to n connections that may be closed.
func (c *connections) closeWaiting(n int) {
	waiting := c.closable()
	for _, conn := range waiting[:min(n, len(waiting))] {
		c.close(conn, closedClient)
	}
}

// stop closes the connections that wait for another request, now and later.
func (c *connections) stop() {
	c.stopping.Store(true)
	for _, conn := range c.idle() {
		c.close(conn, closedStop)
	}
}

// awaitFirstRequests waits until each connection has carried a request, for timeout at most.
func (c *connections) awaitFirstRequests(timeout time.Duration) {
	for end := time.Now().Add(timeout); c.hasUnused() && time.Now().Before(end); {
		time.Sleep(unusedPollInterval)
	}
}

// hasUnused reports whether a connection has carried no request.
func (c *connections) hasUnused() bool {
	found := false
	c.open.Range(func(_, value any) bool {
		found = !value.(*clientConn).used.Load()
		return !found
	})
	return found
}

// close closes a connection, unless it has ended or a request has arrived meanwhile.
func (c *connections) close(conn waitingConn, reason string) {
	if !conn.waitingSince.CompareAndSwap(conn.since, closedMark) || !c.remove(conn.Conn) {
		return
	}
	conn.Close()
	c.metrics.ClosedConnections.WithLabelValues(reason).Inc()
}

// remove reports whether the connection was open.
func (c *connections) remove(conn net.Conn) bool {
	if _, found := c.open.LoadAndDelete(conn); !found {
		return false
	}
	c.count.Add(-1)
	return true
}

// observe follows the states of a connection. It is meant for http.Server.ConnState.
func (c *connections) observe(conn net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		c.remove(conn)
		return
	}
	value, found := c.open.Load(conn)
	if !found {
		return
	}
	known := value.(*clientConn)
	switch state {
	case http.StateActive:
		known.begin()
		known.used.Store(true)
	case http.StateIdle:
		since := c.now()
		known.waitingSince.Store(since)
		if c.stopping.Load() {
			c.close(waitingConn{known, since}, closedStop)
		}
	}
}

// run closes, until ctx ends, connections whose client exceeds the timeouts of the routes.
func (c *connections) run(ctx context.Context) {
	loop.Every(ctx, connectionSweepInterval, func(context.Context) { c.sweep() })
}

// sweep closes connections that wait for a first request longer than the header timeout, or
// for another one longer than the idle timeout.
func (c *connections) sweep() {
	limits := c.servers.ClientLimits()
	now := c.now()
	c.open.Range(func(_, value any) bool {
		conn := value.(*clientConn)
		timeout := limits.HeaderTimeout
		if conn.used.Load() {
			timeout = limits.IdleTimeout
		}
		since := conn.waitingSince.Load()
		if timeout > 0 && since > 0 && time.Duration(now-since) > timeout {
			c.close(waitingConn{conn, since}, closedIdle)
		}
		return true
	})
}
