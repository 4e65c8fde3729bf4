// Package backend is the client of a backend server's published interface,
// which docs/BACKENDS.md describes. A sidecar uses it for the server on its own
// host.
package backend

import (
	"errors"
	"fmt"
	"net"
	"time"
)

// Errors of a request to the backend server.
var (
	// ErrUnreachable says that no connection could be opened: the request was
	// not sent.
	ErrUnreachable = errors.New("backend: server is unreachable")
	// ErrConnectionLost says that the connection broke or went silent after the
	// request was sent: it may have run.
	ErrConnectionLost = errors.New("backend: connection broke off")
	// ErrUnknownRequest says that the engine does not know the request ID.
	ErrUnknownRequest = errors.New("backend: request is not known")
	// ErrFenced says that the fencing number is old.
	ErrFenced = errors.New("backend: fencing number is old")
	// ErrInvalidResponse says that the answer is not whole, malformed or of another request.
	ErrInvalidResponse = errors.New("backend: bad answer")
)

// StatusError is an HTTP status that reports a failure.
type StatusError struct {
	Status     int
	Message    string
	RetryAfter time.Duration // 0: no hint
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("backend: server answered %d: %s", e.Status, e.Message)
}

// Statuses that mean: the server did not run the request.
const (
	statusTooManyRequests = 429
	statusUnavailable     = 503
	statusOverloaded      = 529
)

// NotRun reports whether the status says that the request was not run.
func (e *StatusError) NotRun() bool {
	return e.Status == statusTooManyRequests || e.Status == statusUnavailable || e.Status == statusOverloaded
}

// transportError turns an error of the HTTP library.
func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return fmt.Errorf("%w: %w", ErrConnectionLost, err)
}
