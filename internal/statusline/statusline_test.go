package statusline

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestCheckLine(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r", "HTTP/1.0 200", "HTTP/1.1 100 Continue", "HTTP/1.1 199 ", "HTTP/1.1 418 I'm a teapot", "HTTP/1.1 599 x",
	} {
		assert.NilError(t, CheckLine([]byte(line)), "%q", line)
	}
	for _, line := range []string{
		"", "HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1 000", "HTTP/1.1 000 OK", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK",
		"HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1  200 OK", "HTTP/1.1 2e2 OK",
		"HTTP/2.0 200 OK", "HTTP/7.3 200 OK", "HTTP/1.x 200 OK", "HTTP/1.10 200 OK", "http/1.1 200 OK", "ICY 200 OK",
	} {
		assert.ErrorIs(t, CheckLine([]byte(line)), ErrInvalid, "%q", line)
	}
}
