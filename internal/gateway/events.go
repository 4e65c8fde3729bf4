package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

var errEventTooLarge = errors.New("gateway: event is too large")

func splitComma(value string) []string {
	parts := strings.Split(value, ",")
	for i, part := range parts {
		parts[i] = strings.TrimSpace(part)
	}
	return parts
}

// event is one event of a stream, as received.
type event struct {
	raw  []byte // with the blank line that ends it
	id   string
	data []byte // lines joined by line feeds
	text bool   // the event has data; a comment has none
}

// eventReader reads whole events.
type eventReader struct {
	r *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, 2<<10)}
}

// next returns the next whole event. It returns io.EOF after the last one and
// io.ErrUnexpectedEOF when the stream ends in the middle of an event.
func (e *eventReader) next() (event, error) {
	var ev event
	for {
		line, err := e.r.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			line, err = e.longLine(line)
		}
		if err != nil {
			return event{}, endOf(err, len(ev.raw)+len(line))
		}
		ev.raw = append(ev.raw, line...)
		if len(ev.raw) > maxEventBytes {
			return event{}, errEventTooLarge
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return ev, nil
		}
		ev.take(line)
	}
}

// endOf tells an end between events from one inside.
func endOf(err error, partial int) error {
	if errors.Is(err, io.EOF) && partial > 0 {
		return fmt.Errorf("stream ends inside an event: %w", io.ErrUnexpectedEOF)
	}
	return err
}

// longLine reads the rest of a line that does not fit the buffer.
func (e *eventReader) longLine(start []byte) ([]byte, error) {
	line := bytes.Clone(start)
	for {
		part, err := e.r.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxEventBytes {
			return nil, errEventTooLarge
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

// take reads one line of an event.
func (ev *event) take(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		ev.id = string(value)
	case "data":
		if ev.text {
			ev.data = append(ev.data, '\n')
		}
		ev.data = append(ev.data, value...)
		ev.text = true
	}
}
