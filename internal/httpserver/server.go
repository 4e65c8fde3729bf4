// Package httpserver provides the HTTP server of the project's programs. It is a Hertz
// server with one goroutine per connection, limits on message sizes and on slow peers,
// and no signal handling.
package httpserver

import (
	"cmp"
	"context"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"ibistray.example/ibistray/internal/panics"
	"ibistray.example/ibistray/internal/requestlimit"
)

const (
	maxHeaderBytes = 32 << 10
	// maxKeptBodyBytes is the largest buffer of a body that is kept for other requests.
	maxKeptBodyBytes = 64 << 10
	readTimeout      = 30 * time.Second
	writeTimeout     = 30 * time.Second
	idleTimeout      = 2 * time.Minute
	// startPollInterval is the interval at which Stop checks whether the server runs.
	startPollInterval = 5 * time.Millisecond
)

// Server is an HTTP server. Routes must be added to Hertz before Start.
type Server struct {
	*server.Hertz
	listener net.Listener
	failed   chan error
	ended    chan struct{} // closed when serving has ended
}

// Limits bound what the clients of a server make it hold. 0 means the default.
type Limits struct {
	BodyBytes    int   // of a request
	RequestBytes int64 // of all requests that arrive or run, beyond the first bytes of each
	Connections  int
}

// Defaults of Limits.
const (
	DefaultRequestBytes = 32 << 20
	DefaultConnections  = 4096
)

// New returns a server on a listener. It refuses what exceeds the limits.
func New(inner net.Listener, limits Limits) *Server {
	listener := requestlimit.NewListener(inner, requestlimit.Limits{
		HeadBytes:      func() int { return maxHeaderBytes },
		BufferedBodies: true,
		MaxBodyBytes:   int64(limits.BodyBytes),
		Connections:    cmp.Or(limits.Connections, DefaultConnections),
		Memory:         requestlimit.NewMemory(cmp.Or(limits.RequestBytes, DefaultRequestBytes)),
	})
	h := server.New(
		server.WithListener(listener),
		server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true),
		server.WithUseRawPath(true),
		server.WithMaxRequestBodySize(limits.BodyBytes),
		server.WithMaxHeaderBytes(requestlimit.MaxHeadBytes), // the listener has the limit that applies
		server.WithMaxKeepBodySize(maxKeptBodyBytes),
		server.WithReadTimeout(readTimeout),
		server.WithWriteTimeout(writeTimeout),
		server.WithIdleTimeout(idleTimeout),
		server.WithKeepAliveTimeout(idleTimeout),
	)
	h.Use(containPanic)
	return &Server{Hertz: h, listener: listener, failed: make(chan error, 1), ended: make(chan struct{})}
}

// containPanic answers a request whose handler panics with status 500. If the body has begun, it
// closes the connection, so that the response is not taken as complete.
func containPanic(ctx context.Context, rc *app.RequestContext) {
	if panics.Contain(nil, "http", func() { rc.Next(ctx) }) == nil {
		return
	}
	if rc.Response.GetHijackWriter() != nil || rc.Response.IsBodyStream() {
		rc.GetConn().Close()
	}
	rc.SetConnectionClose()
	rc.AbortWithStatus(consts.StatusInternalServerError)
}

// Start serves in the background until Stop. If serving fails, the error is sent to
// Failed.
func (s *Server) Start() {
	go func() {
		defer close(s.ended)
		if err := s.Run(); err != nil {
			s.failed <- err
		}
	}()
}

// Failed returns a channel that receives the error with which serving failed, if any.
func (s *Server) Failed() <-chan error {
	return s.failed
}

// Stop closes the listener and waits for running requests to finish, at most until ctx
// ends. It must be called after Start.
func (s *Server) Stop(ctx context.Context) error {
	s.awaitRunning(ctx)
	return s.Shutdown(ctx)
}

// awaitRunning waits until the server runs or has ended: Hertz refuses to shut down a server that
// does not run yet.
func (s *Server) awaitRunning(ctx context.Context) {
	for !s.IsRunning() {
		select {
		case <-ctx.Done():
			return
		case <-s.ended:
			return
		case <-time.After(startPollInterval):
		}
	}
}
