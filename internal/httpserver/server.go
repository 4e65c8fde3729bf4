// Package httpserver makes the HTTP servers of the project's programs: plain
// goroutines for each connection, logs as JSON lines, limits on sizes and slow
// peers, no signal handling of its own.
package httpserver

import (
	"context"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

const (
	maxHeaderBytes = 32 << 10
	readTimeout    = 30 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = 2 * time.Minute
)

// Server is one HTTP server. Routes are added to Hertz before Start.
type Server struct {
	*server.Hertz
	listener net.Listener
	failed   chan error
}

// New returns a server on a listener that accepts bodies of at most
// maxBodyBytes.
func New(listener net.Listener, maxBodyBytes int) *Server {
	h := server.New(
		server.WithListener(listener),
		server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true),
		server.WithUseRawPath(true),
		server.WithMaxRequestBodySize(maxBodyBytes),
		server.WithMaxHeaderBytes(maxHeaderBytes),
		server.WithReadTimeout(readTimeout),
		server.WithWriteTimeout(writeTimeout),
		server.WithIdleTimeout(idleTimeout),
		server.WithKeepAliveTimeout(idleTimeout),
	)
	return &Server{Hertz: h, listener: listener, failed: make(chan error, 1)}
}

// Start serves in the background until Stop. An error of the listener goes to
// Failed.
func (s *Server) Start() {
	go func() {
		if err := s.Run(); err != nil {
			s.failed <- err
		}
	}()
}

// Failed gives the error that ended the server, if any.
func (s *Server) Failed() <-chan error {
	return s.failed
}

// Stop closes the listener and waits for running requests until ctx ends.
func (s *Server) Stop(ctx context.Context) error {
	return s.Shutdown(ctx)
}
