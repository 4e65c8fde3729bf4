package load

import (
	"context"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
)

// forceCloser is a body whose connection can be closed while it is read.
type forceCloser interface {
	ForceClose() error
}

// watchdog closes the connection of a response when the response is idle or
// its context ends. The library's own way to do so, sse.Reader.ForEach with a
// context, may close the connection of another response: it does not stop its
// watch before the body goes back to the library's pool.
type watchdog struct {
	timeout time.Duration
	timer   *time.Timer
	stop    func() bool

	mu    sync.Mutex
	body  forceCloser // nil once the watch has ended
	cause error
}

func newWatchdog(ctx context.Context, response *protocol.Response, timeout time.Duration) *watchdog {
	w := &watchdog{timeout: timeout}
	w.body, _ = response.BodyStream().(forceCloser)
	w.timer = time.AfterFunc(timeout, func() { w.cut(ErrIdle) })
	w.stop = context.AfterFunc(ctx, func() { w.cut(context.Cause(ctx)) })
	return w
}

// restart begins the idle timeout anew.
func (w *watchdog) restart() { w.timer.Reset(w.timeout) }

// end ends the watch and returns why the connection was closed, if it was. It
// must be called before the body is closed.
func (w *watchdog) end() error {
	w.timer.Stop()
	w.stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.body = nil
	return w.cause
}

func (w *watchdog) cut(cause error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.body == nil || w.cause != nil {
		return
	}
	w.cause = cause
	_ = w.body.ForceClose()
}
