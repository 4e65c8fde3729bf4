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

// frameHeaderBytes is the size of a frame's header: its kind and its length.
const frameHeaderBytes = 5

type frameKind byte

const (
	frameMessage frameKind = 1 // a request or response message
	frameStatus  frameKind = 2 // an rpcpb.Status, the last frame that a server sends
)

// appendFrame appends the frame of m to buf: one byte for the kind, the length as a
// big-endian uint32, and the encoded message. It returns ErrTooLarge if m exceeds
// MaxMessageBytes.
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

// readFrameHeader reads the kind and the length of a frame, which is at most limit bytes.
func readFrameHeader(r io.Reader, limit uint32) (frameKind, int, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, 0, err
	}
	kind := frameKind(header[0])
	if kind != frameMessage && kind != frameStatus {
		return 0, 0, fmt.Errorf("%w: unknown kind %d", ErrMalformed, kind)
	}
	size := binary.BigEndian.Uint32(header[1:])
	if size > limit {
		return 0, 0, fmt.Errorf("%w: frame of %d bytes, limit %d", ErrTooLarge, size, limit)
	}
	return kind, int(size), nil
}

// unexpectedEOF returns io.ErrUnexpectedEOF in place of io.EOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
