package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"ibistray.example/ibistray/internal/leaderclient"
	"ibistray.example/ibistray/internal/policy/gate"
)

// Reasons of final answers that come from the entry.
const (
	reasonNoRoutes          = "no_routes"
	reasonNoRoute           = "no_route"
	reasonBadRequest        = "bad_request"
	reasonBodyTooLarge      = "body_too_large"
	reasonBudgetSpent       = "budget_spent"
	reasonUnclear           = "unclear"
	reasonUnknownTurn       = "unknown_turn"
	reasonNoServer          = "no_server"
	reasonQuarantined       = "quarantined"
	reasonUnanswered        = "unanswered"
	reasonLedgerUnavailable = "ledger_unavailable"
	reasonLedgerBusy        = "ledger_busy"
	reasonInternal          = "internal"
)

// refusal is the final answer of a request that got none from a server.
type refusal struct {
	Reason string
	Status int
	Again  bool // the request has not run: the client may come back
}

// refusals are the final answers by error; the first that matches counts.
var refusals = []struct {
	err error
	refusal
}{
	{errNoRoutes, refusal{reasonNoRoutes, http.StatusServiceUnavailable, true}},
	{errNoRoute, refusal{reasonNoRoute, http.StatusNotFound, false}},
	{ErrBadRequest, refusal{reasonBadRequest, http.StatusBadRequest, false}},
	{errBodyLarge, refusal{reasonBodyTooLarge, http.StatusRequestEntityTooLarge, false}},
	{errBudgetSpent, refusal{reasonBudgetSpent, http.StatusPaymentRequired, false}},
	{errUnclear, refusal{reasonUnclear, http.StatusBadGateway, false}},
	{errUnknownTurn, refusal{reasonUnknownTurn, http.StatusNotFound, false}},
	{errNoServer, refusal{reasonNoServer, http.StatusServiceUnavailable, true}},
	{errQuarantined, refusal{reasonQuarantined, http.StatusServiceUnavailable, false}},
	{gate.ErrOverloaded, refusal{reasonLedgerBusy, http.StatusServiceUnavailable, true}},
	{leaderclient.ErrUnavailable, refusal{reasonLedgerUnavailable, http.StatusServiceUnavailable, true}},
	{leaderclient.ErrRejected, refusal{reasonLedgerUnavailable, http.StatusServiceUnavailable, true}},
}

// refusalOf returns the final answer of an error.
func refusalOf(err error) refusal {
	if errors.Is(err, errUnclear) && errors.Is(err, context.DeadlineExceeded) {
		return refusal{reasonUnanswered, http.StatusGatewayTimeout, false}
	}
	for _, r := range refusals {
		if errors.Is(err, r.err) {
			return r.refusal
		}
	}
	return refusal{reasonInternal, http.StatusBadGateway, false}
}

// refuse sends the final answer.
func (c *call) refuse(f refusal, cause error) {
	c.g.metrics.Refusals.WithLabelValues(f.Reason).Inc()
	header := c.w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if f.Again {
		c.g.cfg.Codec.EncodeRetryAfter(header, retryAfter(cause))
	}
	c.w.WriteHeader(f.Status)
	if _, err := fmt.Fprintln(c.w, f.Reason); err != nil {
		c.g.log.Debug("refusal not written", "request", c.meta.ID, "error", err)
	}
	c.finishLog("refused_"+f.Reason, f.Status, cause)
}
