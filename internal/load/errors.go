package load

import (
	"errors"
	"fmt"
	"time"
)

// ErrIncomplete is returned for an answer that ended early, or whose call ID,
// length or digest does not match. The client asks again.
var ErrIncomplete = errors.New("the answer is not whole")

// ErrIdle is returned when nothing arrived for the idle timeout. The client
// asks again.
var ErrIdle = errors.New("nothing arrived for the idle timeout")

// CallError is an error that the system gave to a call.
type CallError struct {
	Status     int           // HTTP status; 0 for an error within a stream
	Reason     string        // typed reason
	Message    string        // text for people
	NotRun     bool          // the call was proven not to have been run
	RetryAfter time.Duration // 0: no hint
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("%s: %s (status %d, not run: %t)", e.Reason, e.Message, e.Status, e.NotRun)
}

// errorBody is the JSON form of a CallError.
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
