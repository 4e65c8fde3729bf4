package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"ibistray.example/ibistray/internal/leaderclient"
	"ibistray.example/ibistray/internal/policy/gate"
	"ibistray.example/ibistray/internal/policy/streampin"
)

// Reasons of refusals. Clients, logs and metrics receive them.
const (
	reasonNoRoutes          = "no_routes"
	reasonNoRoute           = "no_route"
	reasonRouteUnconfirmed  = "route_unconfirmed"
	reasonPartitioned       = "partitioned"
	reasonOutdatedRoutes    = "routes_outdated"
	reasonBadRequest        = "bad_request"
	reasonBodyTooLarge      = "body_too_large"
	reasonBudgetSpent       = "budget_spent"
	reasonUnclear           = "unclear"
	reasonUnknownTurn       = "unknown_turn"
	reasonNoServer          = "no_server"
	reasonUnknownKey        = "unknown_key"
	reasonAccountLimit      = "account_limit"
	reasonUnconfirmed       = "account_unconfirmed"
	reasonNoAccountPermit   = "account_unavailable"
	reasonQuarantined       = "quarantined"
	reasonServerLimit       = "server_limit"
	reasonShed              = "programs_shed"
	reasonUnanswered        = "unanswered"
	reasonLedgerUnavailable = "ledger_unavailable"
	reasonLedgerBusy        = "ledger_busy"
	reasonLedgerFull        = "ledger_full"
	reasonUnknownStream     = "unknown_stream"
	reasonVersionGone       = "stream_version_gone"
	reasonOutdatedView      = "servers_outdated"
	reasonMemory            = "memory"
	reasonConnections       = "connections"
	reasonBodyTimeout       = "body_timeout"
	reasonStopping          = "entry_stopping"
	reasonInternal          = "internal"
)

// refusal is the response to a request for which no server response can be forwarded.
type refusal struct {
	Reason    string
	Status    int
	Retryable bool // the request has not run, so the client may retry it
}

// refusals maps errors to refusals. The first match applies.
var refusals = []struct {
	err error
	refusal
}{
	{errNoRoutes, refusal{reasonNoRoutes, http.StatusServiceUnavailable, true}},
	{errPartitioned, refusal{reasonPartitioned, http.StatusServiceUnavailable, true}},
	{errOutdatedRoutes, refusal{reasonOutdatedRoutes, http.StatusServiceUnavailable, true}},
	{errUnknownKey, refusal{reasonUnknownKey, http.StatusUnauthorized, false}},
	{errAccountUnconfirmed, refusal{reasonUnconfirmed, http.StatusServiceUnavailable, true}},
	{errAccountLimit, refusal{reasonAccountLimit, http.StatusTooManyRequests, true}},
	{errAccountUnavailable, refusal{reasonNoAccountPermit, http.StatusServiceUnavailable, true}},
	{errNoRoute, refusal{reasonNoRoute, http.StatusNotFound, false}},
	{errRouteUnconfirmed, refusal{reasonRouteUnconfirmed, http.StatusServiceUnavailable, true}},
	{ErrBadRequest, refusal{reasonBadRequest, http.StatusBadRequest, false}},
	{errNoMemory, refusal{reasonMemory, http.StatusServiceUnavailable, true}},
	{errNoConnection, refusal{reasonConnections, http.StatusServiceUnavailable, true}},
	{errBodyTimeout, refusal{reasonBodyTimeout, http.StatusRequestTimeout, true}},
	{errBodyTooLarge, refusal{reasonBodyTooLarge, http.StatusRequestEntityTooLarge, false}},
	{errBudgetSpent, refusal{reasonBudgetSpent, http.StatusPaymentRequired, false}},
	{errOutcomeUnknown, refusal{reasonUnclear, http.StatusBadGateway, false}},
	{errStopping, refusal{reasonStopping, http.StatusServiceUnavailable, true}},
	{errUnknownTurn, refusal{reasonUnknownTurn, http.StatusNotFound, false}},
	// The client starts the stream anew; waiting would not bring its version back.
	{errUnknownStream, refusal{reasonUnknownStream, http.StatusServiceUnavailable, false}},
	{streampin.ErrUnknownVersion, refusal{reasonUnknownStream, http.StatusServiceUnavailable, false}},
	{streampin.ErrVersionNotServed, refusal{reasonVersionGone, http.StatusServiceUnavailable, false}},
	{streampin.ErrOutdatedView, refusal{reasonOutdatedView, http.StatusServiceUnavailable, true}},
	{errNoServer, refusal{reasonNoServer, http.StatusServiceUnavailable, true}},
	{errShed, refusal{reasonShed, http.StatusServiceUnavailable, true}},
	{errLimited, refusal{reasonServerLimit, http.StatusServiceUnavailable, true}},
	{errQuarantined, refusal{reasonQuarantined, http.StatusServiceUnavailable, false}},
	{gate.ErrOverloaded, refusal{reasonLedgerBusy, http.StatusServiceUnavailable, true}},
	{errLedgerFull, refusal{reasonLedgerFull, http.StatusServiceUnavailable, true}},
	{leaderclient.ErrUnavailable, refusal{reasonLedgerUnavailable, http.StatusServiceUnavailable, true}},
	{errChainBroken, refusal{reasonLedgerUnavailable, http.StatusServiceUnavailable, true}},
	{leaderclient.ErrRefused, refusal{reasonLedgerUnavailable, http.StatusServiceUnavailable, true}},
}

// refusalOf returns the refusal for an error.
func refusalOf(err error) refusal {
	if errors.Is(err, errOutcomeUnknown) && errors.Is(err, context.DeadlineExceeded) {
		return refusal{reasonUnanswered, http.StatusGatewayTimeout, false}
	}
	for _, r := range refusals {
		if errors.Is(err, r.err) {
			return r.refusal
		}
	}
	return refusal{reasonInternal, http.StatusBadGateway, false}
}

// refuse sends a refusal to the client and logs the outcome.
func (c *call) refuse(f refusal, cause error) {
	c.g.metrics.Refusals.WithLabelValues(f.Reason).Inc()
	c.recordShortage(cause)
	header := c.w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if f.Retryable {
		c.g.cfg.Codec.EncodeRetryAfter(header, retryAfter(cause))
	}
	c.w.WriteHeader(f.Status)
	if _, err := fmt.Fprintln(c.w, f.Reason); err != nil {
		c.g.log.Debug("refusal not sent to the client", "request", c.meta.ID, "error", err)
	}
	c.logOutcome("refused_"+f.Reason, f.Status, cause)
}
