package requestlimit

import (
	"bytes"
	"strconv"
	"strings"

	"ibistray.example/ibistray/internal/policy/memory"
)

// framing says where the body of a request ends.
type framing struct {
	length    int64 // of the body that is left
	announced int64 // of the whole body
	chunked   bool
	expects   bool // the client waits for a 100 response before it sends the body
}

// headEnd returns the length of a head including its empty line, or 0 if data does not hold its end.
// The first scanned bytes are known not to hold it.
func headEnd(data []byte, scanned int) int {
	for from := max(0, scanned-2); ; {
		i := bytes.IndexByte(data[from:], '\n')
		if i < 0 {
			return 0
		}
		from += i + 1
		rest := data[from:]
		switch {
		case len(rest) > 0 && rest[0] == '\n':
			return from + 1
		case len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n':
			return from + 2
		}
	}
}

// exceeds reports whether data, which begins with a request line, has more than limit bytes of header
// fields or a request line that is too long.
func exceeds(data []byte, limit int) bool {
	line := bytes.IndexByte(data, '\n') + 1
	if line == 0 {
		return len(data) > maxRequestLineBytes
	}
	return line > maxRequestLineBytes || len(data)-line > limit
}

// emptyLineBytes returns the length of the carriage returns and line feeds at the start of data.
func emptyLineBytes(data []byte) int {
	return len(data) - len(bytes.TrimLeft(data, "\r\n"))
}

// heldBytes returns what a server holds for a head once it has decoded it.
func heldBytes(head []byte) int64 {
	return memory.HeadBytes(len(head), bytes.Count(head, []byte{'\n'}))
}

// parseFraming returns the framing that a whole head declares. A reason other than "" says that
// servers could differ on it, or that they do not support it.
func parseFraming(head []byte) (framing, reason) {
	var f framing
	var hasLength, framed bool
	requestLine, rest, _ := bytes.Cut(head, []byte{'\n'})
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte{'\n'})
		if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
			if framed {
				return f, reasonMalformed
			}
			continue
		}
		name, value, _ := bytes.Cut(line, []byte{':'})
		f.expects = f.expects || bytes.EqualFold(name, []byte("Expect"))
		framed = isFramingField(name)
		if !framed {
			continue
		}
		text := strings.Trim(string(value), " \t\r")
		switch {
		case name[len(name)-1] == ' ' || name[len(name)-1] == '\t':
			return f, reasonMalformed
		case name[0]|0x20 == 't':
			if f.chunked || !strings.EqualFold(text, "chunked") {
				return f, reasonCoding
			}
			f.chunked = true
		default:
			length, err := strconv.ParseUint(text, 10, 63)
			if err != nil || hasLength && int64(length) != f.length {
				return f, reasonMalformed
			}
			f.length, f.announced, hasLength = int64(length), int64(length), true
		}
	}
	if f.chunked && (hasLength || !bytes.Contains(requestLine, []byte("HTTP/1.1"))) {
		return f, reasonMalformed
	}
	return f, ""
}

// isFramingField reports whether a field frames the body. The name may have white space behind it.
func isFramingField(name []byte) bool {
	if len(name) < len("Content-Length") {
		return false
	}
	trimmed := bytes.TrimRight(name, " \t")
	return bytes.EqualFold(trimmed, []byte("Content-Length")) || bytes.EqualFold(trimmed, []byte("Transfer-Encoding"))
}
