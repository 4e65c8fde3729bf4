package load

import (
	"errors"
	"fmt"
	"time"
)

// ErrIncomplete means that an answer ended early, couldn't be decoded, or doesn't
// match its call ID, length or digest. It is retriable.
var ErrIncomplete = errors.New("incomplete answer")

// ErrIdle means that no data arrived within the idle timeout. It is retriable.
var ErrIdle = errors.New("no data within the idle timeout")

// CallError is an error that the system returned for a call.
type CallError struct {
	Status     int           // HTTP status; 0 for an error within a stream
	Reason     string        // reason code
	Message    string        // human-readable text
	NotRun     bool          // the call is known not to have run
	RetryAfter time.Duration // delay that the system asks for before a retry; 0: none
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("%s: %s (status %d, not run: %t)", e.Reason, e.Message, e.Status, e.NotRun)
}

// errorBody is the JSON form of a CallError, in a response or an error event.
type errorBody struct {
	Error struct {
		Reason       string `json:"reason"`
		Message      string `json:"message"`
		NotRun       bool   `json:"not_run"`
		RetryAfterMS int64  `json:"retry_after_ms"`
	} `json:"error"`
}

func (b *errorBody) callError(status int) *CallError {
	return &CallError{
		Status:     status,
		Reason:     b.Error.Reason,
		Message:    b.Error.Message,
		NotRun:     b.Error.NotRun,
		RetryAfter: time.Duration(b.Error.RetryAfterMS) * time.Millisecond,
	}
}
