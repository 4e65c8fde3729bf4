package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
)

// maxEventBytes is the maximum size of one event of a stream with the comments and blank
// lines before it. Bytes without an event are no progress: a server in trouble may send them
// without end.
const maxEventBytes = 64 << 10

// errNotAnEvent says that a stream brought a line that is neither a field nor a comment, such as
// the text of an error or the head of another response.
var errNotAnEvent = fmt.Errorf("%w: a line of the stream is no field of an event", errInvalidResponse)

var errEventTooLarge = fmt.Errorf("gateway: event is larger than %d bytes", maxEventBytes)

// splitList splits the comma-separated list of a header value.
func splitList(value string) []string {
	parts := strings.Split(value, ",")
	for i, part := range parts {
		parts[i] = strings.TrimSpace(part)
	}
	return parts
}

// event is one server-sent event.
type event struct {
	raw     []byte // as received, with the blank line that ends it
	id      string
	data    []byte // data lines joined by line feeds
	hasData bool   // the event has a data field; a comment has none
}

// eventReader reads server-sent events. It returns complete events only.
type eventReader struct {
	buf         *bufio.Reader
	withoutData int // bytes since the latest event with data
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{buf: bufio.NewReaderSize(r, 2<<10)}
}

// next returns the next complete event, which may be a comment. It returns io.EOF after the
// last one, io.ErrUnexpectedEOF if the stream ends inside an event, errNotAnEvent and
// errEventTooLarge if an event, or what comes since the last one with data, exceeds maxEventBytes.
func (r *eventReader) next() (event, error) {
	ev, err := r.read()
	if err != nil {
		return event{}, err
	}
	r.withoutData += len(ev.raw)
	if ev.hasData {
		r.withoutData = 0
	}
	if r.withoutData > maxEventBytes {
		return event{}, errEventTooLarge
	}
	return ev, nil
}

// hasNext reports whether next returns an event without waiting for the server.
func (r *eventReader) hasNext() bool {
	buffered, err := r.buf.Peek(r.buf.Buffered())
	return err == nil && (bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n")))
}

// read reads the lines of the next event.
func (r *eventReader) read() (event, error) {
	var ev event
	for {
		line, err := r.buf.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			line, err = r.readLongLine(line)
		}
		if err != nil {
			return event{}, streamEndError(err, len(ev.raw)+len(line))
		}
		ev.raw = append(ev.raw, line...)
		if len(ev.raw) > maxEventBytes {
			return event{}, errEventTooLarge
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return ev, nil
		}
		if err := ev.parseLine(line); err != nil {
			return event{}, err
		}
	}
}

// streamEndError turns io.EOF into io.ErrUnexpectedEOF if partial bytes of an event
// were read.
func streamEndError(err error, partial int) error {
	if errors.Is(err, io.EOF) && partial > 0 {
		return fmt.Errorf("gateway: stream ends inside an event after %d bytes: %w", partial, io.ErrUnexpectedEOF)
	}
	return err
}

// readLongLine reads the rest of a line that exceeds the buffer. prefix is the part
// that was read before.
func (r *eventReader) readLongLine(prefix []byte) ([]byte, error) {
	line := bytes.Clone(prefix)
	for {
		part, err := r.buf.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxEventBytes {
			return nil, errEventTooLarge
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

// byteOrderMark may precede the first line of a stream.
var byteOrderMark = []byte("\ufeff")

// parseLine adds one line to the event. Fields with unknown names are ignored. A line that is
// neither a field nor a comment yields errNotAnEvent.
func (ev *event) parseLine(line []byte) error {
	line = bytes.TrimPrefix(line, byteOrderMark)
	field, value, hasValue := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(field) {
	case "id":
		ev.id = string(value)
	case "data":
		if ev.hasData {
			ev.data = append(ev.data, '\n')
		}
		ev.data = append(ev.data, value...)
		ev.hasData = true
	case "", "event", "retry":
	default:
		if !hasValue || !isFieldName(field) {
			return errNotAnEvent
		}
	}
	return nil
}

// isFieldName reports whether a field name consists of letters, digits, hyphens and underscores.
func isFieldName(name []byte) bool {
	for _, b := range name {
		letter := 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z'
		if !letter && (b < '0' || b > '9') && b != '-' && b != '_' {
			return false
		}
	}
	return true
}
