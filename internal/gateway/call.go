package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"ibistray.example/ibistray/internal/account"
	"ibistray.example/ibistray/internal/fleet"
	"ibistray.example/ibistray/internal/membudget"
	"ibistray.example/ibistray/internal/passthrough"
	"ibistray.example/ibistray/internal/policy/pace"
	"ibistray.example/ibistray/internal/policy/routeage"
	"ibistray.example/ibistray/internal/routing"
	"ibistray.example/ibistray/proto/ledgerpb"
)

const (
	// defaultMaxBodyBytes is the largest request body if the routes set no limit.
	defaultMaxBodyBytes = 8 << 20
	// busyRetryDelay is the delay before servers are tried again after all of them have
	// refused the request or failed.
	busyRetryDelay = 60 * time.Millisecond
	// viewTimeout limits how long a request waits for the first routes and servers
	// after a start. It leaves time for several attempts to reach a state host.
	viewTimeout = 800 * time.Millisecond
	// ledgerWaitPercent is the share of a request's timeout for which its turn may wait
	// to be sent to the ledger. The client needs the rest to retry at another entry.
	ledgerWaitPercent = 45
	// settleTimeout limits a settlement that continues after its request has ended.
	settleTimeout = 10 * time.Second
)

// Errors that end a request. refusals maps them to responses.
var (
	errNoRoutes         = errors.New("gateway: no routes received yet")
	errPartitioned      = errors.New("gateway: this entry is cut off from the quorum of the state hosts")
	errOutdatedRoutes   = errors.New("gateway: this entry lacks routes that must be in force")
	errNoRoute          = errors.New("gateway: no route matches host and path")
	errRouteUnconfirmed = errors.New("gateway: no route matches host and path, but this entry may lack newer ones")
	errNoServer         = errors.New("gateway: no backend server accepted the request")
	errOutcomeUnknown   = errors.New("gateway: the request may have run, but its response is lost")
	errBodyTooLarge     = errors.New("gateway: request body is too large")
	errClientGone       = errors.New("gateway: the client has disconnected")
)

// call handles one client request. It is not safe for concurrent use.
type call struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time

	routes   *routing.Document
	route    *routing.Route
	service  *routing.Service
	meta     RequestMeta
	account  *account.Account // client account, nil if the request has none
	body     []byte           // as received from the client
	request  passthrough.Request
	memory   membudget.Claim
	unread   *unreadLimiter // nil unless memory is limited
	response pace.Response  // how fast the response is forwarded

	deadline         time.Time
	stream           streamVersion     // on resumable routes
	previousServer   string            // ID of the server that ran the turn before, "" if not known
	triedServers     map[string]bool   // servers that refused the request or failed, by ID
	possibleRuns     int               // attempts that a server may have executed
	server           *fleet.Instance   // of the latest attempt
	lastErr          error             // of the latest attempt
	firstOutput      time.Duration     // time until the response started
	connection       uint64            // that carried the response of the latest attempt, 0: none
	exchange         int               // number of that attempt on the connection
	attemptStarted   time.Time         // start of the current attempt
	attemptOutput    time.Duration     // from the start of the current attempt until its first event, 0: none yet
	eventsBefore     int               // events that earlier attempts sent
	beginDuration    time.Duration     // time spent on the reservation before the turn
	keepDuration     time.Duration     // time spent on storing the turn after it
	eventsSent       int               // events with data that were sent to the client
	lastSentHasNoID  bool              // the latest of eventsSent has no ID, so the stream cannot be resumed
	record           outputRecord      // of the events of a turn that is kept, on resumable routes
	output           *membudget.Output // event data of a turn that is kept, nil on other routes
	responseStarted  bool              // status and headers were sent to the client
	status           int               // that was sent to the client, of a backend server
	notRunCount      int               // attempts that no server executed
	waitedForServers bool              // waitForServers was called before
	newProgram       bool              // the turn begins a program
	waiter           *permitWaiter     // while the request waits for a permit
	permit           *permit           // of the current attempt, nil if its server has no limit
	hasPermit        bool              // the request took a permit of its account
	permitTakenAt    time.Duration     // on the clock of the account client
	interimLeaving   bool              // an interim response of the current attempt said that its server leaves
	// ignoreShutdown lets a response that has begun go on when the others must be complete: there
	// is no other response to send.
	ignoreShutdown func() bool
	// stopSilenceTimers is called at the first output of the current attempt.
	stopSilenceTimers func() bool
}

// serve handles the request, sends the response or a refusal and logs the outcome. It
// aborts the response if it is partial or missing. If it returned, net/http would complete
// the response as a success.
func (c *call) serve() {
	err := c.prepare()
	if err == nil {
		err = c.forward()
	}
	// net/http ends the context when the body does not arrive in time, but the client is there.
	disconnected := c.r.Context().Err() != nil && !errors.Is(err, errBodyTimeout) && !errors.Is(err, errStopping)
	if errors.Is(err, errClientGone) || disconnected {
		c.logOutcome(c.goneOutcome(), 0, err)
		c.abort()
	}
	if err == nil {
		c.logOutcome("answered", c.status, nil)
		return
	}
	if c.responseStarted {
		c.g.metrics.BrokenResponses.WithLabelValues(breakReason(err)).Inc()
		c.logOutcome("broken_off", 0, err)
		c.abort()
	}
	refusal := refusalOf(err)
	c.refuse(refusal, err)
}

// abort closes the connection after a partial response or without one, so that the client
// does not take the response for complete. It panics with http.ErrAbortHandler.
func (c *call) abort() {
	if !c.r.ProtoAtLeast(1, 1) {
		// Without chunks, the regular end of the connection would complete the response.
		if err := resetConnection(c.w); err != nil {
			c.g.log.Info("connection of the client not reset", "request", c.meta.ID, "protocol", c.r.Proto, "error", err)
		}
	}
	panic(http.ErrAbortHandler)
}

// resetConnection closes the connection of a response by a reset, which the client reads as
// an error.
func resetConnection(w http.ResponseWriter) error {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return fmt.Errorf("gateway: take over the connection: %w", err)
	}
	defer conn.Close()
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return fmt.Errorf("gateway: %T cannot be reset", conn)
	}
	return tcp.SetLinger(0)
}

// prepare finds the route and the service of the request and reads its metadata and
// body.
func (c *call) prepare() error {
	if c.routes = c.waitForRoutes(); c.routes == nil {
		return errNoRoutes
	}
	if c.g.routesVerdict() == routeage.Outdated {
		return c.refuseOutdated()
	}
	if err := c.findRoute(); err != nil {
		return err
	}
	meta, err := c.g.cfg.Codec.DecodeRequest(c.r.Header)
	if err != nil {
		return err
	}
	c.meta = meta
	if c.usesLedger() {
		if err := meta.validateNames(); err != nil {
			return err
		}
	}
	timeout := c.route.Timeout
	if meta.Timeout > 0 {
		timeout = min(timeout, meta.Timeout)
	}
	c.deadline = c.arrived.Add(timeout)
	if err := c.identify(); err != nil {
		return err
	}
	service := c.route.ChooseService(c.trafficSplitKey())
	c.service = c.routes.Services[service]
	if err := c.readBody(c.r.RequestURI); err != nil {
		return err
	}
	return c.checkStopping()
}

// refuseOutdated returns the error of a request that meets outdated routes. Its servers may be
// outdated, too. The client reaches other entries.
func (c *call) refuseOutdated() error {
	c.w.Header().Set("Connection", "close")
	if c.g.view.lacksRoutes() {
		return errOutdatedRoutes
	}
	return errPartitioned
}

// findRoute finds the route of the request in c.routes, or in newer ones if none matches and these
// arrive within viewTimeout. Errors: errNoRoute, only if the routes are the newest ones, since a
// client does not retry then, and errRouteUnconfirmed.
func (c *call) findRoute() error {
	if c.matchRoute() {
		return nil
	}
	view := c.g.view
	ctx, cancel := context.WithTimeout(c.r.Context(), viewTimeout)
	defer cancel()
	view.waitUntil(ctx, func() bool { return !view.lacksRoutes() })
	verdict := c.g.routesVerdict()
	// Read after the verdict: newer routes may have come into force since the first look.
	if c.routes = view.routes.Load(); c.matchRoute() {
		return nil
	}
	if verdict != routeage.Current {
		c.w.Header().Set("Connection", "close")
		return errRouteUnconfirmed
	}
	return errNoRoute
}

// matchRoute sets the route that matches the request in c.routes and reports whether there is one.
func (c *call) matchRoute() bool {
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	c.route = c.routes.Match(c.r.Host, path)
	return c.route != nil
}

// usesLedger reports whether the request cannot be served without the ledger.
func (c *call) usesLedger() bool {
	return c.route.ProgramTurns || c.route.ResumableStream() && c.meta.LastEventID != ""
}

// waitForRoutes returns the routes in force, or nil if there are none after
// viewTimeout. An entry that has just started receives them sooner than a refused
// client could retry. One that was suspended first waits for an update, since its routes
// may be outdated.
func (c *call) waitForRoutes() *routing.Document {
	view := c.g.view
	if doc := view.routes.Load(); doc != nil && !view.wasSuspended() {
		return doc
	}
	ctx, cancel := context.WithTimeout(c.r.Context(), viewTimeout)
	defer cancel()
	view.waitUntil(ctx, func() bool { return view.routes.Load() != nil && !view.wasSuspended() })
	return view.routes.Load()
}

// trafficSplitKey returns the key that selects the service. It is the same for all
// requests of a program.
func (c *call) trafficSplitKey() string {
	if c.meta.Program != "" {
		return c.meta.Program
	}
	return c.meta.ID
}

// readBody reads the request body and builds the upstream request.
func (c *call) readBody(target string) error {
	if hasUnknownLength(c.r) {
		return fmt.Errorf("%w: body of an HTTP/1.0 request without a length", ErrBadRequest)
	}
	limit := int64(c.routes.Limits.BodyBytes)
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	defer c.limitBody()()
	body, err := c.readAll(http.MaxBytesReader(c.w, c.r.Body, limit), limit)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errBodyTooLarge
	}
	if err != nil {
		return c.bodyError(err)
	}
	c.body = body
	c.request = passthrough.Request{ID: c.meta.ID, Method: c.r.Method, Target: target, Host: c.r.Host, Body: body, OnHeader: c.observeHeader}
	return nil
}

// hasUnknownLength reports whether a request should have a body, but its length is not known:
// net/http ignores and removes a Transfer-Encoding in HTTP/1.0 and takes the body for empty.
func hasUnknownLength(r *http.Request) bool {
	switch r.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		return !r.ProtoAtLeast(1, 1) && r.Header.Get("Content-Length") == ""
	}
	return false
}

// bodyError returns the error of a request whose body could not be read. net/http ends the
// request's context before it returns an error of the client's connection. Any other error says
// that the body is malformed.
func (c *call) bodyError(err error) error {
	if c.bodyStopped(err) {
		return fmt.Errorf("%w before the request body arrived", errStopping)
	}
	if errors.Is(err, errNoMemory) || errors.Is(err, errBodyTooLarge) || errors.Is(err, errBodyTimeout) {
		return err
	}
	if c.r.Context().Err() != nil {
		return fmt.Errorf("%w: read body: %w", errClientGone, err)
	}
	return fmt.Errorf("%w: malformed body: %w", ErrBadRequest, err)
}

// forward forwards the request to a backend server. On routes with program turns, it
// reserves the turn before and settles it afterwards. Only a turn that succeeded is kept.
func (c *call) forward() error {
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	ctx, end, detach := c.g.shutdown.limit(ctx)
	defer end()
	c.ignoreShutdown = detach
	c.limitUnread()
	c.stream = newStreamVersion(&c.meta)
	if c.route.KeepTurns {
		if !c.route.ResumableStream() {
			// The turn would be kept without the events that the client says it holds.
			c.meta.LastEventID = ""
		}
		c.output = c.g.outputs.New()
		defer c.output.Release()
	}
	if !c.route.ProgramTurns {
		if err := c.takeAccountPermit(ctx); err != nil {
			return err
		}
		defer c.returnAccountPermit()
		if err := c.lookUpStream(ctx); err != nil {
			return err
		}
		return c.tryServers(ctx)
	}
	c.newProgram = c.g.ledger.isNewProgram(c.accountName(), &c.meta)
	if c.newProgram {
		if err := c.g.shedder.admit(c.service.Name, c.isLimited(), c.priority()); err != nil {
			return err
		}
	}
	if err := c.takeAccountPermit(ctx); err != nil {
		return err
	}
	defer c.returnAccountPermit()
	beginCtx, cancelBegin := context.WithDeadline(ctx, c.arrived.Add(c.route.EventTimeout()-firstEventMargin))
	defer cancelBegin()
	start := time.Now()
	stream := c.openStreamCommand()
	previous, err := c.g.ledger.begin(beginCtx, c.accountName(), &c.meta, stream, c.queueOptions())
	c.beginDuration = time.Since(start)
	if errors.Is(err, errMayBeReserved) {
		c.settleAsync()
	}
	if err != nil {
		return err
	}
	c.streamOpened(stream, previous.streamVersion)
	if err := c.restoreOutput(previous.output); err != nil {
		c.settleAsync()
		return err
	}
	if err := c.prependHistory(ctx, previous); err != nil {
		c.settleAsync()
		return err
	}
	c.previousServer = previous.server
	err = c.tryServers(ctx)
	if err == nil && c.route.KeepTurns && c.status/100 == 2 {
		return c.keepTurn(ctx)
	}
	c.settleAsync()
	return err
}

// queueOptions returns the options with which the turn waits for the ledger. The send
// deadline leaves the client enough time for a retry.
func (c *call) queueOptions() queueOptions {
	return queueOptions{priority: c.priority(), kept: c.route.KeepTurns, sendBy: c.arrived.Add(c.deadline.Sub(c.arrived) * ledgerWaitPercent / 100)}
}

// prependTurns puts the input and output of earlier turns before the request body.
func (c *call) prependTurns(turns []*ledgerpb.Exchange) {
	if len(turns) == 0 {
		return
	}
	parts := make([][]byte, 0, 2*len(turns)+1)
	for _, turn := range turns {
		parts = append(parts, turn.Input, turn.Output)
	}
	c.request.Body = slices.Concat(append(parts, c.body)...)
}

// logOutcome records the metrics of the request and writes its only summary line.
func (c *call) logOutcome(outcome string, status int, err error) {
	elapsed := time.Since(c.arrived)
	c.g.metrics.Calls.WithLabelValues(c.kindLabel(), outcome).Inc()
	c.g.metrics.CallSeconds.WithLabelValues(c.kindLabel()).Observe(elapsed.Seconds())
	if c.firstOutput > 0 {
		c.g.metrics.FirstOutputSeconds.Observe(c.firstOutput.Seconds())
	}
	fields := []any{
		"request", c.meta.ID, "account", c.accountName(), "program", c.meta.Program, "previous", c.meta.PreviousTurn, "outcome", outcome, "status", status,
		"sends", c.possibleRuns, "refused", c.notRunCount, "events", c.eventsSent,
		"begin_ms", c.beginDuration.Milliseconds(), "keep_ms", c.keepDuration.Milliseconds(), "first_ms", c.firstOutput.Milliseconds(), "total_ms", elapsed.Milliseconds(), "patience_ms", c.deadline.Sub(c.arrived).Milliseconds(),
	}
	if c.output != nil {
		fields = append(fields, "output_bytes", c.output.Len())
	}
	if c.stream.resumed {
		fields = append(fields, "resumes", c.stream.resumes, "stream_version", c.stream.version)
	}
	if c.routes != nil {
		fields = append(fields, "routes_version", c.routes.Version)
	}
	if c.route != nil {
		fields = append(fields, "route", c.route.Name)
	}
	if c.server != nil {
		fields = append(fields, "server", c.server.ID, "address", c.server.Address, "version", c.server.Version)
	}
	if err != nil {
		fields = append(fields, "error", err, "attempt_error", c.lastErr)
		if c.responseStarted {
			fields = append(fields, "break_reason", breakReason(err))
		}
	}
	c.g.log.Info("request ended", fields...)
}

// kindLabel returns the metric label of the request kind.
func (c *call) kindLabel() string {
	if c.route == nil {
		return "unrouted"
	}
	return c.route.Kind.String()
}
