package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"ibistray.example/ibistray/internal/fleet"
	"ibistray.example/ibistray/internal/passthrough"
	"ibistray.example/ibistray/internal/routing"
	"ibistray.example/ibistray/proto/ledgerpb"
)

const (
	// defaultBodyLimit applies where the routes state none.
	defaultBodyLimit = 8 << 20
	// fullPause is the wait before servers that were all full are asked again.
	fullPause = 60 * time.Millisecond
	// viewWait bounds the wait of a request for an entry's first view of routes and
	// servers: some attempts to reach a state host.
	viewWait = 800 * time.Millisecond
	// sendShare is the part of a client's time, in percent, in which a turn waits to be
	// sent to the ledger: the client needs the rest for an attempt at another entry.
	sendShare = 45
	// settleTimeout bounds a settlement that goes on after its request.
	settleTimeout = 10 * time.Second
)

// Errors that end a request.
var (
	errNoRoutes  = errors.New("gateway: no routes are known yet")
	errNoRoute   = errors.New("gateway: no route matches")
	errNoServer  = errors.New("gateway: no backend server takes the request")
	errUnclear   = errors.New("gateway: the request may have run and has no answer")
	errBodyLarge = errors.New("gateway: the body is too large")
	errCaller    = errors.New("gateway: the caller is gone")
)

// call is one request on its way. It is used by one goroutine.
type call struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time

	routes  *routing.Document
	route   *routing.Route
	service *routing.Service
	meta    RequestMeta
	body    []byte // as received
	request passthrough.Request

	deadline  time.Time
	tried     map[string]bool // servers that refused it or failed
	sends     int             // attempts of which a server may have seen something
	server    *fleet.Instance // of the latest attempt
	lastErr   error           // of the latest attempt
	first     time.Duration   // until the answer began
	beginning time.Duration   // that the ledger took before the turn
	keeping   time.Duration   // that the ledger took after it
	events    int             // handed to the caller
	output    bytes.Buffer    // of a turn that is kept
	began     bool            // the answer has begun
	refused   int             // answers of servers that did not run it
	waited    bool            // for servers to be known
	// answering ends the watch for a silent server; called at the first output.
	answering func()
}

// serve runs the request to its end and logs it.
func (c *call) serve() {
	err := c.prepare()
	if err == nil {
		err = c.pass()
	}
	if errors.Is(err, errCaller) || c.r.Context().Err() != nil {
		c.finishLog("caller_gone", 0, err)
		if c.began {
			panic(http.ErrAbortHandler)
		}
		return
	}
	if err == nil {
		c.finishLog("answered", http.StatusOK, nil)
		return
	}
	if c.began {
		c.finishLog("broken_off", 0, err)
		panic(http.ErrAbortHandler)
	}
	refusal := refusalOf(err)
	c.refuse(refusal, err)
}

// prepare matches the request to its route and reads it.
func (c *call) prepare() error {
	if c.routes = c.awaitRoutes(); c.routes == nil {
		return errNoRoutes
	}
	target := c.r.RequestURI
	path, _, _ := strings.Cut(target, "?")
	if c.route = c.routes.Match(c.r.Host, path); c.route == nil {
		return errNoRoute
	}
	meta, err := c.g.cfg.Codec.DecodeRequest(c.r.Header)
	if err != nil {
		return err
	}
	c.meta = meta
	patience := c.route.Timeout
	if meta.Timeout > 0 {
		patience = min(patience, meta.Timeout)
	}
	c.deadline = c.arrived.Add(patience)
	name := c.route.ChooseService(c.stickyKey())
	c.service = c.routes.Services[name]
	return c.readBody(target)
}

// awaitRoutes returns the routes in force. An entry that has just started gets them
// within a moment, which is less than the way of a client that is sent back.
func (c *call) awaitRoutes() *routing.Document {
	view := c.g.view
	if doc := view.routes.Load(); doc != nil {
		return doc
	}
	ctx, cancel := context.WithTimeout(c.r.Context(), viewWait)
	defer cancel()
	view.await(ctx, func() bool { return view.routes.Load() != nil })
	return view.routes.Load()
}

// stickyKey is the same for the requests of one program.
func (c *call) stickyKey() string {
	if c.meta.Program != "" {
		return c.meta.Program
	}
	return c.meta.ID
}

func (c *call) readBody(target string) error {
	limit := int64(c.routes.Limits.BodyBytes)
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errBodyLarge
	}
	if err != nil {
		return fmt.Errorf("%w: read body: %w", errCaller, err)
	}
	c.body = body
	c.request = passthrough.Request{Method: c.r.Method, Target: target, Host: c.r.Host, Body: body}
	return nil
}

// pass reserves the turn, passes the request on and settles the turn.
func (c *call) pass() error {
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	if !c.route.ProgramTurns {
		return c.run(ctx)
	}
	beginCtx, cancelBegin := context.WithDeadline(ctx, c.arrived.Add(c.route.EventTimeout()-firstEventMargin))
	defer cancelBegin()
	asked := time.Now()
	chain, err := c.g.turns.begin(beginCtx, &c.meta, c.turnRank())
	c.beginning = time.Since(asked)
	if errors.Is(err, errMayBeReserved) {
		c.settleLater()
	}
	if err != nil {
		return err
	}
	c.prependChain(chain)
	err = c.run(ctx)
	if err == nil && c.route.KeepTurns {
		return c.keep(ctx)
	}
	c.settleLater()
	return err
}

// turnRank returns how the turn is ranked before the ledger. Its client has time left
// to come back when it was not sent until then.
func (c *call) turnRank() turnRank {
	return turnRank{priority: c.route.Priority, sendBy: c.arrived.Add(c.deadline.Sub(c.arrived) * sendShare / 100)}
}

// prependChain puts the earlier turns before the input of this one.
func (c *call) prependChain(chain []*ledgerpb.Exchange) {
	if len(chain) == 0 {
		return
	}
	var body bytes.Buffer
	for _, turn := range chain {
		body.Write(turn.Input)
		body.Write(turn.Output)
	}
	body.Write(c.body)
	c.request.Body = body.Bytes()
}

// finishCommand returns the settlement of the turn.
func (c *call) finishCommand(keep bool) *ledgerpb.Finish {
	f := &ledgerpb.Finish{CallId: c.meta.ID, Program: c.meta.Program, Tokens: c.tokens()}
	if keep {
		f.Keep = true
		f.Previous = c.meta.PreviousTurn
		f.Input = c.body
		f.Output = c.output.Bytes()
		f.RetentionMs = c.route.TurnRetention.Milliseconds()
	}
	return f
}

// tokens returns the tokens handed to the caller.
func (c *call) tokens() uint64 {
	perEvent := 1
	if c.service != nil && c.service.Engine != nil {
		perEvent = max(1, c.service.Engine.TokensPerEvent)
	}
	return uint64(c.events * perEvent)
}

// keep makes the turn durable before its answer ends: the caller may continue from
// it at once, through any entry.
func (c *call) keep(ctx context.Context) error {
	asked := time.Now()
	defer func() { c.keeping = time.Since(asked) }()
	if err := c.g.turns.finish(ctx, c.finishCommand(true)); err != nil {
		c.settleLater()
		return fmt.Errorf("%w: turn not kept: %w", errUnclear, err)
	}
	return nil
}

// settleLater settles the turn without holding up the caller. If that fails the
// turn counts at its most.
func (c *call) settleLater() {
	f := c.finishCommand(false)
	c.g.running.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		if err := c.g.turns.finish(ctx, f); err != nil {
			c.g.log.Warn("turn not settled: it counts at its most", "request", f.CallId, "program", f.Program, "error", err)
		}
	})
}

// finishLog writes the one line that tells what became of the request.
func (c *call) finishLog(outcome string, status int, err error) {
	elapsed := time.Since(c.arrived)
	c.g.metrics.Calls.WithLabelValues(c.kind(), outcome).Inc()
	c.g.metrics.CallSeconds.WithLabelValues(c.kind()).Observe(elapsed.Seconds())
	if c.first > 0 {
		c.g.metrics.FirstSeconds.Observe(c.first.Seconds())
	}
	fields := []any{
		"request", c.meta.ID, "program", c.meta.Program, "previous", c.meta.PreviousTurn, "outcome", outcome, "status", status,
		"sends", c.sends, "refused", c.refused, "events", c.events,
		"begin_ms", c.beginning.Milliseconds(), "keep_ms", c.keeping.Milliseconds(), "first_ms", c.first.Milliseconds(), "total_ms", elapsed.Milliseconds(), "patience_ms", c.deadline.Sub(c.arrived).Milliseconds(),
	}
	if c.route != nil {
		fields = append(fields, "route", c.route.Name, "routes_version", c.routes.Version)
	}
	if c.server != nil {
		fields = append(fields, "server", c.server.ID, "address", c.server.Address)
	}
	if err != nil {
		fields = append(fields, "error", err, "attempt_error", c.lastErr)
	}
	c.g.log.Info("request ended", fields...)
}

func (c *call) kind() string {
	if c.route == nil {
		return "unrouted"
	}
	return c.route.Kind.String()
}
