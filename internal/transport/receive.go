package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// smallFrameBytes is the part of a frame that is read without a reservation.
	smallFrameBytes = 64 << 10
	// maxReceivedBytes limits the frames above smallFrameBytes that a server receives at the
	// same time. Further ones wait.
	maxReceivedBytes = 3 * MaxMessageBytes
	// maxOpenBytes limits the first message of a stream.
	maxOpenBytes = 4 << 10
	// minFrameRate and frameTimeout limit how long a frame may take that has begun.
	minFrameRate = 1 << 20 // bytes per second
	frameTimeout = 10 * time.Second
)

var errFrameTimeout = errors.New("frame did not arrive in time")

// receiver limits the frames that arrive on the streams of one session of a server.
type receiver struct {
	ctx   context.Context     // ends with the session
	bytes *semaphore.Weighted // shared by all sessions
}

// reserve waits until a frame of the given size may be received. The caller must call release
// when the frame is no longer held.
func (r *receiver) reserve(size int) (release func(), err error) {
	ctx, cancel := context.WithTimeout(r.ctx, maxFrameTime(size))
	defer cancel()
	if err := r.bytes.Acquire(ctx, int64(size)); err != nil {
		return nil, fmt.Errorf("no memory for a frame of %d bytes: %w", size, err)
	}
	return func() { r.bytes.Release(int64(size)) }, nil
}

// maxFrameTime returns how long a frame may take from its header to its end, or for its reservation.
func maxFrameTime(size int) time.Duration {
	return frameTimeout + time.Duration(size)*time.Second/minFrameRate
}

// readFrame reads one frame of at most limit bytes. The caller must call release when the frame is
// no longer held. It never returns io.EOF: an RPC ends with a status frame, so an end of the stream
// between two frames is unexpected as well.
func (s *Stream) readFrame(limit uint32) (kind frameKind, data []byte, release func(), err error) {
	kind, size, err := readFrameHeader(s.r, limit)
	if err != nil {
		return 0, nil, nil, unexpectedEOF(err)
	}
	if s.admit != nil {
		if err := s.admit(size); err != nil {
			return 0, nil, nil, err
		}
	}
	data, release, err = s.readBody(size)
	return kind, data, release, unexpectedEOF(err)
}

// readBody reads the size bytes that follow the header of a frame. Memory is taken as they arrive:
// for more than smallFrameBytes once these are there. release is as for readFrame.
func (s *Stream) readBody(size int) (data []byte, release func(), err error) {
	release = func() {}
	data = make([]byte, min(size, smallFrameBytes))
	if s.receiver == nil || s.r.Buffered() >= size {
		if _, err := io.ReadFull(s.r, data); err != nil {
			return nil, nil, err
		}
		return s.readRest(data, size, release)
	}
	timer := s.limitFrame(size)
	defer func() {
		if !timer.Stop() && err == nil {
			release()
			err = errFrameTimeout
		}
	}()
	if _, err := io.ReadFull(s.r, data); err != nil || size == len(data) {
		return data, release, err
	}
	if !timer.Stop() {
		return nil, nil, errFrameTimeout
	}
	if release, err = s.receiver.reserve(size); err != nil {
		return nil, nil, err
	}
	timer = s.limitFrame(size)
	return s.readRest(data, size, release)
}

// limitFrame ends the reads of the stream if a frame of the given size takes too long.
func (s *Stream) limitFrame(size int) *time.Timer {
	return time.AfterFunc(maxFrameTime(size), func() {
		if err := s.conn.SetReadDeadline(past); err != nil {
			s.conn.Close()
		}
	})
}

// readRest reads the part of a frame that follows data. It calls release if it fails.
func (s *Stream) readRest(data []byte, size int, release func()) ([]byte, func(), error) {
	start := len(data)
	if size > cap(data) {
		data = append(make([]byte, 0, size), data...)
	}
	data = data[:size]
	if _, err := io.ReadFull(s.r, data[start:]); err != nil {
		release()
		return nil, nil, err
	}
	return data, release, nil
}
