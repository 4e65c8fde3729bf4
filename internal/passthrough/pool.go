package passthrough

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxIdleConnsPerServer limits the idle connections to one server: servers limit the
	// connections of all their clients together.
	maxIdleConnsPerServer = 8
	idleSweepInterval     = 5 * time.Second
)

// Pool sends requests to backend servers and keeps idle connections for reuse. It is
// safe for concurrent use.
type Pool struct {
	dialTimeout time.Duration
	onDial      func(err error) // called with the result of each dial
	open        atomic.Int64    // connections
	dialed      atomic.Uint64   // connections that were opened so far

	mu   sync.Mutex
	idle map[string][]*conn // by server ID and address, oldest first
}

// NewPool returns an empty pool. dialTimeout limits the time to open a connection;
// onDial is called with the result of each dial, nil if it succeeded.
func NewPool(dialTimeout time.Duration, onDial func(err error)) *Pool {
	return &Pool{dialTimeout: dialTimeout, onDial: onDial, idle: make(map[string][]*conn)}
}

// Server identifies a backend server. A connection is reused only for requests to the
// same ID and address.
type Server struct {
	ID      string
	Address string // host:port
}

func (s Server) key() string { return s.ID + " " + s.Address }

// Exchange is a response whose body has not been read yet. Close must be called.
type Exchange struct {
	Response *http.Response // status and header; its Body must not be used
	Body     io.Reader      // errors other than io.EOF wrap ErrConnectionLost
	// Connection is the number of the connection, and Sequence that of the exchange on it, both
	// from 1.
	Connection uint64
	Sequence   int

	pool   *Pool
	server Server
	conn   *conn
	id     string // of the request
	write  *requestWrite
	stop   func() bool // stops closing the connection at the end of the context
	closed bool        // Close was called
}

// Do sends a request and returns when the header of the response has arrived. If ctx
// ends before the exchange is closed, the connection is closed, which tells the server
// that the response is no longer wanted. Errors: ErrNotSent, ErrConnectionLost.
func (p *Pool) Do(ctx context.Context, server Server, req *Request) (*Exchange, error) {
	c, err := p.acquire(ctx, server, req.ID)
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		p.putIdle(server, c)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
	}
	c.exchanges++
	stop := context.AfterFunc(ctx, c.close)
	deadline, _ := ctx.Deadline()
	resp, write, err := c.send(req, deadline) //nolint:bodyclose // Exchange.Close closes or reuses the connection that carries the body
	if err != nil {
		stop()
		c.close()
		if ctx.Err() != nil {
			return nil, fmt.Errorf("%w: %w", err, ctx.Err())
		}
		return nil, err
	}
	return &Exchange{
		Response:   resp,
		Body:       c.newResponseBody(resp, write),
		Connection: c.number,
		Sequence:   c.exchanges,
		pool:       p,
		server:     server,
		conn:       c,
		id:         req.ID,
		write:      write,
		stop:       stop,
	}, nil
}

// MarkRefused records that the server refused the request without running it. The connection then
// carries no request of the same ID any more: a late copy of the refusal would look like the
// response to it. It must be called before Close.
func (e *Exchange) MarkRefused() { e.conn.recordRefusal(e.id) }

// Close ends the exchange. complete says that the body was read up to io.EOF; only then
// may the connection be reused, otherwise it is closed. Further calls have no effect.
func (e *Exchange) Close(complete bool) {
	if e.closed {
		return
	}
	e.closed = true
	if !e.stop() || !complete || !e.conn.prepareReuse(e.Response, e.write) {
		e.conn.close()
		return
	}
	e.pool.putIdle(e.server, e.conn)
}

// acquire returns a reusable idle connection that can carry the request of the given ID, or a
// new one. Errors wrap ErrNotSent.
func (p *Pool) acquire(ctx context.Context, server Server, id string) (*conn, error) {
	now := time.Now()
	for {
		c := p.popIdle(server, id)
		if c == nil {
			break
		}
		if c.reusable(now) {
			return c, nil
		}
		c.close()
	}
	c, err := p.dial(ctx, server.Address)
	p.onDial(err)
	return c, err
}

// Connections returns the numbers of open connections and of idle ones among them.
func (p *Pool) Connections() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		idle += len(list)
	}
	return int(p.open.Load()), idle
}

// CloseIdle closes up to n idle connections, longest idle first.
func (p *Pool) CloseIdle(n int) {
	p.mu.Lock()
	var list []*conn
	for _, idle := range p.idle {
		list = append(list, idle...)
	}
	p.mu.Unlock()
	slices.SortFunc(list, func(a, b *conn) int { return a.idleSince.Compare(b.idleSince) })
	chosen := make(map[*conn]bool)
	for _, c := range list[:min(n, len(list))] {
		chosen[c] = true
	}
	p.closeIdle(func(c *conn) bool { return chosen[c] })
}

// popIdle returns the most recently used idle connection to a server on which the server has
// not refused the request of the given ID, or nil.
func (p *Pool) popIdle(server Server, id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[server.key()]
	for i, c := range slices.Backward(list) {
		if !c.hasRefused(id) {
			p.idle[server.key()] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// putIdle keeps a connection for reuse. Beyond maxIdleConnsPerServer the oldest one is closed.
func (p *Pool) putIdle(server Server, c *conn) {
	if err := c.net.SetDeadline(time.Time{}); err != nil {
		c.close()
		return
	}
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[server.key()]
	if len(list) >= maxIdleConnsPerServer {
		list[0].close()
		list = list[1:]
	}
	p.idle[server.key()] = append(list, c)
}

// Run closes idle connections that have reached the idle timeout of their server. When
// ctx ends it closes all idle connections and returns.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(idleSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.closeIdle(func(*conn) bool { return true })
			return
		case now := <-ticker.C:
			p.closeIdle(func(c *conn) bool { return now.Sub(c.idleSince) >= c.idleTimeout })
		}
	}
}

// closeIdle closes the idle connections for which expired returns true.
func (p *Pool) closeIdle(expired func(*conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		var kept []*conn
		for _, c := range list {
			if expired(c) {
				c.close()
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, key)
			continue
		}
		p.idle[key] = kept
	}
}

// MayHaveBeenSent reports whether the server may have received the request of an exchange
// that failed with err.
func MayHaveBeenSent(err error) bool {
	return !errors.Is(err, ErrNotSent)
}
