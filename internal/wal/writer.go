package wal

import (
	"fmt"
	"path/filepath"
	"slices"
	"time"
)

// writer is the state of the goroutine that writes frames.
type writer struct {
	file     File
	offset   int64  // bytes in the current segment
	sequence uint64 // of the last written frame
	buf      []byte
}

func (w *writer) close() error {
	if w.file == nil {
		return nil
	}
	return w.file.Close()
}

// run writes the queued requests until the log is closed or fails.
func (l *Log) run() {
	defer close(l.stopped)
	for {
		batch := l.take()
		if len(batch) == 0 {
			return
		}
		if err := l.commit(batch); err != nil {
			l.fail(batch, err)
			return
		}
		for _, req := range batch {
			req.done(nil)
		}
	}
}

// take waits for requests and returns those that share the next frame. It
// returns none when the log is closed.
func (l *Log) take() []*request {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.queue) == 0 && !l.closing {
		l.wake.Wait()
	}
	n, size := 0, 0
	for n < len(l.queue) {
		size += len(l.queue[n].payload)
		if n > 0 && size > maxFrameBytes {
			break
		}
		n++
	}
	batch := slices.Clone(l.queue[:n])
	l.queue = slices.Delete(l.queue, 0, n)
	return batch
}

// commit writes a batch as one frame and syncs it.
func (l *Log) commit(batch []*request) error {
	if l.writer.offset >= l.opts.SegmentSize {
		if err := l.startSegment(); err != nil {
			return err
		}
	}
	l.writer.begin()
	for _, req := range batch {
		l.writer.buf = append(l.writer.buf, req.payload...)
	}
	if err := l.writeFrame(); err != nil {
		return err
	}
	if l.track(batch) {
		return l.removeCovered()
	}
	return nil
}

func (w *writer) begin() {
	w.buf = append(w.buf[:0], make([]byte, headerSize)...)
}

// writeFrame writes the buffer as a frame and syncs the segment.
func (l *Log) writeFrame() error {
	w := &l.writer
	w.buf = sealFrame(w.buf, w.sequence+1, w.offset)
	if _, err := w.file.Write(w.buf); err != nil {
		return fmt.Errorf("write segment: %w", err)
	}
	start := time.Now()
	if err := w.file.Sync(); err != nil {
		return fmt.Errorf("sync segment: %w", err)
	}
	l.metrics.synced(time.Since(start), len(w.buf))
	w.sequence++
	w.offset += int64(len(w.buf))
	return nil
}

// startSegment creates the next segment. Its first frame repeats the markers of
// all groups.
func (l *Log) startSegment() error {
	number := uint64(1)
	if n := len(l.segments); n > 0 {
		number = l.segments[n-1].number + 1
	}
	file, err := l.opts.FS.Create(filepath.Join(l.dir, segmentName(number)))
	if err != nil {
		return fmt.Errorf("wal: create segment: %w", err)
	}
	if err := l.opts.FS.SyncDir(l.dir); err != nil {
		file.Close()
		return fmt.Errorf("wal: sync folder: %w", err)
	}
	l.writer.close()
	l.writer.file = file
	l.writer.offset = 0
	if err := l.writeMarkers(); err != nil {
		return err
	}
	l.addSegment(number)
	return nil
}

func (l *Log) addSegment(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.segments = append(l.segments, &segment{number: number, last: make(map[uint64]uint64)})
	l.metrics.segments.Set(float64(len(l.segments)))
}

func (l *Log) writeMarkers() error {
	l.writer.begin()
	var err error
	for group, m := range l.groups {
		update := Update{Group: group, Bindings: m.bindings, HardState: m.hardState, Snapshot: m.snapshot}
		l.writer.buf, err = appendUpdate(l.writer.buf, &update)
		if err != nil {
			return err
		}
	}
	return l.writeFrame()
}

// fail refuses the batch, the queued requests and all later ones.
func (l *Log) fail(batch []*request, cause error) {
	err := fmt.Errorf("%w: %w", ErrFailed, cause)
	l.mu.Lock()
	l.failure = err
	batch = append(batch, l.queue...)
	l.queue = nil
	l.mu.Unlock()
	l.opts.Logger.Error("write-ahead log failed", "error", cause)
	for _, req := range batch {
		req.done(err)
	}
	l.opts.OnFailure(err)
}
