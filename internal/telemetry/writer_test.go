package telemetry

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// gatedWriter is an output on which writes block until open is closed.
type gatedWriter struct {
	mu   sync.Mutex
	buf  bytes.Buffer
	open chan struct{}
}

func (w *gatedWriter) Write(p []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

func (w *gatedWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.String()
}

// An output that does not accept lines must not block those who log: lines beyond the
// queue are dropped and counted.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &gatedWriter{open: make(chan struct{})}
		w := NewAsyncWriter(out)
		for i := range 5 * maxQueuedLines {
			if i%maxLinesPerSecond == 0 {
				time.Sleep(time.Second)
			}
			n, err := fmt.Fprintln(w, "line", i)
			assert.NilError(t, err)
			assert.Assert(t, n > 0)
		}
		assert.Assert(t, w.Dropped() > 0)
		close(out.open)
		w.Close()
		lines := strings.Count(out.String(), "line ")
		assert.Assert(t, lines >= maxQueuedLines && lines <= maxQueuedLines+1, "%d lines", lines)
	})
}

func TestLinesPerSecondAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &gatedWriter{open: make(chan struct{})}
		close(out.open)
		w := NewAsyncWriter(out)
		for second := range 3 {
			for i := range 2 * maxLinesPerSecond {
				fmt.Fprintln(w, "line", second, i)
				if i%100 == 0 {
					w.Flush()
				}
			}
			time.Sleep(time.Second)
		}
		w.Close()
		assert.Equal(t, strings.Count(out.String(), "line "), 3*maxLinesPerSecond)
		assert.Equal(t, w.Dropped(), uint64(3*maxLinesPerSecond))
	})
}

// TestCloseDoesNotWaitForABlockedOutput guards against processes that do not end at SIGTERM since
// the pipe of their log is full.
func TestCloseDoesNotWaitForABlockedOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &gatedWriter{open: make(chan struct{})}
		defer close(out.open)
		w := NewAsyncWriter(out)
		fmt.Fprintln(w, "line")
		start := time.Now()
		w.Close()
		assert.Equal(t, time.Since(start), closeTimeout)
		w.Flush()
	})
}
