package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"ibistray.example/ibistray/internal/membudget"
	"ibistray.example/ibistray/internal/passthrough"
	"ibistray.example/ibistray/internal/policy/memory"
	"ibistray.example/ibistray/internal/routing"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/proto/ledgerpb"
)

// MemoryLimits bound what an entry holds for its clients. The zero value sets no bounds.
type MemoryLimits struct {
	// HeldBytes is the memory for running requests: their buffers, bodies, histories and
	// unread responses. The outputs of turns that are kept have a share of this beside it. 0: no
	// limit, and the other fields have no effect.
	HeldBytes int64
	// UnreadTimeout ends a response of which the client takes nothing for that long. It is
	// shorter than the time for which backend servers keep an unread response.
	UnreadTimeout time.Duration
}

const (
	// requestBytes is what a running request holds besides its body and response: three
	// goroutines, and the headers and buffers of two connections.
	requestBytes = 32 << 10
	// firstBodyBytes is the first part of a body for which memory is taken. More is taken as
	// the client sends it.
	firstBodyBytes = 4 << 10
	// firstResponseBytes is the first part of a response of unknown length that is buffered.
	firstResponseBytes = 8 << 10
	// minResponseBytes is the part of a response that is buffered while memory is short.
	minResponseBytes = 2 << 10
	// responseEndMargin is added to the time limit of a request for the end of its response.
	responseEndMargin = time.Second
	// unreadBodyTimeout limits how long a refusal waits for the rest of the request's body,
	// without which the connection cannot be used again.
	unreadBodyTimeout = 200 * time.Millisecond
	// memoryRetryDelay is when clients retry that were refused for lack of memory. Most
	// responses have ended by then.
	memoryRetryDelay = time.Second
)

var (
	// errNoMemory refuses a request that has not run, since the memory of the entry is used up.
	errNoMemory = errors.New("gateway: no memory left for the request")
	// errNoConnection refuses a request on a connection beyond the limits of the entry.
	errNoConnection = errors.New("gateway: too many client connections")
	// errBodyTimeout refuses a request whose body did not arrive within its time limit.
	errBodyTimeout = errors.New("gateway: the request body did not arrive in time")
)

// newBudget returns the budget of held bytes, or nil if it is not limited.
func newBudget(limits MemoryLimits, metrics *telemetry.Metrics) *membudget.Budget {
	if limits.HeldBytes <= 0 {
		return nil
	}
	var gauges [membudget.Kinds]func(float64)
	for kind := range membudget.Kinds {
		gauges[kind] = metrics.HeldBytes.WithLabelValues(kind.String()).Add
	}
	return membudget.New(limits.HeldBytes, func(kind membudget.Kind, bytes int64) { gauges[kind](float64(bytes)) })
}

// ServerConnections returns the numbers of open connections to backend servers and of those
// without a request.
func (g *Gateway) ServerConnections() (open, idle int) { return g.servers.Connections() }

// CloseIdleServers closes up to n connections to backend servers without a request, longest
// idle first.
func (g *Gateway) CloseIdleServers(n int) { g.servers.CloseIdle(n) }

// ClientLimits returns the limits of the routes in force, or none without routes.
func (g *Gateway) ClientLimits() routing.Limits {
	doc := g.view.routes.Load()
	if doc == nil {
		return routing.Limits{}
	}
	return doc.Limits
}

type refusedConnectionKey struct{}

// RefuseConnection returns the context of a connection beyond the limits of the host: its
// first request is refused and the connection is closed.
func RefuseConnection(ctx context.Context) context.Context {
	return context.WithValue(ctx, refusedConnectionKey{}, true)
}

// isRefusedConnection reports whether ctx is that of a connection beyond the limits.
func isRefusedConnection(ctx context.Context) bool {
	return ctx.Value(refusedConnectionKey{}) != nil
}

// memoryClass returns the class of the request in the distribution of memory.
func (c *call) memoryClass() memory.Class {
	return memory.ClassOf(c.route.ProgramTurns && c.g.ledger.isNewProgram(c.accountName(), &c.meta), c.priority())
}

// readAll reads a request body that is limited to maxBytes. Memory is taken as the body
// arrives. On an entry with limited memory, errors may wrap errNoMemory, errBodyTooLarge and
// errBodyTimeout.
func (c *call) readAll(body io.Reader, maxBytes int64) ([]byte, error) {
	if !c.memory.Limited() {
		return io.ReadAll(body)
	}
	control := http.NewResponseController(c.w)
	if c.r.ContentLength > maxBytes {
		return nil, c.refuseBody(control, errBodyTooLarge)
	}
	if err := control.SetWriteDeadline(c.deadline.Add(responseEndMargin)); err != nil {
		return nil, fmt.Errorf("gateway: limit the response: %w", err)
	}
	class := c.memoryClass()
	if !c.memory.Grow(membudget.Requests, requestBytes, class) {
		return nil, c.refuseBody(control, errNoMemory)
	}
	if c.r.ContentLength == 0 {
		return nil, nil
	}
	if err := control.SetReadDeadline(c.deadline); err != nil {
		return nil, fmt.Errorf("gateway: limit the body: %w", err)
	}
	data, err := c.readGrowing(body, class)
	switch {
	case errors.Is(err, errNoMemory):
		return nil, c.refuseBody(control, errNoMemory)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, fmt.Errorf("%w: %w", errBodyTimeout, err)
	case err != nil:
		return nil, err
	}
	return data, control.SetReadDeadline(time.Time{})
}

// readGrowing reads to the end of body and takes memory for each part before it arrives.
func (c *call) readGrowing(body io.Reader, class memory.Class) ([]byte, error) {
	var data []byte
	for {
		if len(data) == cap(data) {
			size := max(firstBodyBytes, 2*cap(data))
			if c.r.ContentLength > int64(cap(data)) {
				size = int(min(int64(size), c.r.ContentLength))
			}
			if !c.memory.Grow(membudget.Bodies, int64(size-cap(data)), class) {
				return nil, errNoMemory
			}
			class = memory.Bulk // for all further parts
			data = append(make([]byte, 0, size), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// refuseBody prepares the refusal of a request whose body was not read in full, and returns
// its cause.
func (c *call) refuseBody(control *http.ResponseController, cause error) error {
	if c.r.ContentLength == 0 {
		return cause
	}
	if err := control.SetReadDeadline(time.Now().Add(unreadBodyTimeout)); err != nil {
		return fmt.Errorf("%w: limit the body: %w", cause, err)
	}
	return cause
}

// holdHistory takes the memory for a body that is preceded by earlier turns.
func (c *call) holdHistory(turns []*ledgerpb.Exchange) error {
	if len(turns) == 0 || !c.memory.Limited() {
		return nil
	}
	size := len(c.body)
	for _, turn := range turns {
		size += len(turn.Input) + len(turn.Output)
	}
	if !c.memory.Grow(membudget.Histories, int64(size), memory.Request) {
		return errNoMemory
	}
	return nil
}

// bufferResponse reads a response into buffer, at most maxBufferedResponseBytes and one byte
// more. While memory is short it stops earlier, so that the request cannot be retried. The
// error is io.EOF if the buffer holds the whole response.
func (c *call) bufferResponse(buffer *bytes.Buffer, exchange *passthrough.Exchange) error {
	if !c.memory.Limited() {
		_, err := io.CopyN(buffer, exchange.Body, maxBufferedResponseBytes+1)
		return err
	}
	next := int64(firstResponseBytes)
	if length := exchange.Response.ContentLength; length >= 0 {
		next = min(length, maxBufferedResponseBytes) + 1
	}
	for {
		class := memory.Response
		if int64(buffer.Len())+next > firstResponseBytes {
			class = memory.Bulk
		}
		if !c.memory.Grow(membudget.Responses, next, class) {
			return c.bufferLeast(buffer, exchange)
		}
		if _, err := io.CopyN(buffer, exchange.Body, next); err != nil {
			return err
		}
		if buffer.Len() > maxBufferedResponseBytes {
			return nil
		}
		next = min(int64(buffer.Len()), int64(maxBufferedResponseBytes+1-buffer.Len()))
	}
}

// bufferLeast reads the first part of a response while memory is short, unless there is one.
func (c *call) bufferLeast(buffer *bytes.Buffer, exchange *passthrough.Exchange) error {
	if buffer.Len() > 0 {
		return nil
	}
	_, err := io.CopyN(buffer, exchange.Body, minResponseBytes)
	return err
}

// limitUnread limits for how long each part of the response may remain unread, from now on.
func (c *call) limitUnread() {
	if !c.memory.Limited() {
		return
	}
	c.unread = &unreadLimiter{
		ResponseWriter: c.w,
		control:        http.NewResponseController(c.w),
		timeout:        c.g.cfg.Memory.UnreadTimeout,
		end:            c.deadline.Add(responseEndMargin),
	}
	c.w = c.unread
}

// goneOutcome returns the outcome of a request whose client has disconnected, or was
// disconnected since it did not read.
func (c *call) goneOutcome() string {
	if c.unread != nil && c.unread.expired {
		return "unread"
	}
	return "caller_gone"
}

// unreadLimiter is a response whose client must take each part of it within timeout.
type unreadLimiter struct {
	http.ResponseWriter
	control  *http.ResponseController
	timeout  time.Duration
	end      time.Time // of the time limit of the request
	deadline time.Time // of the current write
	expired  bool      // a write has timed out
}

// Unwrap returns the limited response, for http.ResponseController.
func (w *unreadLimiter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements http.ResponseWriter.
func (w *unreadLimiter) Write(p []byte) (int, error) {
	if err := w.extend(time.Now()); err != nil {
		return 0, err
	}
	n, err := w.ResponseWriter.Write(p)
	return n, w.note(err)
}

// FlushError flushes the response, for http.ResponseController.
func (w *unreadLimiter) FlushError() error { return w.note(w.control.Flush()) }

// extend moves the deadline of writes to at least the timeout after now, and at most a quarter more.
// It does not move it with each write, of which a stream has many.
func (w *unreadLimiter) extend(now time.Time) error {
	if w.timeout <= 0 || w.deadline.Equal(w.end) || w.deadline.Sub(now) >= w.timeout {
		return nil
	}
	w.deadline = now.Add(w.timeout + w.timeout/4)
	if w.deadline.After(w.end) {
		w.deadline = w.end
	}
	return w.control.SetWriteDeadline(w.deadline)
}

// note records that a write has timed out.
func (w *unreadLimiter) note(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		w.expired = true
	}
	return err
}
