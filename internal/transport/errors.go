package transport

import (
	"errors"
	"fmt"
	"time"

	"ibistray.example/ibistray/proto/rpcpb"
)

// Errors of a connection.
var (
	// ErrUnreachable says that no session could be opened: nothing of the
	// exchange was sent.
	ErrUnreachable = errors.New("transport: peer is unreachable")
	// ErrBroken says that the session or stream broke during the exchange:
	// the peer may or may not have seen what was sent.
	ErrBroken = errors.New("transport: exchange broke off")
	// ErrTooLarge says that a message exceeds MaxMessageBytes.
	ErrTooLarge = errors.New("transport: message is too large")
	// ErrMalformed says that a frame could not be decoded.
	ErrMalformed = errors.New("transport: malformed frame")
)

// Error is a failure that the peer reported.
type Error struct {
	Code       rpcpb.Code
	Detail     string
	Leader     string        // for CODE_NOT_LEADER: address to try, may be empty
	RetryAfter time.Duration // 0: no hint
}

func (e *Error) Error() string {
	return fmt.Sprintf("transport: peer answered %s: %s", e.Code, e.Detail)
}

// Errorf returns an *Error with a formatted detail.
func Errorf(code rpcpb.Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// CodeOf returns the code that the peer reported, or CODE_OK when err is not a
// report of the peer.
func CodeOf(err error) rpcpb.Code {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return rpcpb.Code_CODE_OK
}

func statusOf(err error) *rpcpb.Status {
	if err == nil {
		return &rpcpb.Status{Code: rpcpb.Code_CODE_OK}
	}
	var e *Error
	if errors.As(err, &e) {
		return &rpcpb.Status{
			Code:         e.Code,
			Detail:       e.Detail,
			Leader:       e.Leader,
			RetryAfterMs: e.RetryAfter.Milliseconds(),
		}
	}
	return &rpcpb.Status{Code: rpcpb.Code_CODE_INTERNAL, Detail: err.Error()}
}

func errorOf(st *rpcpb.Status) error {
	return &Error{
		Code:       st.Code,
		Detail:     st.Detail,
		Leader:     st.Leader,
		RetryAfter: time.Duration(st.RetryAfterMs) * time.Millisecond,
	}
}
