package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// framings are the ways in which a server may mark the end of a body.
var framings = map[string]struct {
	version string
	header  func(length int) string
	chunked bool
	marked  bool // the end is known before the connection ends
}{
	"length":         {"1.1", func(length int) string { return fmt.Sprintf("Content-Length: %d\r\n", length) }, false, true},
	"chunks":         {"1.1", func(int) string { return "Transfer-Encoding: chunked\r\n" }, true, true},
	"none":           {"1.1", func(int) string { return "" }, false, false},
	"none, close":    {"1.1", func(int) string { return "Connection: close\r\n" }, false, false},
	"none, HTTP/1.0": {"1.0", func(int) string { return "" }, false, false},
	"length, 1.0":    {"1.0", func(length int) string { return fmt.Sprintf("Content-Length: %d\r\n", length) }, false, true},
}

// framedBody is the body of all responses: three events, the last one with a character of several
// bytes.
var framedBody = eventText(1, 2) + "id: 3\ndata: to the énd\n\n"

// framedCuts are the places at which a body ends, and whether an event stream ends there.
var framedCuts = map[string]struct {
	at         int
	afterEvent bool
}{
	"whole":                 {len(framedBody), true},
	"after an event":        {len(eventText(1, 2)), true},
	"inside a line":         {len(eventText(1, 2)) + 2, false},
	"between lines":         {len(eventText(1, 2)) + len("id: 3\n"), false},
	"before the blank line": {len(framedBody) - 1, false},
	"inside a character":    {strings.Index(framedBody, "é") + 1, false},
	"before the body":       {0, true},
}

// connectionEnds are the ways in which a server ends the connection after what it has written.
var connectionEnds = map[string]struct {
	end   func(*net.TCPConn) error
	clean bool
}{
	"closed": {(*net.TCPConn).Close, true},
	"half-open": {func(c *net.TCPConn) error {
		if err := c.CloseWrite(); err != nil {
			return err
		}
		_, err := io.Copy(io.Discard, c) // until the entry closes its side
		return err
	}, true},
	"reset": {func(c *net.TCPConn) error { return c.SetLinger(0) }, false},
}

// TestResponsesAreWholeExactlyIfTheirServersEndedThem covers the framings, the places at which a
// response ends, and the ends of the connection, for plain responses and streams. A client gets
// a response that looks whole if, and only if, it is; a turn is kept only then.
func TestResponsesAreWholeExactlyIfTheirServersEndedThem(t *testing.T) {
	for framingName, framing := range framings {
		for cutName, cut := range framedCuts {
			for endName, end := range connectionEnds {
				for _, path := range []string{"/safe/x", "/unsafe/x", "/chat/x", "/feed/x"} {
					t.Run(strings.Join([]string{framingName, cutName, endName, path}, ", "), func(t *testing.T) {
						t.Parallel()
						stream := path == "/chat/x" || path == "/feed/x"
						complete := cut.at == len(framedBody)
						whole := framing.marked && complete || !framing.marked && end.clean && (!stream || cut.afterEvent)
						respond := func(w http.ResponseWriter, r *http.Request, _ string) {
							head := fmt.Sprintf("HTTP/%s 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\n", framing.version, r.Header.Get("Id"))
							body := framedBody[:cut.at]
							if framing.chunked {
								body = chunked(body, complete)
							}
							endConnection(t, w, head+framing.header(len(framedBody))+"\r\n"+body, end.end)
						}
						server := newBackend(t, "a", respond)
						f := newFixture(t, server)
						for _, route := range f.view.routes.Load().Routes {
							route.MaxAttempts = 1
						}
						got := f.send(t, http.MethodPost, path, "in", "Id", "1", "Program", "p")
						looksWhole := got.err == nil && got.status == http.StatusOK
						assert.Equal(t, looksWhole, whole, "status %d, error %v, %q", got.status, got.err, got.body)
						if got.status == http.StatusOK {
							assert.Assert(t, strings.HasPrefix(framedBody, got.body), "%q", got.body)
						}
						if whole {
							assert.Equal(t, got.body, framedBody[:cut.at])
						}
						if path == "/chat/x" {
							assert.Equal(t, (<-f.ledger.settled).Keep, whole)
						}
					})
				}
			}
		}
	}
}

// chunked returns a body as one chunk, with the last chunk if it is complete.
func chunked(body string, complete bool) string {
	text := ""
	if body != "" {
		text = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	}
	if complete {
		text += "0\r\n\r\n"
	}
	return text
}

// endConnection writes a response and ends its connection.
func endConnection(t *testing.T, w http.ResponseWriter, text string, end func(*net.TCPConn) error) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		t.Error(err)
		return
	}
	defer conn.Close()
	tcp := conn.(*net.TCPConn)
	if _, err := tcp.Write([]byte(text)); err != nil {
		t.Error(err)
		return
	}
	time.Sleep(20 * time.Millisecond) // a reset discards what the entry has not read
	if err := end(tcp); err != nil {
		t.Error(err)
	}
}
