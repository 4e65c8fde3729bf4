package wal

import (
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"ibistray.example/ibistray/internal/panics"
)

// writer is the state of the writer goroutine.
type writer struct {
	file         File
	path         string // of file
	offset       int64  // size of the current segment in bytes
	lastSequence uint64 // sequence number of the last written frame
	buf          []byte // frame that is being built
}

func (w *writer) close() error {
	if w.file == nil {
		return nil
	}
	return w.file.Close()
}

// writeUntilClosed writes the queued requests until the log is closed or fails, also by a panic.
func (l *Log) writeUntilClosed() {
	defer close(l.writerDone)
	var batch []*appendRequest
	var err error
	panicked := panics.Contain(l.opts.Logger, "write-ahead log", func() { err = l.writeBatches(&batch) })
	if err = errors.Join(err, panicked); err != nil {
		l.fail(batch, err)
	}
}

// writeBatches writes the queued requests until the log is closed, and keeps those in batch that have
// no result yet.
func (l *Log) writeBatches(batch *[]*appendRequest) error {
	for {
		*batch = l.nextBatch()
		if len(*batch) == 0 {
			return nil
		}
		if err := l.writeBatch(*batch); err != nil {
			return err
		}
		for len(*batch) > 0 {
			req := (*batch)[0]
			*batch = (*batch)[1:]
			req.done(nil)
		}
	}
}

// nextBatch waits for requests and removes those from the queue that share the next
// frame. It returns none when the log is closed and the queue is empty.
func (l *Log) nextBatch() []*appendRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.queue) == 0 && !l.closing {
		l.queueChanged.Wait()
	}
	n, size := 0, 0
	for n < len(l.queue) {
		size += len(l.queue[n].payload)
		if n > 0 && size > maxBatchBytes {
			break
		}
		n++
	}
	batch := slices.Clone(l.queue[:n])
	l.queue = slices.Delete(l.queue, 0, n)
	return batch
}

// writeBatch writes a batch as one frame and syncs it. It starts a new segment when the
// current one is full, and removes segments that the batch made removable.
func (l *Log) writeBatch(batch []*appendRequest) error {
	if l.writer.offset >= l.opts.SegmentSize {
		if err := l.startSegment(); err != nil {
			return err
		}
	}
	size := 0
	for _, req := range batch {
		size += len(req.payload)
	}
	l.writer.beginFrame(size)
	for _, req := range batch {
		l.writer.buf = append(l.writer.buf, req.payload...)
	}
	if err := l.writeFrame(); err != nil {
		return err
	}
	if l.recordBatch(batch) {
		return l.removeCoveredSegments()
	}
	return nil
}

// maxKeptBufferBytes limits the capacity of the buffer that is kept for the next frame.
const maxKeptBufferBytes = 1 << 20

// beginFrame clears the buffer and reserves space for the header and a payload.
func (w *writer) beginFrame(payloadBytes int) {
	if cap(w.buf) > maxKeptBufferBytes {
		w.buf = nil
	}
	w.buf = slices.Grow(w.buf[:0], frameHeaderSize+payloadBytes+frameAlignment)
	w.buf = append(w.buf, make([]byte, frameHeaderSize)...)
}

// writeFrame writes the buffer as the next frame and syncs the segment.
func (l *Log) writeFrame() error {
	w := &l.writer
	w.buf = finishFrame(w.buf, w.lastSequence+1, w.offset)
	if _, err := w.file.Write(w.buf); err != nil {
		// A part of a frame is of no use. If it cannot be removed now, the next opening does.
		_ = l.opts.FS.Truncate(w.path, w.offset)
		return fmt.Errorf("write frame %d at offset %d: %w", w.lastSequence+1, w.offset, err)
	}
	start := time.Now()
	if err := w.file.Sync(); err != nil {
		return fmt.Errorf("sync frame %d at offset %d: %w", w.lastSequence+1, w.offset, err)
	}
	l.metrics.recordSync(time.Since(start), len(w.buf))
	w.lastSequence++
	w.offset += int64(len(w.buf))
	return nil
}

// startSegment creates the next segment. Its first frame holds the checkpoints of all
// groups.
func (l *Log) startSegment() error {
	number := uint64(1)
	if n := len(l.segments); n > 0 {
		number = l.segments[n-1].number + 1
	}
	path := filepath.Join(l.segmentDir, segmentName(number))
	file, err := l.opts.FS.Create(path)
	if err != nil {
		return fmt.Errorf("wal: create segment %s: %w", segmentName(number), err)
	}
	if err := l.opts.FS.SyncDir(l.segmentDir); err != nil {
		file.Close()
		return fmt.Errorf("wal: sync directory %s: %w", l.segmentDir, err)
	}
	l.writer.close()
	l.writer.file = file
	l.writer.path = path
	l.writer.offset = 0
	if err := l.writeCheckpoints(); err != nil {
		return err
	}
	l.addSegment(number)
	return nil
}

func (l *Log) addSegment(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.segments = append(l.segments, &segment{number: number, lastIndex: make(map[uint64]uint64)})
	l.metrics.segments.Set(float64(len(l.segments)))
}

func (l *Log) writeCheckpoints() error {
	l.writer.beginFrame(0)
	var err error
	for group, checkpoint := range l.groups {
		update := Update{Group: group, Bindings: checkpoint.bindings, HardState: checkpoint.hardState, Snapshot: checkpoint.snapshot}
		l.writer.buf, err = appendUpdate(l.writer.buf, &update)
		if err != nil {
			return err
		}
	}
	return l.writeFrame()
}

// fail fails the batch and the queued requests with ErrFailed, refuses all later ones
// with it, and calls OnFailure.
func (l *Log) fail(batch []*appendRequest, cause error) {
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
