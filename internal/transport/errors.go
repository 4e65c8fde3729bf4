package transport

import (
	"errors"
	"fmt"
	"strings"
	"time"
	"unicode/utf8"

	"ibistray.example/ibistray/proto/rpcpb"
)

// Errors of an RPC that did not end with a status of the peer.
var (
	// ErrUnreachable reports that no session could be opened. Nothing of the RPC
	// was sent.
	ErrUnreachable = errors.New("transport: peer is unreachable")
	// ErrInterrupted reports that the RPC was interrupted, because its session or stream
	// failed or because its context or deadline ended. The peer may or may not have
	// received what was sent.
	ErrInterrupted = errors.New("transport: RPC was interrupted")
	// ErrTooLarge reports that a message exceeds MaxMessageBytes.
	ErrTooLarge = errors.New("transport: message is too large")
	// ErrMalformed reports that a frame could not be decoded.
	ErrMalformed = errors.New("transport: malformed frame")
)

// Error is a failed RPC status that the peer returned.
type Error struct {
	Code       rpcpb.Code
	Detail     string
	Leader     string        // with CODE_NOT_LEADER: address of the leader, "" if unknown
	RetryAfter time.Duration // delay before a retry, 0 if the peer gave none
}

func (e *Error) Error() string {
	return fmt.Sprintf("transport: peer returned %s: %s", e.Code, e.Detail)
}

// Errorf returns an *Error with the code and a formatted detail.
func Errorf(code rpcpb.Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// CodeOf returns the code of the *Error that err wraps, or CODE_OK if it wraps none.
func CodeOf(err error) rpcpb.Code {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return rpcpb.Code_CODE_OK
}

// statusFromError returns the status that reports err to the peer. Bytes of its text that are
// not UTF-8, such as those of a quoted request, are replaced: no status could carry them.
func statusFromError(err error) *rpcpb.Status {
	if err == nil {
		return &rpcpb.Status{Code: rpcpb.Code_CODE_OK}
	}
	var e *Error
	if errors.As(err, &e) {
		return &rpcpb.Status{
			Code:         e.Code,
			Detail:       encodableText(e.Detail),
			Leader:       e.Leader,
			RetryAfterMs: e.RetryAfter.Milliseconds(),
		}
	}
	return &rpcpb.Status{Code: rpcpb.Code_CODE_INTERNAL, Detail: encodableText(err.Error())}
}

func encodableText(text string) string {
	return strings.ToValidUTF8(text, string(utf8.RuneError))
}

func errorFromStatus(st *rpcpb.Status) error {
	return &Error{
		Code:       st.Code,
		Detail:     st.Detail,
		Leader:     st.Leader,
		RetryAfter: time.Duration(st.RetryAfterMs) * time.Millisecond,
	}
}
