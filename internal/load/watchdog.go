package load

import (
	"context"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
)

// forceCloser is a response body whose connection can be closed during a read.
type forceCloser interface {
	ForceClose() error
}

// watchdog closes the connection of a response when no data arrives within the
// idle timeout or when the context ends. Hertz has sse.Reader.ForEach for this,
// but that may close the connection of another response, because it still watches
// the context when the body returns to Hertz's pool.
type watchdog struct {
	timeout        time.Duration
	timer          *time.Timer
	unwatchContext func() bool

	mu    sync.Mutex
	body  forceCloser // nil after stop
	cause error       // why the connection was closed; nil if it was not
}

func newWatchdog(ctx context.Context, response *protocol.Response, timeout time.Duration) *watchdog {
	w := &watchdog{timeout: timeout}
	w.body, _ = response.BodyStream().(forceCloser)
	w.timer = time.AfterFunc(timeout, func() { w.closeConnection(ErrIdle) })
	w.unwatchContext = context.AfterFunc(ctx, func() { w.closeConnection(context.Cause(ctx)) })
	return w
}

// restart restarts the idle timeout.
func (w *watchdog) restart() { w.timer.Reset(w.timeout) }

// stop stops the watchdog and returns why it closed the connection, or nil if it
// did not. It must be called before the body is closed.
func (w *watchdog) stop() error {
	w.timer.Stop()
	w.unwatchContext()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.body = nil
	return w.cause
}

func (w *watchdog) closeConnection(cause error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.body == nil || w.cause != nil {
		return
	}
	w.cause = cause
	_ = w.body.ForceClose()
}
