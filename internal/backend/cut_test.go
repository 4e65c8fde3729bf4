package backend

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// cutFramings are the framings of the responses that are cut: the head, and the function that
// encodes the body.
var cutFramings = map[string]struct {
	head   string
	encode func(body string) string
	marked bool // the end is known before the connection ends
}{
	"length":           {"HTTP/1.1 200 OK\r\nContent-Type: T\r\nContent-Length: N\r\n\r\n", asIs, true},
	"length, HTTP/1.0": {"HTTP/1.0 200 OK\r\nContent-Length: N\r\nContent-Type: T\r\n\r\n", asIs, true},
	"line feeds":       {"HTTP/1.1 200 OK\nContent-Type: T\nContent-Length: N\n\n", asIs, true},
	"chunks":           {"HTTP/1.1 200 OK\r\nContent-Type: T\r\nTransfer-Encoding: chunked\r\n\r\n", inChunks("\r\n"), true},
	"chunks, trailers": {"HTTP/1.1 200 OK\r\nContent-Type: T\r\nTrailer: Abc\r\nTransfer-Encoding: chunked\r\n\r\n", inChunks("Abc: 1\r\n\r\n"), true},
	"interim, length":  {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Type: T\r\nContent-Length: N\r\n\r\n", asIs, true},
	"no length":        {"HTTP/1.1 200 OK\r\nContent-Type: T\r\n\r\n", asIs, false},
	"hints, no length": {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Type: T\r\n\r\n", asIs, false},
}

func asIs(body string) string { return body }

// inChunks returns a function that encodes a body as chunks of up to 15 bytes.
func inChunks(trailers string) func(string) string {
	return func(body string) string {
		var b strings.Builder
		for len(body) > 0 {
			n := min(15, len(body))
			b.WriteString(string("0123456789abcdef"[n]) + "\r\n" + body[:n] + "\r\n")
			body = body[n:]
		}
		return b.String() + "0\r\n" + trailers
	}
}

const (
	cutLoad   = `{"running":1,"waiting":2,"batch_limit":30}`
	cutEvents = `{"events":[{"sequence":7,"kind":"stored","program":"p","tokens":12}],"next":7}`
	cutCache  = `{"sequence":7,"programs":[{"program":"p","tokens":12},{"program":"q","tokens":3}]}`
	cutChat   = "data: {\"id\":\"r\",\"choices\":[{\"delta\":{\"content\":\"ab\"}}]}\nid: 2\n\n" +
		": ping\n\n" +
		"id: 12\ndata: {\"id\":\"r\",\ndata: \"choices\":[{\"delta\":{\"content\":\"cdefghijkl\"}}]}\n\n" +
		"data: {\"id\":\"r\",\"usage\":{\"completion_tokens\":3}}\n\n" +
		"data: [DONE]\n\n"
	cutText = "abcdefghijkl"
)

// cutCalls are the calls whose responses are cut. Each returns the result as text, or an error.
var cutCalls = map[string]struct {
	body, contentType, result string
	needsMark                 bool // the body does not show where it ends
	endsBefore                bool // the body is read up to its own mark, not to the end of the framing
	resumable                 bool // the caller resumes after a lost connection
	call                      func(t *testing.T, c *Client) (string, error)
}{
	"service": {"[1,2]", "application/json", "[1,2]", true, false, false, func(t *testing.T, c *Client) (string, error) {
		got, err := c.CallService(t.Context(), "s", "o", "r", []byte("{}"))
		assert.Assert(t, err != nil || got.Status == http.StatusOK, "status %d", got.Status)
		return string(got.Body), err
	}},
	"export": {"prefix of a program", "application/octet-stream", "prefix of a program", true, false, false, func(t *testing.T, c *Client) (string, error) {
		data, err := c.ExportCache(t.Context(), "p")
		return string(data), err
	}},
	"load": {cutLoad, "application/json", "1 2 30", false, false, false, func(t *testing.T, c *Client) (string, error) {
		load, err := c.Load(t.Context())
		if err == nil {
			assert.Equal(t, load, Load{Running: 1, Waiting: 2, BatchLimit: 30})
		}
		return "1 2 30", err
	}},
	"cache events": {cutEvents, "application/json", "", false, false, false, func(t *testing.T, c *Client) (string, error) {
		page, err := c.CacheEvents(t.Context(), 6)
		if err == nil {
			assert.DeepEqual(t, page, CacheEvents{Events: []CacheEvent{{Sequence: 7, Kind: "stored", Program: "p", Tokens: 12}}, Next: 7})
		}
		return "", err
	}},
	"cache contents": {cutCache, "application/json", "", false, false, false, func(t *testing.T, c *Client) (string, error) {
		contents, err := c.CacheContents(t.Context())
		if err == nil {
			assert.DeepEqual(t, contents, CacheContents{Sequence: 7, Programs: []CacheEntry{{"p", 12}, {"q", 3}}})
		}
		return "", err
	}},
	"chat": {cutChat, "text/event-stream", cutText, false, true, true, func(t *testing.T, c *Client) (string, error) {
		stream, err := c.Chat(t.Context(), &ChatRequest{RequestID: "r"})
		if err != nil {
			return "", err
		}
		defer stream.Close()
		text := ""
		for {
			chunk, err := stream.Next()
			if errors.Is(err, io.EOF) {
				return text, nil
			}
			if err != nil {
				return text, err
			}
			text += chunk.Text
		}
	}},
}

// TestCutResponsesAreLostConnections cuts the responses to each call at each byte. A call that was
// cut off must not return a result, nor an error by which the caller would not resume a stream.
func TestCutResponsesAreLostConnections(t *testing.T) {
	for framingName, framing := range cutFramings {
		for callName, call := range cutCalls {
			for endName, reset := range map[string]bool{"closed": false, "reset": true} {
				t.Run(strings.Join([]string{callName, framingName, endName}, ", "), func(t *testing.T) {
					t.Parallel()
					head := replaceHead(framing.head, call.contentType, len(call.body))
					text := head + framing.encode(call.body)
					texts := make(chan string, 1)
					client := newCutServer(t, texts, reset)
					for at := range len(text) + 1 {
						texts <- text[:at]
						got, err := call.call(t, client)
						mayEnd := at == len(text)
						if !framing.marked || call.endsBefore {
							mayEnd = at >= len(head) && !call.needsMark
						}
						switch {
						case err == nil:
							assert.Equal(t, got, call.result, "cut at %d of %d", at, len(text))
							assert.Assert(t, mayEnd, "cut at %d of %d: the response looks complete: %q", at, len(text), got)
						case errors.Is(err, ErrInvalidResponse) && mayEnd && !call.resumable:
						default:
							assert.ErrorIs(t, err, ErrConnectionLost, "cut at %d of %d: %q", at, len(text), text[max(0, at-20):at])
							assert.Assert(t, strings.HasPrefix(call.result, got), "%q", got)
							assert.Assert(t, at < len(text) || reset || !framing.marked, "%v", err)
						}
					}
				})
			}
		}
	}
}

// replaceHead fills in the type and the length of a body.
func replaceHead(head, contentType string, length int) string {
	return strings.NewReplacer("Type: T", "Type: "+contentType, "Length: N", "Length: "+strconv.Itoa(length)).Replace(head)
}

// newCutServer starts a server that sends one of the texts on each connection and then closes or
// resets it.
func newCutServer(t *testing.T, texts <-chan string, reset bool) *Client {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	accepting := make(chan struct{})
	t.Cleanup(func() {
		listener.Close()
		<-accepting
	})
	serve := func(conn *net.TCPConn) error {
		defer conn.Close()
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return err
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return err
		}
		if _, err := io.WriteString(conn, <-texts); err != nil || !reset {
			return err
		}
		return conn.SetLinger(0)
	}
	go func() {
		defer close(accepting)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if err := serve(conn.(*net.TCPConn)); err != nil {
				t.Error(err)
			}
		}
	}()
	client, err := New("http://" + listener.Addr().String())
	assert.NilError(t, err)
	return client
}
