package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"ibistray.example/ibistray/internal/fleet"
	"ibistray.example/ibistray/internal/membudget"
	"ibistray.example/ibistray/internal/passthrough"
	"ibistray.example/ibistray/internal/policy/streampin"
	"ibistray.example/ibistray/internal/routing"
)

// errInvalidResponse is wrapped by errors about responses that belong to another request
// or that were modified or truncated on the way.
var errInvalidResponse = errors.New("gateway: invalid response from the backend server")

// errQuarantined refuses a request whose content has crashed several servers.
var errQuarantined = errors.New("gateway: the request is quarantined because it crashed several backend servers")

// errNotResumed says that the server did not continue a stream after the last event that the
// client has.
var errNotResumed = errors.New("gateway: the backend server did not resume the stream")

// errNotRun says that the server refused the request without running it.
var errNotRun = errors.New("gateway: the backend server did not run the request")

// tryServers sends the request to one server after another until one has responded.
// Errors: errNoServer and errQuarantined (no server ran it), errOutcomeUnknown and
// errClientGone.
func (c *call) tryServers(ctx context.Context) error {
	c.request.Header = c.r.Header.Clone()
	removeHopByHopHeaders(c.request.Header)
	c.request.Header.Del("Content-Length")
	defer c.leaveQueue()
	for {
		if c.g.crashDetector.hasCrashes.Load() && c.g.crashDetector.isQuarantined(c.fingerprint(), time.Now()) {
			return c.noServerError(errQuarantined)
		}
		if err := c.selectServer(ctx); err != nil {
			return err
		}
		if err := c.recordVersion(ctx); err != nil {
			return c.noServerError(err)
		}
		err := c.attempt(ctx)
		c.recordOutcome(err)
		if err == nil {
			return nil
		}
		if errors.Is(err, errNotAsked) {
			c.g.metrics.Retries.WithLabelValues("not_asked").Inc()
			continue
		}
		c.lastErr = err
		c.triedServers[c.server.ID] = true
		c.logFailedAttempt(err)
		if c.r.Context().Err() != nil {
			return fmt.Errorf("%w: %w", errClientGone, err)
		}
		if errors.Is(err, errNotRun) || errors.Is(err, passthrough.ErrNotSent) {
			c.notRunCount++
			c.g.metrics.Retries.WithLabelValues("not_run").Inc()
			continue
		}
		c.possibleRuns++
		if !c.mayRetry(ctx) {
			return fmt.Errorf("%w: %w", errOutcomeUnknown, err)
		}
		c.g.metrics.Retries.WithLabelValues("broken").Inc()
	}
}

// logFailedAttempt logs an attempt that did not yield a response.
func (c *call) logFailedAttempt(err error) {
	c.g.log.Info("attempt ended", "request", c.meta.ID, "program", c.meta.Program, "server", c.server.ID, "address", c.server.Address, "version", c.server.Version,
		"connection", c.connection, "exchange", c.exchange, "sends", c.possibleRuns, "may_have_run", !errors.Is(err, errNotRun) && passthrough.MayHaveBeenSent(err), "begun", c.responseStarted,
		"left_ms", time.Until(c.deadline).Milliseconds(), "heartbeat_ms_ago", time.Since(c.server.LastHeartbeat).Milliseconds(), "error", err)
}

// recordOutcome updates load tracking and crash detection after an attempt. err is the
// error of the attempt.
func (c *call) recordOutcome(err error) {
	now := time.Now()
	outcome := c.classifyAttempt(err)
	c.g.loads.release(c.server.ID, outcome, now)
	c.recordTurn(err)
	switch {
	case outcome == outcomeUnreachable:
		c.g.crashDetector.recordUnreachable(c.server, now)
	case outcome == outcomeFailed && errors.Is(err, passthrough.ErrConnectionLost):
		c.g.crashDetector.recordInterrupted(c.fingerprint(), c.server, c.attemptStarted, now)
	case err == nil && c.g.crashDetector.remembers(len(c.body)):
		c.g.crashDetector.recordSuccess(c.fingerprint(), now)
	}
}

// classifyAttempt returns what the error of an attempt shows about its server.
func (c *call) classifyAttempt(err error) attemptOutcome {
	switch {
	case err == nil:
		return outcomeOK
	case errors.Is(err, errNotRun):
		return outcomeRefused
	case errors.Is(err, errNotAsked):
		return outcomeInconclusive
	case endsByEntry(err), c.r.Context().Err() != nil:
		return outcomeInconclusive
	case errors.Is(err, passthrough.ErrNotSent):
		return outcomeUnreachable
	}
	return outcomeFailed
}

// mayRetry reports whether a request that may have run can be sent to another server.
func (c *call) mayRetry(ctx context.Context) bool {
	if c.responseStarted && !c.isStream(c.status) {
		return false
	}
	if isOutputError(c.lastErr) {
		return false
	}
	if c.lastSentHasNoID {
		// No server could tell where to continue.
		return false
	}
	return c.route.Repeatable() && c.possibleRuns < c.route.MaxAttempts && ctx.Err() == nil
}

// isStream reports whether a response of the given status is an event stream. Only such a
// response can be continued by another server once it has started.
func (c *call) isStream(status int) bool {
	return c.route.Kind == routing.KindStream && status/100 == 2
}

// selectServer selects the server of the next attempt. When all servers were tried, it
// starts over after busyRetryDelay, until less than half of the time is left. While those
// that are left have reached their limits, it waits for a permit.
func (c *call) selectServer(ctx context.Context) error {
	for {
		if ctx.Err() != nil {
			return c.noServerError(context.Cause(ctx))
		}
		if err := c.checkStopping(); err != nil {
			return c.noServerError(err)
		}
		sel := c.newSelection(c.g.view.usableServers(c.service.Name))
		if len(sel.servers) == 0 {
			if !c.waitForServers(ctx) {
				return c.noServerError(errNoServer)
			}
			continue
		}
		var err error
		if sel.versions, err = c.pin(sel.servers); err != nil {
			if errors.Is(err, streampin.ErrOutdatedView) && c.waitForCurrentView(ctx) {
				continue
			}
			return c.noServerError(err)
		}
		c.permit = nil
		if c.server = c.g.loads.acquire(sel); c.server != nil {
			c.leaveQueue()
			return nil
		}
		if preferred := c.g.loads.preferences(sel); len(preferred) > 0 {
			if c.obtainPermit(ctx, preferred) {
				c.leaveQueue()
				return nil
			}
			continue
		}
		blocked := c.blockedServers(sel)
		switch {
		case time.Until(c.deadline) < c.deadline.Sub(c.arrived)/2:
			return c.noServerError(errNoServer)
		case len(blocked) > 0:
			if err := c.waitForPermit(ctx, blocked); err != nil {
				return c.noServerError(err)
			}
			continue
		}
		clear(c.triedServers)
		timer := time.NewTimer(busyRetryDelay)
		select {
		case <-ctx.Done():
			timer.Stop()
		case <-timer.C:
		}
	}
}

// newSelection returns the inputs that select a server for the next attempt.
func (c *call) newSelection(servers []*fleet.Instance) selection {
	return selection{
		servers:       servers,
		exclude:       c.triedServers,
		key:           c.affinityKey(),
		home:          c.previousServer,
		newHome:       c.route.KeepTurns && c.previousServer == "",
		failureDomain: c.g.cfg.FailureDomain,
		blocked:       c.isBlocked,
		mayAsk:        c.g.queues.mayAsk(c.service.Name, c.waiter),
		now:           time.Now(),
	}
}

// blockedServers returns the servers of a selection that take no request now, because of
// their limits or since their windows are full.
func (c *call) blockedServers(sel selection) []*fleet.Instance {
	var list []*fleet.Instance
	for _, server := range sel.servers {
		if !sel.versions.Allows(server.Version) {
			continue
		}
		if server.Limited() || !c.g.loads.isOpen(server, sel.mayAsk) {
			list = append(list, server)
		}
	}
	return list
}

// waitForServers waits until a server of the service is known, and reports whether one
// is. After a restart of the state hosts, servers appear one by one with their
// heartbeats. A request waits at most once.
func (c *call) waitForServers(ctx context.Context) bool {
	if c.waitedForServers {
		return false
	}
	c.waitedForServers = true
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	view := c.g.view
	return view.waitUntil(ctx, func() bool { return len(view.usableServers(c.service.Name)) > 0 })
}

// waitForCurrentView waits until a state host has sent an update, for viewTimeout at most, and
// reports whether one has. Otherwise the client should go to another entry.
func (c *call) waitForCurrentView(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	if c.g.view.waitUntil(ctx, c.g.view.isCurrent) {
		return true
	}
	c.w.Header().Set("Connection", "close")
	return false
}

// noServerError returns the final error of a request that cannot be sent to another
// server. It depends on whether the request may have run.
func (c *call) noServerError(cause error) error {
	if c.possibleRuns > 0 {
		return fmt.Errorf("%w: %w", errOutcomeUnknown, cause)
	}
	if refusalOf(cause).Reason != reasonInternal {
		return cause
	}
	return fmt.Errorf("%w: %w", errNoServer, cause)
}

// affinityKey returns the key that sends requests with a common prompt or subject to the
// same server. It returns "" on routes without affinity.
func (c *call) affinityKey() string {
	if !c.route.SessionAffinity {
		return ""
	}
	if c.meta.Program != "" && c.route.Kind == routing.KindStream {
		return c.meta.Program
	}
	return c.meta.Subject
}

// attempt sends the request to the selected server and forwards the response. The
// request did not run if the error wraps passthrough.ErrNotSent or errNotRun; it may
// have run for any other error.
func (c *call) attempt(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	start := time.Now()
	c.attemptStarted, c.attemptOutput, c.eventsBefore = start, 0, c.eventsSent
	c.interimLeaving = false
	c.connection, c.exchange = 0, 0
	if err := c.checkServer(); err != nil {
		return err
	}
	if c.output != nil {
		c.output.OnEnd(func() { cancel(membudget.ErrOutputEnded) })
		defer c.output.OnEnd(nil)
	}
	c.stopSilenceTimers = c.startSilenceTimers(cancel)
	defer c.stopSilenceTimers()
	c.g.cfg.Codec.EncodeRequest(c.request.Header, AttemptMeta{
		Timeout:     time.Until(c.deadline),
		InstanceID:  c.server.ID,
		Priority:    c.enginePriority(),
		LastEventID: c.meta.LastEventID,
		ModelEngine: c.service.Engine != nil,
		Account:     c.accountName(),
	})
	server := passthrough.Server{ID: c.server.ID, Address: c.server.Address}
	exchange, err := c.g.servers.Do(ctx, server, &c.request)
	if err != nil {
		return withCause(ctx, err)
	}
	c.connection, c.exchange = exchange.Connection, exchange.Sequence
	if c.route.Kind != routing.KindStream && exchange.Response.StatusCode/100 == 2 {
		c.g.loads.observeLatency(c.route.Name, time.Since(start))
	}
	err = withCause(ctx, c.handleResponse(exchange))
	exchange.Close(readToEnd(err))
	if err == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.g.runs.record(c.route.Name, time.Since(start), time.Now())
	}
	return err
}

// readToEnd reports whether handleResponse, which returned err, has read the response up to
// its end.
func readToEnd(err error) bool {
	return err == nil || errors.Is(err, errNotRun) && !errors.Is(err, passthrough.ErrConnectionLost)
}

// errSilent ends an attempt whose server sent no output in time.
var errSilent = errors.New("gateway: the backend server sent no output in time")

// endsByEntry reports whether an attempt ended by a decision of this entry, which says nothing about
// its server. A silent server was penalized when its output was overdue.
func endsByEntry(err error) bool {
	return errors.Is(err, errSilent) || errors.Is(err, errStopping) || errors.Is(err, membudget.ErrOutputEnded)
}

// withCause adds the cause to err if the entry has cancelled ctx, see endsByEntry.
func withCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); err != nil && endsByEntry(cause) {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}

// startSilenceTimers starts the timers that limit the wait for the first output. The
// first one penalizes the server, the second one cancels the attempt if the request may
// be sent to another server. The returned function stops both, and reports whether the attempt
// goes on: its connection may be closed later than the second timer expires.
func (c *call) startSilenceTimers(cancel context.CancelCauseFunc) func() bool {
	server := c.server.ID
	threshold := c.g.loads.silenceThreshold(c.route.Name, c.route.LatencyTarget, c.route.Kind == routing.KindStream)
	timeout := c.firstOutputTimeout(threshold)
	var penalty, limit *time.Timer
	if threshold > 0 {
		penalty = time.AfterFunc(threshold, func() { c.g.loads.recordSilence(server, time.Now()) })
	}
	if timeout > 0 {
		limit = time.AfterFunc(timeout, func() { cancel(errSilent) })
	}
	inTime := true
	return func() bool {
		if penalty != nil {
			penalty.Stop()
			penalty = nil
		}
		if limit != nil {
			inTime = limit.Stop()
			limit = nil
		}
		return inTime
	}
}

// firstOutputTimeout returns how long an attempt waits for the first output before the
// request is sent to another server. 0 means no limit. At least half of the remaining
// time is left for the other server.
func (c *call) firstOutputTimeout(threshold time.Duration) time.Duration {
	if !c.route.Repeatable() || c.possibleRuns+1 >= c.route.MaxAttempts || threshold <= 0 {
		return 0
	}
	half := time.Until(c.deadline) / 2
	if half < threshold {
		return 0
	}
	if c.route.Kind == routing.KindStream {
		return half
	}
	return threshold
}

// handleResponse validates the headers of a response and forwards it.
func (c *call) handleResponse(exchange *passthrough.Exchange) error {
	resp := exchange.Response
	meta := c.g.cfg.Codec.DecodeResponse(resp.StatusCode, resp.Header)
	// A refusal without a request ID is taken as the request's own if it is the first response
	// on the connection: a server that could not read the ID, or that is not the expected one, has
	// none to return. A later one may be a copy of an earlier refusal.
	refusalWithoutID := meta.NotRun && meta.RequestID == "" && exchange.Sequence == 1
	if meta.RequestID != c.meta.ID && !refusalWithoutID {
		return fmt.Errorf("%w: request ID is %q, want %q", errInvalidResponse, meta.RequestID, c.meta.ID)
	}
	if meta.NotRun {
		return readRefusal(exchange)
	}
	if resp.Header.Get("Content-Encoding") != "" {
		return fmt.Errorf("%w: unexpected content encoding %q", errInvalidResponse, resp.Header.Get("Content-Encoding"))
	}
	success := resp.StatusCode/100 == 2
	switch {
	case success && !meta.Signed:
		return fmt.Errorf("%w: signature is missing", errInvalidResponse)
	case c.responseStarted && resp.StatusCode != c.status:
		// The body is not part of the stream, and forwarding it would end the response as
		// if the stream were complete.
		return fmt.Errorf("%w: status %d", errNotResumed, resp.StatusCode)
	case signalsNotRun(resp.StatusCode):
		// Clients would conclude from the status that the request has not run, which the
		// server did not confirm.
		return fmt.Errorf("%w: status %d without confirmation that the request did not run", errInvalidResponse, resp.StatusCode)
	case resp.StatusCode >= http.StatusInternalServerError && c.route.Repeatable() && c.possibleRuns+1 < c.route.MaxAttempts:
		return fmt.Errorf("gateway: the backend server failed with status %d", resp.StatusCode)
	case c.isStream(resp.StatusCode):
		return c.forwardStream(exchange)
	}
	return c.forwardPlain(exchange)
}

// readRefusal reads the rest of a response that says that the request was not run. The
// error wraps errNotRun, and passthrough.ErrConnectionLost if the body could not be read to
// its end.
func readRefusal(exchange *passthrough.Exchange) error {
	exchange.MarkRefused()
	status := exchange.Response.StatusCode
	n, err := io.Copy(io.Discard, io.LimitReader(exchange.Body, maxRefusalBytes))
	if err == nil && n == maxRefusalBytes {
		err = fmt.Errorf("%w: the body is larger than %d bytes", passthrough.ErrConnectionLost, maxRefusalBytes)
	}
	if err != nil {
		return fmt.Errorf("%w: status %d: %w", errNotRun, status, err)
	}
	return fmt.Errorf("%w: status %d", errNotRun, status)
}

// signalsNotRun reports whether clients conclude from a status that the request has not
// run.
func signalsNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
