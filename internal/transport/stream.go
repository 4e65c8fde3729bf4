package transport

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/proto/rpcpb"
)

const streamReadBufferBytes = 4 << 10

// Stream is one side of an RPC. Send is safe for concurrent use; Recv is not.
type Stream struct {
	conn     net.Conn
	r        *bufio.Reader
	log      hclog.Logger // of the server; nil on the side of the client
	receiver *receiver    // of the server; nil on the side of the client
	// admit is called with the size of each frame before it is received, unless it is nil.
	admit func(size int) error
	large *largeMessages // of the server; nil: not limited

	mu  sync.Mutex // guards buf and writes to conn
	buf []byte
}

func newStream(conn net.Conn) *Stream {
	return &Stream{conn: conn, r: bufio.NewReaderSize(conn, streamReadBufferBytes)}
}

// Send writes one message. Errors wrap ErrTooLarge (nothing was sent) or ErrInterrupted.
func (s *Stream) Send(m proto.Message) error {
	return s.send(frameMessage, m)
}

func (s *Stream) send(kind frameKind, m proto.Message) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	buf, err := appendFrame(s.buf[:0], kind, m)
	if cap(buf) <= maxFrameBufBytes {
		s.buf = buf
	}
	if err != nil {
		return err
	}
	if _, err := s.conn.Write(buf); err != nil {
		return fmt.Errorf("%w: write: %w", ErrInterrupted, err)
	}
	return nil
}

// Recv reads the next message into m. It returns io.EOF when the peer ended the RPC
// with CODE_OK and an *Error when it ended with another code. Other errors wrap
// ErrInterrupted (the session failed or the deadline passed), ErrMalformed or ErrTooLarge.
func (s *Stream) Recv(m proto.Message) error { return s.recv(m, MaxMessageBytes) }

// recv is Recv with a limit of the message in bytes.
func (s *Stream) recv(m proto.Message, limit uint32) error {
	kind, data, release, err := s.readFrame(limit)
	if errors.Is(err, ErrMalformed) || errors.Is(err, ErrTooLarge) {
		return err
	}
	if err != nil {
		return fmt.Errorf("%w: read: %w", ErrInterrupted, err)
	}
	defer release()
	if kind == frameStatus {
		return recvStatus(data)
	}
	if err := proto.Unmarshal(data, m); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrMalformed, m.ProtoReflect().Descriptor().Name(), err)
	}
	return nil
}

func recvStatus(data []byte) error {
	st := new(rpcpb.Status)
	if err := proto.Unmarshal(data, st); err != nil {
		return fmt.Errorf("%w: status: %w", ErrMalformed, err)
	}
	if st.Code == rpcpb.Code_CODE_OK {
		return io.EOF
	}
	return errorFromStatus(st)
}

// SetReadDeadline sets the time at which Recv fails with ErrInterrupted. The zero time
// means no deadline.
func (s *Stream) SetReadDeadline(t time.Time) error {
	return s.conn.SetReadDeadline(t)
}

// SetDeadline sets the time at which Send and Recv fail with ErrInterrupted. The zero time
// means no deadline.
func (s *Stream) SetDeadline(t time.Time) error {
	return s.conn.SetDeadline(t)
}

// Close closes this side of the stream.
func (s *Stream) Close() error {
	return s.conn.Close()
}
