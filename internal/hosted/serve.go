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
)

const (
	metricsPath = "/metrics"
	// headerTimeout limits how long a client may take to send the header of a request.
	headerTimeout = 10 * time.Second
	// clientIdleTimeout is longer than clients keep an idle connection for reuse, so that the
	// server does not close a connection on which a client sends its next request.
	clientIdleTimeout = 120 * time.Second
	// maxHeaderBytes limits the header of a request, which is held in memory. Routes
	// documents may set a lower limit.
	maxHeaderBytes = 64 << 10
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

// newServer returns a server for a listener. connections is nil unless the connections of its
// clients are known.
func (p *process) newServer(l net.Listener, handler http.Handler, connections *connections) *httpServer {
	handler = panics.Handler(p.opts.Logger, "http", handler)
	server := &httpServer{listener: l, Server: &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       clientIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(p.opts.Logger.Named("http").StandardWriter(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}), "", 0),
	}}
	if connections != nil {
		server.ConnContext, server.ConnState = connections.connContext, connections.observe
		server.Handler = guard(handler)
	}
	return server
}

// serveHTTP serves a listener in the background, see newServer.
func (p *process) serveHTTP(l net.Listener, handler http.Handler, connections *connections) *httpServer {
	server := p.newServer(l, handler, connections)
	p.servers = append(p.servers, server)
	p.goroutines.Go(func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) && !server.stopped.Load() {
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
		err := p.listenAndServe(ctx, p.opts.MetricsAddress, mux)
		if ctx.Err() == nil {
			p.opts.Logger.Error("metrics are not served", "error", err)
		}
	})
}

// listenAndServe serves an address until ctx ends.
func (p *process) listenAndServe(ctx context.Context, address string, handler http.Handler) error {
	listeners, err := p.listen(ctx, address)
	if err != nil {
		return err
	}
	server := p.newServer(listeners[0], handler, nil)
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
