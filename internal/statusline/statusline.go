// Package statusline validates the first line of HTTP responses. HTTP libraries accept codes that
// HTTP does not define, take some of them for interim responses or for a success, and read versions
// of other framing.
package statusline

import (
	"bytes"
	"errors"
	"fmt"
)

// ErrInvalid means that a response does not begin with a status line of HTTP/1 whose code is between
// 100 and 599 (RFC 9110, section 15). What follows it proves nothing.
var ErrInvalid = errors.New("invalid status line")

// Range of the codes that HTTP defines.
const (
	minCode = 100
	maxCode = 599
)

// Check returns ErrInvalid for a version other than HTTP/1 or for a code that is not three digits
// within the range of HTTP.
func Check(version, code string) error {
	if len(version) != len("HTTP/1.1") || version[:len("HTTP/1.")] != "HTTP/1." || !isDigit(version[len(version)-1]) {
		return fmt.Errorf("%w: version %q", ErrInvalid, version)
	}
	if len(code) != 3 || !isDigit(code[0]) || !isDigit(code[1]) || !isDigit(code[2]) {
		return fmt.Errorf("%w: status %q", ErrInvalid, code)
	}
	if n := int(code[0]-'0')*100 + int(code[1]-'0')*10 + int(code[2]-'0'); n < minCode || n > maxCode {
		return fmt.Errorf("%w: status %s", ErrInvalid, code)
	}
	return nil
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// CheckLine is Check for a line, which may end with a carriage return.
func CheckLine(line []byte) error {
	version, rest, _ := bytes.Cut(bytes.TrimSuffix(line, []byte("\r")), []byte(" "))
	code, _, _ := bytes.Cut(rest, []byte(" "))
	return Check(string(version), string(code))
}
