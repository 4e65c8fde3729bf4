package transport

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/proto/rpcpb"
)

const streamReadBufferBytes = 4 << 10

// Stream is one exchange. Send and Recv may be used by one goroutine each.
type Stream struct {
	conn net.Conn
	r    *bufio.Reader

	mu  sync.Mutex // guards buf and writes
	buf []byte
}

func newStream(conn net.Conn) *Stream {
	return &Stream{conn: conn, r: bufio.NewReaderSize(conn, streamReadBufferBytes)}
}

// Send writes one message. Errors: ErrTooLarge (nothing sent), ErrBroken.
func (s *Stream) Send(m proto.Message) error {
	return s.send(frameMessage, m)
}

func (s *Stream) send(kind frameKind, m proto.Message) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	buf, err := appendFrame(s.buf[:0], kind, m)
	s.buf = buf
	if err != nil {
		return err
	}
	if _, err := s.conn.Write(buf); err != nil {
		return fmt.Errorf("%w: write: %w", ErrBroken, err)
	}
	return nil
}

// Recv reads the next message into m. It returns io.EOF after the peer ended
// the exchange without a failure, *Error after it reported one, ErrBroken when
// the session broke or the deadline passed, ErrMalformed on a bad frame.
func (s *Stream) Recv(m proto.Message) error {
	kind, data, err := readFrame(s.r)
	if errors.Is(err, ErrMalformed) || errors.Is(err, ErrTooLarge) {
		return err
	}
	if err != nil {
		return fmt.Errorf("%w: read: %w", ErrBroken, err)
	}
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
	return errorOf(st)
}

// SetReadDeadline bounds the following calls of Recv.
func (s *Stream) SetReadDeadline(t time.Time) error {
	return s.conn.SetReadDeadline(t)
}

// SetDeadline bounds the following calls of Send and Recv.
func (s *Stream) SetDeadline(t time.Time) error {
	return s.conn.SetDeadline(t)
}

// Close ends the exchange on this side.
func (s *Stream) Close() error {
	return s.conn.Close()
}
