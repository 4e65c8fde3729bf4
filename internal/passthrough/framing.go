package passthrough

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strings"

	"ibistray.example/ibistray/internal/statusline"
)

// errInvalidFraming means that the header of a response does not tell reliably where its body
// ends.
var errInvalidFraming = errors.New("passthrough: invalid framing of the response")

// http11 is the version with which a response begins whose Transfer-Encoding net/http obeys.
const http11 = "HTTP/1.1"

// readResponse reads the status line and header of one response, which may be an interim one.
func (c *conn) readResponse(method string) (*http.Response, error) {
	version, err := c.reader.Peek(len(http11))
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	if string(version) != http11 {
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		c.header.record(buffered)
		defer c.header.stopRecording()
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	if err := checkStatus(resp); err != nil {
		return nil, err
	}
	if err := checkFraming(resp.Header, c.header.recorded); err != nil {
		return nil, err
	}
	return resp, nil
}

// checkStatus returns statusline.ErrInvalid for a version or a status that is none of HTTP/1, and for
// a switch of protocols, which no request asks for.
func checkStatus(resp *http.Response) error {
	code, _, _ := strings.Cut(resp.Status, " ")
	if err := statusline.Check(resp.Proto, code); err != nil {
		return err
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: switch of protocols", statusline.ErrInvalid)
	}
	return nil
}

// checkFraming returns errInvalidFraming for a field about the end of the body that net/http
// ignores: one with a space after its name, and a Transfer-Encoding in a version without it, which
// net/http also removes from the header. recorded is the beginning of a response of such a version.
// Without that field, the body would seem to end wherever the connection ends.
func checkFraming(header http.Header, recorded []byte) error {
	for name := range header {
		field := strings.TrimRight(name, " ")
		if field != name && (strings.EqualFold(field, "Content-Length") || strings.EqualFold(field, "Transfer-Encoding")) {
			return fmt.Errorf("%w: space after the name of %s", errInvalidFraming, field)
		}
	}
	if recorded == nil {
		return nil
	}
	lines := textproto.NewReader(bufio.NewReader(bytes.NewReader(recorded)))
	if _, err := lines.ReadLine(); err != nil {
		return fmt.Errorf("%w: %w", errInvalidFraming, err)
	}
	fields, err := lines.ReadMIMEHeader()
	if err != nil {
		return fmt.Errorf("%w: %w", errInvalidFraming, err)
	}
	if _, found := fields["Transfer-Encoding"]; found {
		return fmt.Errorf("%w: Transfer-Encoding before HTTP/1.1", errInvalidFraming)
	}
	return nil
}

// errHeaderTooLarge means that a server sent more than maxHeaderBytes or
// maxInterimResponses before the end of a response's header.
var errHeaderTooLarge = errors.New("passthrough: header of the response is too large")

// headerLimit is a reader that fails with errHeaderTooLarge after a number of bytes while
// the limit is set.
type headerLimit struct {
	reader    io.Reader
	set       bool
	remaining int    // bytes, if set
	recorded  []byte // bytes since record was called, nil if it was not
}

// Read implements io.Reader.
func (l *headerLimit) Read(p []byte) (int, error) {
	if !l.set {
		return l.reader.Read(p)
	}
	if l.remaining <= 0 {
		return 0, errHeaderTooLarge
	}
	n, err := l.reader.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	if l.recorded != nil {
		l.recorded = append(l.recorded, p[:n]...)
	}
	return n, err
}

// record keeps a copy of what is read from now on, after the bytes that were read before.
func (l *headerLimit) record(before []byte) { l.recorded = append([]byte{}, before...) }

func (l *headerLimit) stopRecording() { l.recorded = nil }
