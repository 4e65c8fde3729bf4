package passthrough

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFaultyFramingNeverLooksComplete has heads that contradict themselves about the end of the
// body.
func TestFaultyFramingNeverLooksComplete(t *testing.T) {
	for name, fields := range map[string]string{
		"two lengths":           cutLength + "Content-Length: 3\r\n",
		"list of lengths":       "Content-Length: 30, 3\r\n",
		"negative length":       "Content-Length: -1\r\n",
		"signed length":         "Content-Length: +30\r\n",
		"too large a length":    "Content-Length: 99999999999999999999\r\n",
		"largest length":        "Content-Length: 9223372036854775807\r\n",
		"length with letters":   "Content-Length: 30x\r\n",
		"length without digits": "Content-Length: \r\n",
		"fraction":              "Content-Length: 30.0\r\n",
		"unknown encoding":      "Transfer-Encoding: chu\r\n",
		"identity":              "Transfer-Encoding: identity\r\n",
		"compressed chunks":     "Transfer-Encoding: gzip, chunked\r\n",
		"chunks twice":          cutChunked + cutChunked,
		"no chunks":             cutChunked,
		"line without colon":    "Content-Length\r\n",
		"space before colon":    "Content-Length : 30\r\n",
		"line of spaces first":  " \r\n" + cutLength,
	} {
		for _, version := range []string{"1.0", "1.1"} {
			t.Run(name+", "+version, func(t *testing.T) {
				text := "HTTP/" + version + " 200 OK\r\n" + fields + "\r\n" + cutBody
				server := newCutServer(t, text, (*net.TCPConn).Close)
				got := exchangeCut(t, NewPool(time.Second, func(error) {}), server, "", len(text), false)
				assert.Assert(t, got.err != nil, "the response looks complete: %q", got.body)
			})
		}
	}
}
