package transport

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"
)

// MaxMessageBytes is the largest encoded message that is sent or accepted.
const MaxMessageBytes = 16 << 20

const frameHeaderBytes = 5

type frameKind byte

const (
	frameMessage frameKind = 1 // a message of the exchange
	frameStatus  frameKind = 2 // the server's last frame: an rpcpb.Status
)

// appendFrame appends the frame of m: one byte of kind, four bytes of length
// (big endian), the encoded message.
func appendFrame(buf []byte, kind frameKind, m proto.Message) ([]byte, error) {
	size := proto.Size(m)
	if size > MaxMessageBytes {
		return buf, fmt.Errorf("%w: %s of %d bytes, limit %d", ErrTooLarge, m.ProtoReflect().Descriptor().Name(), size, MaxMessageBytes)
	}
	buf = append(buf, byte(kind))
	buf = binary.BigEndian.AppendUint32(buf, uint32(size))
	buf, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buf, m)
	if err != nil {
		return buf, fmt.Errorf("transport: encode %s: %w", m.ProtoReflect().Descriptor().Name(), err)
	}
	return buf, nil
}

// readFrame reads one frame. The length is checked before memory is reserved. It
// never returns io.EOF: an exchange ends with a status frame, so a connection
// that ends between two frames has broken off.
func readFrame(r io.Reader) (frameKind, []byte, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, nil, unexpectedEnd(err)
	}
	kind := frameKind(header[0])
	if kind != frameMessage && kind != frameStatus {
		return 0, nil, fmt.Errorf("%w: kind %d", ErrMalformed, kind)
	}
	size := binary.BigEndian.Uint32(header[1:])
	if size > MaxMessageBytes {
		return 0, nil, fmt.Errorf("%w: frame of %d bytes, limit %d", ErrTooLarge, size, MaxMessageBytes)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return 0, nil, unexpectedEnd(err)
	}
	return kind, data, nil
}

func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
