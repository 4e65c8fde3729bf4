package gateway

import (
	"context"
	"errors"

	"ibistray.example/ibistray/internal/membudget"
	"ibistray.example/ibistray/internal/passthrough"
)

// breakReasons maps errors to the reasons for which a response that had begun was broken off, as
// metrics and logs show them. The first match applies.
var breakReasons = []struct {
	err    error
	reason string
}{
	{membudget.ErrOutputEnded, "memory"},
	{membudget.ErrOutputTooLarge, "output_too_large"},
	{errBeyondDeclared, "beyond_declared"},
	{errNotKept, "not_kept"},
	{errStopping, "stopping"},
	{context.DeadlineExceeded, "timeout"},
	{errEventTooLarge, "too_large"},
	{errResponseTooLarge, "too_large"},
	{errNotResumed, "not_resumed"},
	{errInvalidResponse, "invalid"},
	{passthrough.ErrConnectionLost, "connection_lost"},
}

// breakReason returns the reason for which a response ended before it was complete.
func breakReason(err error) string {
	for _, r := range breakReasons {
		if errors.Is(err, r.err) {
			return r.reason
		}
	}
	return "other"
}
