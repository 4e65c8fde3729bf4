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

// gate is an output that blocks until it is opened.
type gate struct {
	mu   sync.Mutex
	buf  bytes.Buffer
	open chan struct{}
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.Write(p)
}

func (g *gate) String() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.String()
}

func TestSlowOutputNeverBlocksTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &gate{open: make(chan struct{})}
		w := NewAsyncWriter(out)
		for i := range 5 * queuedLines {
			if i%linesPerSecond == 0 {
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
		assert.Assert(t, lines >= queuedLines && lines <= queuedLines+1, "%d lines", lines)
	})
}

func TestVolumeOfTheLogIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &gate{open: make(chan struct{})}
		close(out.open)
		w := NewAsyncWriter(out)
		for second := range 3 {
			for i := range 2 * linesPerSecond {
				fmt.Fprintln(w, "line", second, i)
				if i%100 == 0 {
					w.Flush()
				}
			}
			time.Sleep(time.Second)
		}
		w.Close()
		assert.Equal(t, strings.Count(out.String(), "line "), 3*linesPerSecond)
		assert.Equal(t, w.Dropped(), uint64(3*linesPerSecond))
	})
}
