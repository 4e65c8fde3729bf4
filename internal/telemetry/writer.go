package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// linesPerSecond bounds the volume of the log: several times the requests of an
	// entry at the worst load.
	linesPerSecond = 1000
	// queuedLines bounds the log lines that wait for a slow reader of the output.
	queuedLines = 2048
	// droppedReport is how often lost lines are reported.
	droppedReport = time.Second
)

// AsyncWriter writes log lines from a goroutine of its own, so that logging never
// blocks. Lines that do not fit its queue, and those beyond linesPerSecond, are
// dropped and counted.
type AsyncWriter struct {
	out     io.Writer
	window  atomic.Int64 // second that is counted
	count   atomic.Int64 // lines in it
	lines   chan []byte
	dropped atomic.Uint64
	flush   chan chan struct{}
	once    sync.Once
	done    chan struct{}
}

// NewAsyncWriter returns a writer to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{
		out:   out,
		lines: make(chan []byte, queuedLines),
		flush: make(chan chan struct{}),
		done:  make(chan struct{}),
	}
	go w.run()
	return w
}

// Write implements io.Writer. It never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if !w.allowed(time.Now().Unix()) {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// allowed counts a line. Lines that race at the turn of a second may be counted in
// either.
func (w *AsyncWriter) allowed(second int64) bool {
	if w.window.Swap(second) != second {
		w.count.Store(0)
	}
	return w.count.Add(1) <= linesPerSecond
}

// Dropped returns the number of lines that were lost.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

// Flush returns when the lines that were queued before are written.
func (w *AsyncWriter) Flush() {
	reply := make(chan struct{})
	select {
	case w.flush <- reply:
		<-reply
	case <-w.done:
	}
}

// Close writes what is queued and ends the goroutine.
func (w *AsyncWriter) Close() {
	w.once.Do(func() {
		w.Flush()
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
		case reply := <-w.flush:
			w.drain()
			close(reply)
		case line := <-w.lines:
			w.emit(line)
			if lost := w.dropped.Load(); lost != reported && time.Since(lastReport) > droppedReport {
				w.emit(fmt.Appendf(nil, `{"@level":"warn","@message":"log lines dropped","lines":%d}`+"\n", lost-reported))
				reported, lastReport = lost, time.Now()
			}
		}
	}
}

func (w *AsyncWriter) drain() {
	for {
		select {
		case line := <-w.lines:
			w.emit(line)
		default:
			return
		}
	}
}

// emit writes one line. There is nowhere to report that the log itself cannot be
// written, so the line counts as dropped.
func (w *AsyncWriter) emit(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}
