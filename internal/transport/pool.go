package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"golang.org/x/sync/singleflight"
	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/internal/panics"
	"ibistray.example/ibistray/proto/rpcpb"
)

const (
	sessionIdleTimeout   = 60 * time.Second
	sessionSweepInterval = 10 * time.Second
)

// Pool holds the sessions that this process opened, one for each peer. It closes
// sessions that had no open stream for sessionIdleTimeout. It is safe for concurrent
// use.
type Pool struct {
	dial DialFunc

	mu       sync.RWMutex
	sessions map[string]*pooledSession
	shared   map[sharedKey]*sharedStream
	closed   bool

	dials singleflight.Group
	done  chan struct{}
}

type pooledSession struct {
	*yamux.Session
	readers  *readers
	mu       sync.Mutex
	lastUsed time.Time
}

// open opens a stream.
func (s *pooledSession) open() (*Stream, error) {
	conn, err := s.OpenStream()
	if err != nil {
		return nil, err
	}
	tracked, err := s.readers.track(conn)
	if err != nil {
		return nil, err
	}
	return newStream(tracked), nil
}

func (s *pooledSession) touch(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastUsed = now
}

func (s *pooledSession) idleSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastUsed
}

// NewPool returns a pool that opens connections with dial. It must be closed after
// use.
func NewPool(dial DialFunc) *Pool {
	p := &Pool{
		dial:     dial,
		sessions: make(map[string]*pooledSession),
		shared:   make(map[sharedKey]*sharedStream),
		done:     make(chan struct{}),
	}
	go func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		panics.Restart(ctx, nil, "sessions", func(context.Context) { p.sweep() })
	}()
	return p
}

// Open starts an RPC on a stream of its own. If ctx has a deadline, it applies to the
// stream and is passed on to the peer. Errors wrap ErrUnreachable (nothing was sent)
// or ErrInterrupted.
func (p *Pool) Open(ctx context.Context, address, method string) (*Stream, error) {
	stream, err := p.openStream(ctx, address)
	if err != nil {
		return nil, err
	}
	open := &rpcpb.Open{Method: method}
	if deadline, ok := ctx.Deadline(); ok {
		open.TimeoutMs = max(1, time.Until(deadline).Milliseconds())
		if err := stream.SetDeadline(deadline); err != nil {
			stream.Close()
			return nil, fmt.Errorf("%w: set deadline: %w", ErrInterrupted, err)
		}
	}
	if err := stream.Send(open); err != nil {
		stream.Close()
		return nil, err
	}
	return stream, nil
}

// Call sends one request and waits for its response. It returns an *Error if the peer
// reports a failure. Other errors wrap ErrUnreachable (nothing was sent), ErrInterrupted,
// ErrTooLarge or ErrMalformed, and the context's error if ctx ended during the dial or
// the wait for the response.
func (p *Pool) Call(ctx context.Context, address, method string, req, resp proto.Message) error {
	stream, err := p.Open(ctx, address, method)
	if err != nil {
		return err
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { stream.Close() })
	defer stop()
	if err := stream.Send(req); err != nil {
		return err
	}
	err = stream.Recv(resp)
	if errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: %s ended without a response", ErrMalformed, method)
	}
	if err != nil && ctx.Err() != nil {
		return fmt.Errorf("%w: %w", err, ctx.Err())
	}
	return err
}

// CloseSession closes the session to a peer, so that the next RPC opens a new
// connection.
func (p *Pool) CloseSession(address string) {
	p.mu.Lock()
	s := p.sessions[address]
	delete(p.sessions, address)
	p.mu.Unlock()
	if s != nil {
		s.Close()
	}
}

// Close closes all sessions and shared streams. RPCs on them end with ErrInterrupted.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.closed = true
	close(p.done)
	for _, s := range p.shared {
		s.fail(errPoolClosed)
	}
	clear(p.shared)
	for _, s := range p.sessions {
		s.Close()
	}
	clear(p.sessions)
}

// openStream opens a stream to a peer. If the pooled session is closed, it tries once
// more on a new one.
func (p *Pool) openStream(ctx context.Context, address string) (*Stream, error) {
	s, err := p.session(ctx, address)
	if err != nil {
		return nil, err
	}
	stream, err := s.open()
	if err == nil {
		return stream, nil
	}
	// Nothing of this RPC was sent, so it is safe to retry on a new session.
	p.drop(address, s)
	if s, err = p.session(ctx, address); err != nil {
		return nil, err
	}
	if stream, err = s.open(); err != nil {
		p.drop(address, s)
		return nil, fmt.Errorf("%w: %s: open stream: %w", ErrUnreachable, address, err)
	}
	return stream, nil
}

// session returns the open session to a peer, or dials one. Concurrent callers share
// one dial.
func (p *Pool) session(ctx context.Context, address string) (*pooledSession, error) {
	p.mu.RLock()
	s := p.sessions[address]
	p.mu.RUnlock()
	if s != nil && !s.IsClosed() {
		s.touch(time.Now())
		return s, nil
	}
	result := p.dials.DoChan(address, contained(func() (any, error) { return p.connect(address) }))
	select {
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, address, ctx.Err())
	case r := <-result:
		if r.Err != nil {
			return nil, r.Err
		}
		return r.Val.(*pooledSession), nil
	}
}

// contained returns a function that returns a panic of open as ErrUnreachable. A singleflight.Group
// ends the process after a panic of its function.
func contained(open func() (any, error)) func() (any, error) {
	return func() (result any, err error) {
		if panicked := panics.Contain(nil, "dial", func() { result, err = open() }); panicked != nil {
			return nil, fmt.Errorf("%w: %w", ErrUnreachable, panicked)
		}
		return result, err
	}
}

func (p *Pool) connect(address string) (*pooledSession, error) {
	conn, err := p.dial(address)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, address, err)
	}
	frames := newFrameConn(conn)
	session, err := yamux.Client(frames, sessionConfig())
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, address, err)
	}
	s := &pooledSession{Session: session, readers: &frames.readers, lastUsed: time.Now()}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		s.Close()
		return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, address, errPoolClosed)
	}
	p.sessions[address] = s
	return s, nil
}

// drop closes a session and removes it from the pool if it is still the one in use.
func (p *Pool) drop(address string, s *pooledSession) {
	s.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sessions[address] == s {
		delete(p.sessions, address)
	}
}

// sweep closes idle sessions periodically until the pool is closed.
func (p *Pool) sweep() {
	ticker := time.NewTicker(sessionSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.done:
			return
		case now := <-ticker.C:
			p.closeIdle(now)
		}
	}
}

func (p *Pool) closeIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, s := range p.shared {
		lastUsed, pending := s.activity()
		if s.isClosed() || (!pending && now.Sub(lastUsed) > sessionIdleTimeout) {
			s.fail(errIdle)
			delete(p.shared, key)
		}
	}
	for address, s := range p.sessions {
		if s.IsClosed() || (s.NumStreams() == 0 && now.Sub(s.idleSince()) > sessionIdleTimeout) {
			s.Close()
			delete(p.sessions, address)
		}
	}
}
