package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxLinesPerSecond limits the volume of the log. It is several times the request rate
	// of an entry at its highest load.
	maxLinesPerSecond = 1000
	// maxQueuedLines limits the log lines that wait for a slow reader of the output.
	maxQueuedLines = 2048
	// dropReportInterval is the minimum time between two reports of dropped lines.
	dropReportInterval = time.Second
	// closeTimeout limits how long Close waits for the output.
	closeTimeout = 100 * time.Millisecond
)

// AsyncWriter writes log lines in a goroutine of its own, so that logging never blocks.
// Lines that do not fit in its queue, those beyond maxLinesPerSecond, and those that the output
// does not take are dropped and counted.
type AsyncWriter struct {
	out       io.Writer
	second    atomic.Int64 // Unix time of the second that is counted
	count     atomic.Int64 // lines in that second
	queue     chan []byte
	dropped   atomic.Uint64
	flushes   chan chan struct{} // each channel is closed when the flush is done
	closeOnce sync.Once
	done      chan struct{}
}

// NewAsyncWriter returns a writer to out, which must be closed after use.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{
		out:     out,
		queue:   make(chan []byte, maxQueuedLines),
		flushes: make(chan chan struct{}),
		done:    make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues or drops a line. It implements io.Writer and never returns an error.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if !w.withinLimit(time.Now().Unix()) {
		w.drop()
		return len(line), nil
	}
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.drop()
	}
	return len(line), nil
}

// withinLimit counts a line of the given second and reports whether it is within
// maxLinesPerSecond. Concurrent lines at the start of a second may be counted in either
// second.
func (w *AsyncWriter) withinLimit(second int64) bool {
	if w.second.Swap(second) != second {
		w.count.Store(0)
	}
	return w.count.Add(1) <= maxLinesPerSecond
}

func (w *AsyncWriter) drop() {
	w.dropped.Add(1)
	droppedLines.Inc()
}

// Dropped returns the number of lines that were not written.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

// Flush returns when all lines that were queued before it are written, or when the writer
// is closed.
func (w *AsyncWriter) Flush() {
	flushed := make(chan struct{})
	select {
	case w.flushes <- flushed:
		select {
		case <-flushed:
		case <-w.done:
		}
	case <-w.done:
	}
}

// Close writes the queued lines and ends the goroutine. Lines that the output has not taken after
// closeTimeout are lost: a process can end although nobody reads its output.
func (w *AsyncWriter) Close() {
	w.closeOnce.Do(func() {
		flushed := make(chan struct{})
		go func() {
			w.Flush()
			close(flushed)
		}()
		select {
		case <-flushed:
		case <-time.After(closeTimeout):
		}
		close(w.done)
	})
}

func (w *AsyncWriter) run() {
	var reported uint64
	var lastReport time.Time
	for {
		select {
		case <-w.done:
			return
		case flushed := <-w.flushes:
			w.drain()
			close(flushed)
		case line := <-w.queue:
			w.writeLine(line)
			if dropped := w.dropped.Load(); dropped != reported && time.Since(lastReport) > dropReportInterval {
				w.writeLine(fmt.Appendf(nil, `{"@level":"warn","@message":"log lines dropped","lines":%d}`+"\n", dropped-reported))
				reported, lastReport = dropped, time.Now()
			}
		}
	}
}

// drain writes the lines that are in the queue.
func (w *AsyncWriter) drain() {
	for {
		select {
		case line := <-w.queue:
			w.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes one line. If that fails, the line counts as dropped, since there is no
// other place to report the error.
func (w *AsyncWriter) writeLine(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.drop()
	}
}
