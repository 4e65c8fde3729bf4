package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"ibistray.example/ibistray/internal/passthrough"
	"ibistray.example/ibistray/internal/routing"
)

// errGarbled says that an answer does not belong to the request or is not the
// server's whole answer.
var errGarbled = errors.New("gateway: the answer is not that of the request")

// errQuarantined refuses a request whose content crashed several servers.
var errQuarantined = errors.New("gateway: the request crashed each server that ran it")

// errNotRun is the outcome of an attempt that a server refused without running it.
var errNotRun = errors.New("gateway: the server did not run the request")

// run offers the request to servers until one has answered it. Errors: errNoServer
// (it never ran), errUnclear, errCaller.
func (c *call) run(ctx context.Context) error {
	c.request.Header = c.r.Header.Clone()
	removeHopHeaders(c.request.Header)
	c.request.Header.Del("Content-Length")
	for {
		if c.g.suspects.known.Load() && c.g.suspects.quarantined(c.fingerprint(), time.Now()) {
			return c.giveUp(errQuarantined)
		}
		if err := c.choose(ctx); err != nil {
			return err
		}
		err := c.attempt(ctx)
		c.judge(err)
		if err == nil {
			return nil
		}
		c.lastErr = err
		c.tried[c.server.ID] = true
		c.logAttempt(err)
		if c.r.Context().Err() != nil {
			return fmt.Errorf("%w: %w", errCaller, err)
		}
		if errors.Is(err, errNotRun) || errors.Is(err, passthrough.ErrNotSent) {
			c.refused++
			c.g.metrics.Retries.WithLabelValues("not_run").Inc()
			continue
		}
		c.sends++
		if !c.mayRepeat(ctx) {
			return fmt.Errorf("%w: %w", errUnclear, err)
		}
		c.g.metrics.Retries.WithLabelValues("broken").Inc()
	}
}

// logAttempt writes the line of an attempt that did not answer the request.
func (c *call) logAttempt(err error) {
	c.g.log.Info("attempt ended", "request", c.meta.ID, "program", c.meta.Program, "server", c.server.ID, "address", c.server.Address,
		"sends", c.sends, "may_have_run", !errors.Is(err, errNotRun) && passthrough.Sent(err), "begun", c.began,
		"left_ms", time.Until(c.deadline).Milliseconds(), "heartbeat_ms_ago", time.Since(c.server.LastHeartbeat).Milliseconds(), "error", err)
}

// judge takes in what the end of an attempt says about its server and about the
// request.
func (c *call) judge(err error) {
	now := time.Now()
	v := c.verdict(err)
	c.g.loads.release(c.server.ID, v, now)
	switch {
	case v == verdictUnreachable:
		c.g.suspects.unreachable(c.server, now)
	case v == verdictFailed && errors.Is(err, passthrough.ErrBroken):
		c.g.suspects.broke(c.fingerprint(), c.server, now)
	case err == nil && c.g.suspects.known.Load():
		c.g.suspects.answered(c.fingerprint(), now)
	}
}

// verdict tells what the end of an attempt says about its server.
func (c *call) verdict(err error) verdict {
	switch {
	case err == nil, errors.Is(err, errNotRun):
		return verdictFine
	case errors.Is(err, errSilent), c.r.Context().Err() != nil:
		// A silent server was judged when its answer was overdue.
		return verdictNone
	case errors.Is(err, passthrough.ErrNotSent):
		return verdictUnreachable
	}
	return verdictFailed
}

// mayRepeat reports whether a request that may have run can be sent again.
func (c *call) mayRepeat(ctx context.Context) bool {
	if c.began && c.route.Kind != routing.KindStream {
		return false
	}
	return c.route.Repeatable() && c.sends < c.route.MaxAttempts && ctx.Err() == nil
}

// choose finds the next server. While all are full it asks them again after a
// pause, until too little time is left.
func (c *call) choose(ctx context.Context) error {
	for {
		if ctx.Err() != nil {
			return c.giveUp(ctx.Err())
		}
		question := choice{
			servers: c.g.view.usable(c.service.Name),
			tried:   c.tried,
			key:     c.placeKey(),
			domain:  c.g.cfg.FailureDomain,
			now:     time.Now(),
		}
		if c.server = c.g.loads.take(question); c.server != nil {
			return nil
		}
		if len(question.servers) == 0 {
			if !c.awaitServers(ctx) {
				return c.giveUp(errNoServer)
			}
			continue
		}
		if time.Until(c.deadline) < c.deadline.Sub(c.arrived)/2 {
			return c.giveUp(errNoServer)
		}
		clear(c.tried)
		timer := time.NewTimer(fullPause)
		select {
		case <-ctx.Done():
			timer.Stop()
		case <-timer.C:
		}
	}
}

// awaitServers waits once for servers of the service to be known: after a start of
// the state hosts their heartbeats come in again one by one.
func (c *call) awaitServers(ctx context.Context) bool {
	if c.waited {
		return false
	}
	c.waited = true
	ctx, cancel := context.WithTimeout(ctx, viewWait)
	defer cancel()
	view := c.g.view
	return view.await(ctx, func() bool { return len(view.usable(c.service.Name)) > 0 })
}

// giveUp returns the error of a request that no server takes.
func (c *call) giveUp(cause error) error {
	if c.sends > 0 {
		return fmt.Errorf("%w: %w", errUnclear, cause)
	}
	if errors.Is(cause, errQuarantined) {
		return cause
	}
	return fmt.Errorf("%w: %w", errNoServer, cause)
}

// placeKey returns the key by which requests that share a prompt or subject go to
// the same server.
func (c *call) placeKey() string {
	if !c.route.SessionAffinity {
		return ""
	}
	if c.meta.Program != "" && c.route.Kind == routing.KindStream {
		return c.meta.Program
	}
	return c.meta.Subject
}

// attempt sends the request to the chosen server and passes its answer on. Errors:
// passthrough.ErrNotSent and errNotRun (it did not run), others (it may have run).
func (c *call) attempt(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.answering = c.watchSilence(cancel)
	defer c.answering()
	begun := time.Now()
	c.g.cfg.Codec.EncodeRequest(c.request.Header, AttemptMeta{
		Timeout:     time.Until(c.deadline),
		InstanceID:  c.server.ID,
		Priority:    c.urgency(),
		LastEventID: c.meta.LastEventID,
		ModelEngine: c.service.Engine != nil,
	})
	server := passthrough.Server{ID: c.server.ID, Address: c.server.Address}
	exchange, err := c.g.servers.Do(ctx, server, &c.request)
	if err != nil {
		return causeOf(ctx, err)
	}
	if c.route.Kind != routing.KindStream && exchange.Response.StatusCode/100 == 2 {
		c.g.loads.observe(c.route.Name, time.Since(begun))
	}
	err = causeOf(ctx, c.takeAnswer(exchange))
	exchange.Close(err == nil || errors.Is(err, errNotRun))
	return err
}

// errSilent ends an attempt whose server does not begin to answer.
var errSilent = errors.New("gateway: the server does not begin to answer")

// causeOf adds why an attempt was ended from here.
func causeOf(ctx context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(ctx), errSilent) {
		return fmt.Errorf("%w: %w", errSilent, err)
	}
	return err
}

// watchSilence watches for the first output of an attempt. A server whose answer is
// overdue is used less; the attempt is ended where another server may be asked. The
// returned function ends the watch.
func (c *call) watchSilence(cancel context.CancelCauseFunc) func() {
	server := c.server.ID
	overdue := c.g.loads.overdue(c.route.Name, c.route.LatencyTarget, c.route.Kind == routing.KindStream)
	limit := c.attemptLimit(overdue)
	var timers []*time.Timer
	if overdue > 0 {
		timers = append(timers, time.AfterFunc(overdue, func() { c.g.loads.suspect(server, time.Now()) }))
	}
	if limit > 0 {
		timers = append(timers, time.AfterFunc(limit, func() { cancel(errSilent) }))
	}
	return func() {
		for _, timer := range timers {
			timer.Stop()
		}
	}
}

// attemptLimit bounds the wait for the first output where another server may still
// be asked; 0: no bound.
func (c *call) attemptLimit(overdue time.Duration) time.Duration {
	if !c.route.Repeatable() || c.sends+1 >= c.route.MaxAttempts || overdue <= 0 {
		return 0
	}
	half := time.Until(c.deadline) / 2
	if half < overdue {
		return 0
	}
	if c.route.Kind == routing.KindStream {
		return half
	}
	return overdue
}

// urgency returns the rank of the request at a model engine.
func (c *call) urgency() int {
	return min(9, 2+2*c.route.Priority)
}

// takeAnswer checks the head of an answer and passes the answer on.
func (c *call) takeAnswer(exchange *passthrough.Exchange) error {
	resp := exchange.Response
	answer := c.g.cfg.Codec.DecodeResponse(resp.StatusCode, resp.Header)
	if answer.NotRun {
		if _, err := io.Copy(io.Discard, exchange.Body); err != nil {
			c.g.log.Debug("refusal not read to its end", "request", c.meta.ID, "server", c.server.ID, "error", err)
		}
		return fmt.Errorf("%w: status %d", errNotRun, resp.StatusCode)
	}
	if answer.RequestID != c.meta.ID {
		return fmt.Errorf("%w: it bears the ID %q", errGarbled, answer.RequestID)
	}
	if resp.Header.Get("Content-Encoding") != "" {
		return fmt.Errorf("%w: it has a content encoding", errGarbled)
	}
	success := resp.StatusCode/100 == 2
	switch {
	case success && !answer.Signed:
		return fmt.Errorf("%w: it is not signed", errGarbled)
	case promisesNotRun(resp.StatusCode):
		// The client would take it for a promise that the server did not make.
		return fmt.Errorf("%w: status %d without a promise", errGarbled, resp.StatusCode)
	case resp.StatusCode >= http.StatusInternalServerError && c.route.Repeatable() && c.sends+1 < c.route.MaxAttempts:
		return fmt.Errorf("gateway: the server failed with status %d", resp.StatusCode)
	case success && c.route.Kind == routing.KindStream:
		return c.passStream(exchange)
	}
	return c.passPlain(exchange)
}

// promisesNotRun reports whether clients take a status for a promise that the
// request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
