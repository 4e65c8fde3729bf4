package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/yamux"
	"golang.org/x/sync/semaphore"

	"ibistray.example/ibistray/internal/panics"
	"ibistray.example/ibistray/proto/rpcpb"
)

// openTimeout limits how long a new stream may take to send its Open message.
const openTimeout = 5 * time.Second

// Handler serves one RPC. The context ends when the session fails or the caller's
// deadline passes. The returned error is sent as the status of the RPC: an *Error
// keeps its code, any other error is sent as CODE_INTERNAL.
type Handler func(ctx context.Context, s *Stream) error

// Server accepts sessions and serves the RPCs on them.
type Server struct {
	log      hclog.Logger
	handlers sync.Map            // Handler by method
	received *semaphore.Weighted // bytes of large frames that arrive
	large    *largeMessages      // nil: not limited

	admission admission
	admitting sync.WaitGroup // connections that wait for their first frame

	mu        sync.Mutex
	listeners []net.Listener
	sessions  map[*yamux.Session]struct{}
	closed    bool
	wg        sync.WaitGroup
}

// NewServer returns a server without registered methods.
func NewServer(log hclog.Logger) *Server {
	return &Server{
		log:      log,
		received: semaphore.NewWeighted(maxReceivedBytes),
		sessions: make(map[*yamux.Session]struct{}),

		admission: admission{limit: defaultUnproven},
	}
}

// Handle registers the handler of a method, in place of an earlier one. RPCs in progress keep theirs.
func (s *Server) Handle(method string, h Handler) {
	s.handlers.Store(method, h)
}

// LimitLargeRequests limits the bytes of the large requests to methods of SharedUnary that are handled
// at the same time. Further ones are not read until others have been answered. It must be called
// before Serve.
func (s *Server) LimitLargeRequests(bytes int64) { s.large = newLargeMessages(bytes) }

// Serve accepts connections until the listener or the server is closed. It returns
// nil when the listener is closed, and net.ErrClosed if the server already was.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return net.ErrClosed
	}
	s.listeners = append(s.listeners, ln)
	s.mu.Unlock()
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("transport: accept: %w", err)
		}
		s.admit(conn)
	}
}

// ServeConn starts a session on conn and serves it in the background. It closes conn
// if the server is closed.
func (s *Server) ServeConn(conn net.Conn) {
	frames := newFrameConn(conn)
	session, err := yamux.Server(frames, sessionConfig())
	if err != nil {
		conn.Close()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		session.Close()
		return
	}
	s.sessions[session] = struct{}{}
	s.wg.Go(func() { _ = panics.Contain(s.log, "session", func() { s.serveSession(session, &frames.readers) }) })
}

// Close closes all listeners and sessions and waits for the handlers to return.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for _, ln := range s.listeners {
		ln.Close()
	}
	s.mu.Unlock()
	s.admission.close()
	s.admitting.Wait()
	s.CloseSessions()
	s.wg.Wait()
}

// CloseSessions closes all open sessions, so that clients open new ones.
func (s *Server) CloseSessions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for session := range s.sessions {
		session.Close()
	}
}

func (s *Server) serveSession(session *yamux.Session, open *readers) {
	ctx, cancel := context.WithCancel(context.Background())
	var streams sync.WaitGroup
	for {
		conn, err := session.AcceptStream()
		if err != nil {
			break
		}
		tracked, err := open.track(conn)
		if err != nil {
			break
		}
		streams.Go(func() { _ = panics.Contain(s.log, "stream", func() { s.serveStream(ctx, tracked) }) })
	}
	cancel()
	streams.Wait()
	session.Close()
	s.mu.Lock()
	delete(s.sessions, session)
	s.mu.Unlock()
}

func (s *Server) serveStream(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	stream := newStream(conn)
	stream.receiver = &receiver{ctx: ctx, bytes: s.received}
	open := new(rpcpb.Open)
	if err := stream.SetReadDeadline(time.Now().Add(openTimeout)); err != nil {
		return
	}
	if err := stream.recv(open, maxOpenBytes); err != nil {
		s.log.Warn("new stream has no valid Open message", "error", err)
		return
	}
	if err := stream.SetReadDeadline(time.Time{}); err != nil {
		return
	}
	if open.TimeoutMs > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(open.TimeoutMs)*time.Millisecond)
		defer cancel()
	}
	err := s.dispatch(ctx, open.Method, stream)
	if errors.Is(err, ErrInterrupted) {
		return
	}
	if sendErr := stream.send(frameStatus, statusFromError(err)); sendErr != nil {
		s.log.Debug("RPC status not sent", "method", open.Method, "error", sendErr)
	}
}

// dispatch calls the handler of a method. A panic of the handler ends the RPC with CODE_INTERNAL.
func (s *Server) dispatch(ctx context.Context, method string, stream *Stream) (err error) {
	h, ok := s.handlers.Load(method)
	if !ok {
		return Errorf(rpcpb.Code_CODE_UNKNOWN_METHOD, "method %q is not served here", method)
	}
	stream.log, stream.large = s.log, s.large
	if panicked := panics.Contain(s.log, method, func() { err = h.(Handler)(ctx, stream) }); panicked != nil {
		return panicked
	}
	return err
}
