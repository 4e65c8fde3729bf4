// Package backend is a client of the HTTP interface of backend servers, which
// docs/BACKENDS.md describes. A sidecar uses it for the server on its own host.
package backend

import (
	"errors"
	"fmt"
	"net"
	"time"

	"ibistray.example/ibistray/internal/responselimit"
)

// Errors of a request to the backend server.
var (
	// ErrUnreachable means that no connection could be opened: the request was
	// not sent.
	ErrUnreachable = errors.New("backend: server is unreachable")
	// ErrConnectionLost means that the connection failed or timed out after the
	// request was sent: the server may have run it.
	ErrConnectionLost = errors.New("backend: connection lost during the request")
	// ErrUnknownRequest means that the engine does not know the request ID.
	ErrUnknownRequest = errors.New("backend: unknown request ID")
	// ErrFenced means that the engine has seen a higher fencing token: the request
	// did not run.
	ErrFenced = errors.New("backend: fencing token is outdated")
	// ErrTooLarge means that a response, or a header or event in it, exceeds its limit and was
	// read no further. It comes with ErrConnectionLost: the server may have run the request.
	ErrTooLarge = responselimit.ErrTooLarge
	// ErrInvalidResponse means that the response is incomplete, malformed or belongs to
	// another request.
	ErrInvalidResponse = errors.New("backend: invalid response")
)

// StatusError is a response with an HTTP status that reports a failure.
type StatusError struct {
	Status     int
	Message    string        // from the body of the response
	RetryAfter time.Duration // 0 if the response has no Retry-After header
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("backend: server returned status %d: %s", e.Status, e.Message)
}

// Statuses by which a server reports that it did not run the request.
const (
	statusTooManyRequests = 429
	statusUnavailable     = 503
	statusOverloaded      = 529
)

// NotRun reports whether the status guarantees that the server did not run the request.
func (e *StatusError) NotRun() bool {
	return e.Status == statusTooManyRequests || e.Status == statusUnavailable || e.Status == statusOverloaded
}

// wrapTransportError wraps an error of the HTTP library in ErrUnreachable if the dial
// failed, otherwise in ErrConnectionLost.
func wrapTransportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return fmt.Errorf("%w: %w", ErrConnectionLost, err)
}
