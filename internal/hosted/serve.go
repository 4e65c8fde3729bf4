package hosted

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"ibistray.example/ibistray/internal/listener"
	"ibistray.example/ibistray/internal/panics"
	"ibistray.example/ibistray/internal/requestlimit"
)

const (
	metricsPath = "/metrics"
	// headerTimeout limits how long a client may take to send the header of a request.
	headerTimeout = 10 * time.Second
	// clientIdleTimeout is longer than clients keep an idle connection for reuse, so that the
	// server does not close a connection on which a client sends its next request.
	clientIdleTimeout = 120 * time.Second
	// readyTimeout and metricsTimeout limit the time for a request and for its response. Both are
	// small, and a client that takes longer keeps others out.
	readyTimeout   = 2 * time.Second
	metricsTimeout = 5 * time.Second
	// controlTimeout is longer than a configuration may take to arrive.
	controlTimeout = 20 * time.Second
	// controlHeadBytes and smallHeadBytes limit the header fields of requests of operators, backend
	// servers and load balancers, which are far smaller.
	controlHeadBytes = 16 << 10
	smallHeadBytes   = 8 << 10
	// Connections to addresses that few clients use.
	readyConnections   = 64
	metricsConnections = 64
	// TCP keep-alive probes detect client connections whose peer does not respond.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
)

// httpServer is an HTTP server with its listener.
type httpServer struct {
	*http.Server
	listener net.Listener
	stopped  atomic.Bool
}

// stopAccepting takes no further connections. Unlike after Shutdown, requests on those that are
// open get a response: after Shutdown, a connection on which one is read is closed without.
func (s *httpServer) stopAccepting() {
	s.stopped.Store(true)
	s.listener.Close()
}

// listen listens on all addresses. It waits while one of them is in use, until ctx ends.
func (p *process) listen(ctx context.Context, addresses ...string) ([]net.Listener, error) {
	config := listener.Config{Log: p.opts.Logger.Named("listener"), KeepAlive: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	listeners, err := config.Listen(ctx, addresses...)
	if err != nil {
		return nil, fmt.Errorf("hosted: listen: %w", err)
	}
	return listeners, nil
}

// service is what a listener serves.
type service struct {
	handler     http.Handler
	limits      requestlimit.Limits
	timeout     time.Duration // for a request, and for its response; 0: the handler limits both
	connections *connections  // nil unless the connections of its clients are known
}

// headBytes returns a limit of heads that does not change, for requestlimit.Limits.
func headBytes(limit int) func() int { return func() int { return limit } }

// newServer returns a server for a listener.
func (p *process) newServer(l net.Listener, s service) *httpServer {
	handler := panics.Handler(p.opts.Logger, "http", s.handler)
	s.limits.Memory = p.heads
	server := &httpServer{listener: requestlimit.NewListener(l, s.limits), Server: &http.Server{
		Handler:           handler,
		ReadTimeout:       s.timeout,
		WriteTimeout:      s.timeout,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       clientIdleTimeout,
		MaxHeaderBytes:    2 * requestlimit.MaxHeadBytes, // the listener has the limit that applies
		ErrorLog:          log.New(p.opts.Logger.Named("http").StandardWriter(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}), "", 0),
	}}
	server.ConnState = s.observe
	if s.connections != nil {
		server.ConnContext = s.connections.connContext
		server.Handler = guard(handler)
	}
	return server
}

// observe follows the states of a connection. It is meant for http.Server.ConnState.
func (s service) observe(conn net.Conn, state http.ConnState) {
	if limited, ok := conn.(*requestlimit.Conn); ok && state == http.StateIdle {
		limited.EndRequest()
	}
	if s.connections != nil {
		s.connections.observe(conn, state)
	}
}

// serveHTTP serves a listener in the background, see newServer.
func (p *process) serveHTTP(l net.Listener, s service) *httpServer {
	server := p.newServer(l, s)
	p.servers = append(p.servers, server)
	p.goroutines.Go(func() {
		if err := server.Serve(server.listener); !errors.Is(err, http.ErrServerClosed) && !server.stopped.Load() {
			p.fail(fmt.Errorf("hosted: serve %s: %w", l.Addr(), err))
		}
	})
	return server
}

// serveMetrics serves the metrics in the background, unless they have no address. The process
// needs no metrics: it runs without while their address is in use, or if it cannot be used.
func (p *process) serveMetrics() {
	if p.opts.MetricsAddress == "" {
		return
	}
	mux := http.NewServeMux()
	mux.Handle(metricsPath, promhttp.HandlerFor(p.metrics.Registry, promhttp.HandlerOpts{}))
	ctx, cancel := context.WithCancel(context.Background())
	p.closers = append(p.closers, cancel)
	p.goroutines.Go(func() {
		limits := requestlimit.Limits{HeadBytes: headBytes(smallHeadBytes), Connections: metricsConnections}
		err := p.listenAndServe(ctx, p.opts.MetricsAddress, service{handler: mux, limits: limits, timeout: metricsTimeout})
		if ctx.Err() == nil {
			p.opts.Logger.Error("metrics are not served", "error", err)
		}
	})
}

// listenAndServe serves an address until ctx ends.
func (p *process) listenAndServe(ctx context.Context, address string, s service) error {
	listeners, err := p.listen(ctx, address)
	if err != nil {
		return err
	}
	server := p.newServer(listeners[0], s)
	defer context.AfterFunc(ctx, func() { server.Close() })()
	return server.Serve(server.listener)
}

// untilStopped returns a context that ends when stop is closed.
func untilStopped(stop <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		select {
		case <-stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
