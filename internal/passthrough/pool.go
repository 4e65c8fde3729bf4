package passthrough

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// maxIdlePerServer bounds the idle connections to one server: servers accept a
	// limited number from all callers together.
	maxIdlePerServer = 8
	idleSweep        = 5 * time.Second
)

// Pool holds the connections of this process to backend servers. It is safe for
// concurrent use.
type Pool struct {
	dialTimeout time.Duration
	onDial      func(err error)

	mu   sync.Mutex
	idle map[string][]*conn // by server ID and address, oldest first
}

// NewPool returns a pool. dialTimeout bounds the opening of a connection; onDial
// is called after each.
func NewPool(dialTimeout time.Duration, onDial func(err error)) *Pool {
	return &Pool{dialTimeout: dialTimeout, onDial: onDial, idle: make(map[string][]*conn)}
}

// Server names a start of a backend server.
type Server struct {
	ID      string
	Address string
}

func (s Server) key() string { return s.ID + " " + s.Address }

// Exchange is an answer whose body is still to be read. Close must be called.
type Exchange struct {
	Response *http.Response // its Body must not be used
	Body     io.Reader      // errors other than io.EOF wrap ErrConnectionLost

	pool    *Pool
	server  Server
	conn    *conn
	written <-chan error
	stop    func() bool
}

// Do sends a request and returns when the head of the answer is there. The
// connection is closed when ctx ends, so that the server notices that nobody
// waits any longer. Errors: ErrNotSent, ErrConnectionLost.
func (p *Pool) Do(ctx context.Context, server Server, req *Request) (*Exchange, error) {
	c, err := p.take(ctx, server)
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		p.put(server, c)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
	}
	stop := context.AfterFunc(ctx, c.close)
	deadline, _ := ctx.Deadline()
	resp, written, err := c.send(req, deadline) //nolint:bodyclose // its body is a part of the connection, which Exchange.Close ends
	if err != nil {
		stop()
		c.close()
		if ctx.Err() != nil {
			return nil, fmt.Errorf("%w: %w", err, ctx.Err())
		}
		return nil, err
	}
	return &Exchange{
		Response: resp,
		Body:     body{reader: resp.Body},
		pool:     p,
		server:   server,
		conn:     c,
		written:  written,
		stop:     stop,
	}, nil
}

// Close ends the exchange. whole says that the body was read to its end; the
// connection is used again only then.
func (e *Exchange) Close(whole bool) {
	if !e.stop() || !whole || !e.conn.finish(e.Response, e.written) {
		e.conn.close()
		return
	}
	e.pool.put(e.server, e.conn)
}

// take returns an idle connection that still works, or a new one.
func (p *Pool) take(ctx context.Context, server Server) (*conn, error) {
	now := time.Now()
	for {
		c := p.pop(server)
		if c == nil {
			break
		}
		if c.usable(now) {
			return c, nil
		}
		c.close()
	}
	c, err := dial(ctx, server.Address, p.dialTimeout)
	p.onDial(err)
	return c, err
}

func (p *Pool) pop(server Server) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[server.key()]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[server.key()] = list[:len(list)-1]
	return c
}

func (p *Pool) put(server Server, c *conn) {
	if err := c.net.SetDeadline(time.Time{}); err != nil {
		c.close()
		return
	}
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[server.key()]
	if len(list) >= maxIdlePerServer {
		list[0].close()
		list = list[1:]
	}
	p.idle[server.key()] = append(list, c)
}

// Run closes idle connections that servers close soon, until the context ends.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(idleSweep)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.closeIdle(func(*conn) bool { return true })
			return
		case now := <-ticker.C:
			p.closeIdle(func(c *conn) bool { return now.Sub(c.idleSince) >= c.keepAlive })
		}
	}
}

func (p *Pool) closeIdle(due func(*conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		var kept []*conn
		for _, c := range list {
			if due(c) {
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

// MayHaveBeenSent reports whether a server can have seen the request of a failed exchange.
func MayHaveBeenSent(err error) bool {
	return !errors.Is(err, ErrNotSent)
}
