package transport

import (
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// readers are the open streams of a session. A yamux session that closes wakes all readers, closes
// its connection, waits for its receive loop and only then marks the streams as closed; until
// then a reader repeats its read without a pause. So the read deadlines of all streams pass when
// the session closes its connection. readers is safe for concurrent use.
type readers struct {
	mu      sync.Mutex
	streams map[*yamux.Stream]struct{}
	expired bool // the session closes
}

// track adds a stream and returns it. Closing the returned one removes it.
func (r *readers) track(s *yamux.Stream) (*trackedStream, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.streams == nil {
		r.streams = make(map[*yamux.Stream]struct{})
	}
	r.streams[s] = struct{}{}
	if r.expired {
		return &trackedStream{s, r}, s.SetReadDeadline(past)
	}
	return &trackedStream{s, r}, nil
}

func (r *readers) remove(s *yamux.Stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.streams, s)
}

// expire ends all reads, present and future ones.
func (r *readers) expire() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expired = true
	for s := range r.streams {
		if err := s.SetReadDeadline(past); err != nil {
			return err
		}
	}
	return nil
}

// trackedStream is a stream whose reads end when its session closes.
type trackedStream struct {
	*yamux.Stream
	readers *readers
}

// SetReadDeadline implements net.Conn.
func (s *trackedStream) SetReadDeadline(t time.Time) error {
	s.readers.mu.Lock()
	defer s.readers.mu.Unlock()
	if s.readers.expired {
		t = past
	}
	return s.Stream.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (s *trackedStream) SetDeadline(t time.Time) error {
	if err := s.SetReadDeadline(t); err != nil {
		return err
	}
	return s.SetWriteDeadline(t)
}

// Close implements net.Conn.
func (s *trackedStream) Close() error {
	s.readers.remove(s.Stream)
	return s.Stream.Close()
}
