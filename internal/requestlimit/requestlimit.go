// Package requestlimit bounds what HTTP/1 clients make a server hold before a handler decides about
// their requests. It wraps the connections of a listener and follows the framing of requests: the
// server behind it gets the head of a request once it is complete, and no bytes beyond the end of a
// message. Clients that exceed a limit get a refusal and their connection is closed.
package requestlimit

import (
	"errors"
	"time"

	"ibistray.example/ibistray/internal/telemetry"
)

// Errors of reads. They end the connection.
var (
	// ErrRefused means that the client has got a refusal in place of the server.
	ErrRefused = errors.New("requestlimit: request refused")
	// ErrTooLarge means that the framing or the trailers of a body exceed their limits.
	ErrTooLarge = errors.New("requestlimit: body exceeds its limits")
)

const (
	// DefaultHeadBytes limits a head where the limits name none.
	DefaultHeadBytes = 64 << 10
	// MaxHeadBytes is the largest limit of a head. Servers behind a listener must accept such heads.
	MaxHeadBytes = 256 << 10
	// DefaultHeadTimeout limits the time from the first byte of a head to its end where the limits
	// name none.
	DefaultHeadTimeout = 10 * time.Second
	// headTimeoutMargin is added to the limit that clients keep by their own clock.
	headTimeoutMargin = time.Second
	// maxRequestLineBytes limits the request line, which limits of header fields do not count.
	maxRequestLineBytes = 16 << 10
	// maxEmptyLineBytes limits the empty lines before a request: RFC 9112, section 2.2, asks for
	// at least one.
	maxEmptyLineBytes = 16
	// freeBodyBytes is the first part of a body for which no memory is taken.
	freeBodyBytes = 16 << 10
	// bodyTimeout limits the time for a body that is collected.
	bodyTimeout = 30 * time.Second
	// heldPerBufferedByte is what a server that buffers bodies holds for each of their bytes: as it
	// arrived, and in buffers of a power of two.
	heldPerBufferedByte = 4
)

// Limits of the requests on the connections of a listener. The zero value sets the defaults.
type Limits struct {
	// HeadBytes and HeadTimeout return the limits that clients are told at this time: of the header
	// fields of a request, and of the time to send them. nil or 0: the defaults.
	HeadBytes   func() int
	HeadTimeout func() time.Duration
	// BufferedBodies says that the server reads a whole body before it calls a handler. It gets
	// requests once they are complete then, except those whose client waits for a 100 response.
	// Bodies are limited to MaxBodyBytes and their memory is taken from Memory.
	BufferedBodies bool
	MaxBodyBytes   int64
	// Connections limits the open connections; 0: they are not limited here. Beyond it, those that
	// have waited longest are closed.
	Connections int
	// Memory is shared by the listeners of a process; nil: not limited.
	Memory *Memory
}

func (l Limits) headBytes() int {
	limit := DefaultHeadBytes
	if l.HeadBytes != nil {
		if told := l.HeadBytes(); told > 0 {
			limit = min(told, MaxHeadBytes)
		}
	}
	return limit
}

func (l Limits) headTimeout() time.Duration {
	timeout := DefaultHeadTimeout
	if l.HeadTimeout != nil {
		if told := l.HeadTimeout(); told > 0 {
			timeout = told
		}
	}
	return timeout + headTimeoutMargin
}

// reason says why a client is refused.
type reason string

const (
	reasonHeadTooLarge reason = "head_too_large"
	reasonMalformed    reason = "malformed_request"
	reasonCoding       reason = "transfer_coding"
	reasonBodyTooLarge reason = "body_too_large"
	reasonMemory       reason = "memory"
	reasonConnections  reason = "connections"
)

func count(r reason) { telemetry.LimitedRequests.WithLabelValues(string(r)).Inc() }
