package backendtest

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"ibistray.example/ibistray/internal/requestlimit"
)

const (
	// maxBodyBytes is the largest accepted request body, and maxRequestBytes the memory for all of
	// them.
	maxBodyBytes    = 16 << 20
	maxRequestBytes = 32 << 20
	maxConnections  = 4096
	maxHeaderBytes  = 32 << 10
	// maxKeptBodyBytes is the largest buffer of a body that is kept for other requests.
	maxKeptBodyBytes = 64 << 10
)

// Statuses and headers of the HTTP API for which the HTTP library has no constant.
const (
	statusOverloaded = 529

	headerRequestID    = "X-Request-Id"
	headerFencingToken = "X-Fencing-Token"
	headerRetryAfter   = "Retry-After"
)

// httpServer is an HTTP server whose connections can all be closed at once.
type httpServer struct {
	*server.Hertz
	listener *trackedListener
}

func newHTTPServer(address string) (*httpServer, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	inner = requestlimit.NewListener(inner, requestlimit.Limits{
		HeadBytes: func() int { return maxHeaderBytes }, BufferedBodies: true, MaxBodyBytes: maxBodyBytes, Connections: maxConnections, Memory: requestlimit.NewMemory(maxRequestBytes),
	})
	listener := &trackedListener{Listener: inner, open: make(map[net.Conn]struct{})}
	h := server.New(
		server.WithListener(listener),
		server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true),
		server.WithUseRawPath(true),
		server.WithMaxRequestBodySize(maxBodyBytes),
		server.WithMaxKeepBodySize(maxKeptBodyBytes),
		server.WithIdleTimeout(0),
	)
	return &httpServer{Hertz: h, listener: listener}, nil
}

// start serves in the background. It uses Run since Spin would install signal handlers.
func (s *httpServer) start() {
	go func() { _ = s.Run() }()
}

func (s *httpServer) url() string {
	return "http://" + s.listener.Addr().String()
}

// abort closes the listener and every connection without waiting for requests.
func (s *httpServer) abort() {
	s.listener.abort()
}

// trackedListener is a listener that can close all connections that it accepted.
type trackedListener struct {
	net.Listener

	mu      sync.Mutex
	open    map[net.Conn]struct{}
	aborted bool
}

// Accept returns the next connection. A connection accepted after abort is closed, and
// the error is net.ErrClosed.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: conn, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.aborted {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	l.open[tracked] = struct{}{}
	return tracked, nil
}

func (l *trackedListener) abort() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.aborted = true
	for conn := range l.open {
		_ = conn.(*trackedConn).Conn.Close()
	}
	clear(l.open)
}

// remove stops tracking a connection.
func (l *trackedListener) remove(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, conn)
}

// trackedConn is a connection of a trackedListener.
type trackedConn struct {
	net.Conn
	listener *trackedListener
}

// Close closes the connection and removes it from its listener.
func (c *trackedConn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type    string `json:"type"`
	Message string `json:"message"`
}

func writeError(c *app.RequestContext, status int, errorType, message string) {
	writeJSON(c, status, errorBody{Error: errorDetail{Type: errorType, Message: message}})
}

// writeRefusal responds with a refusal. Retry-After is in whole seconds, rounded up.
func writeRefusal(c *app.RequestContext, r refusal) {
	seconds := int((r.retryAfter + time.Second - 1) / time.Second)
	c.Response.Header.Set(headerRetryAfter, strconv.Itoa(seconds))
	writeError(c, r.status, "overloaded", "the request was not run")
}

func writeJSON(c *app.RequestContext, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		c.SetStatusCode(consts.StatusInternalServerError)
		return
	}
	c.Data(status, consts.MIMEApplicationJSON, data)
}

// decodeBody decodes the JSON body of a request. If that fails, it responds with status
// 400 and returns false.
func decodeBody(c *app.RequestContext, into any) bool {
	if err := json.Unmarshal(c.Request.Body(), into); err != nil {
		writeError(c, consts.StatusBadRequest, "invalid_request", err.Error())
		return false
	}
	return true
}

func serveHealth(_ context.Context, c *app.RequestContext) {
	writeJSON(c, consts.StatusOK, map[string]string{"status": "ok"})
}
