package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// cutBody is the body of the responses that are cut: two events.
const cutBody = "id: 3\ndata: a\n\nid: 4\ndata: b\n\n"

// beforeCut are the events of the stream that a cut response continues.
const beforeCut = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n"

// cutResponses are whole responses; ID stands for the ID of the request.
var cutResponses = map[string]struct {
	head   string // with interim responses
	body   string // as sent
	marked bool   // the end is known before the connection ends
}{
	"length":              {"HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Type: text/event-stream\r\nContent-Length: 30\r\n\r\n", cutBody, true},
	"length, line feeds":  {"HTTP/1.1 200 OK\nContent-Length: 30\nId: ID\nContent-Type: text/event-stream\nSeal: s\n\n", cutBody, true},
	"chunks, trailers":    {"HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", "f\r\nid: 3\ndata: a\n\n\r\nf\r\nid: 4\ndata: b\n\n\r\n0\r\nA: 1\r\n\r\n", true},
	"no length":           {"HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Type: text/event-stream\r\n\r\n", cutBody, false},
	"no length, HTTP/1.0": {"HTTP/1.0 200 OK\r\nContent-Type: text/event-stream\r\nSeal: s\r\nId: ID\r\n\r\n", cutBody, false},
	"interim, length":     {"HTTP/1.1 103 Early Hints\r\nId: ID\r\nSeal: s\r\n\r\nHTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Type: text/event-stream\r\nContent-Length: 30\r\n\r\n", cutBody, true},
	"no content":          {"HTTP/1.1 204 No Content\r\nId: ID\r\nSeal: s\r\nKeep-Alive: timeout=3\r\n\r\n", "", true},
}

// cutPositions say what precedes a cut response.
var cutPositions = map[string]struct {
	paths     []string
	reused    bool // another exchange on the connection
	continued bool // the first events of the stream, by another server
	http10    bool // the client speaks HTTP/1.0, and the end of the connection may end its response
}{
	"first":             {paths: []string{"/safe/x", "/unsafe/x", "/stream/x", "/feed/x", "/chat/x"}},
	"first, HTTP/1.0":   {paths: []string{"/unsafe/x", "/chat/x"}, http10: true},
	"reused connection": {paths: []string{"/unsafe/x", "/chat/x"}, reused: true},
	"continued":         {paths: []string{"/stream/x", "/feed/x"}, continued: true},
}

// TestCutResponsesNeverLookComplete cuts the responses of servers at each byte, inside their heads
// too. A client gets a response that looks whole if, and only if, it is whole.
func TestCutResponsesNeverLookComplete(t *testing.T) {
	for name, response := range cutResponses {
		for positionName, position := range cutPositions {
			for _, path := range position.paths {
				for _, reset := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s, %s, %s, reset %t", name, positionName, path, reset), func(t *testing.T) {
						t.Parallel()
						f := newCutFixture(t, response.head+response.body, reset, position.continued)
						for at := range len(response.head) + len(response.body) + 1 {
							if reset && at%4 != 0 {
								continue // package passthrough has a test with a reset at each byte
							}
							if position.reused {
								got := f.send(t, http.MethodPost, path, "in", "Id", fmt.Sprint("before ", at), "Budget", "1")
								assert.Equal(t, got.status, http.StatusOK)
								f.settle(t, path, got)
							}
							send := f.send
							if position.http10 {
								send = f.sendHTTP10
							}
							got := send(t, http.MethodPost, path, fmt.Sprint("in ", at), "Id", fmt.Sprint(at), "Budget", "1", "Cut", strconv.Itoa(at))
							f.settle(t, path, got)
							cut := cutResponse{
								stream: path != "/safe/x" && path != "/unsafe/x", continued: position.continued,
								at: at, head: len(response.head), length: len(response.head) + len(response.body),
								reset: reset, marked: response.marked, empty: response.body == "",
							}
							looksWhole := got.err == nil && got.status/100 == 2
							assert.Assert(t, cut.mayLookWhole() || !looksWhole, "cut at %d of %d: status %d, %q looks complete", at, cut.length, got.status, got.body)
							assert.Assert(t, reset || looksWhole || !cut.mayLookWhole(), "cut at %d of %d: status %d, %q, error %v", at, cut.length, got.status, got.body, got.err)
							if got.status/100 == 2 {
								whole := cutBody
								if position.continued {
									whole = beforeCut + cutBody
								}
								assert.Assert(t, strings.HasPrefix(whole, got.body), "%q", got.body)
								assert.Assert(t, !looksWhole || !response.marked || cut.empty || got.body == whole, "%q", got.body)
							}
						}
					})
				}
			}
		}
	}
}

// cutResponse is a response that ends after at bytes.
type cutResponse struct {
	stream, continued bool // on a route of streams; after events of another server
	at, head, length  int
	reset             bool
	marked, empty     bool
}

// mayLookWhole reports whether the client may take the response for complete.
func (c cutResponse) mayLookWhole() bool {
	switch {
	case c.at < c.head, c.continued && c.empty:
		return false
	case c.marked:
		return c.at == c.length
	case c.reset, c.continued && c.at == c.head:
		return false
	}
	return !c.stream || (c.at-c.head)%(len(cutBody)/2) == 0
}

// cutFixture is a fixture with a server that sends cut responses.
type cutFixture struct {
	*fixture
}

// newCutFixture starts a server that sends text up to the byte which the Cut field of the request
// names. If the response continues a stream, another server breaks off after beforeCut.
func newCutFixture(t *testing.T, text string, reset, continued bool) cutFixture {
	respond := func(w http.ResponseWriter, r *http.Request, _ string) {
		w.Header().Set("Content-Type", "text/event-stream")
		at, err := strconv.Atoi(r.Header.Get("Cut"))
		switch {
		case err != nil:
			fmt.Fprint(w, cutBody)
		case continued && r.Header.Get("After") == "":
			hijack(t, w, rawHeader(r)+"Content-Length: 60\r\n\r\n"+beforeCut, false)
		default:
			// A cut counts the bytes of the text with the placeholder.
			head := strings.ReplaceAll(text[:at], "Id: ID", "Id: "+r.Header.Get("Id"))
			hijack(t, w, head, reset)
		}
	}
	servers := []*backend{newBackend(t, "a", respond)}
	if continued {
		servers = append(servers, newBackend(t, "b", respond))
	}
	f := newFixture(t, servers...)
	for _, route := range f.view.routes.Load().Routes {
		route.MaxAttempts = len(servers)
	}
	return cutFixture{f}
}

// settle waits until the turn of a request is settled.
func (f cutFixture) settle(t *testing.T, path string, got clientResponse) {
	t.Helper()
	if path != "/stream/x" && path != "/chat/x" {
		return
	}
	select {
	case <-f.ledger.settled:
	case <-time.After(5 * time.Second):
		t.Fatalf("turn not settled: status %d, %q, error %v", got.status, got.body, got.err)
	}
}

// sendHTTP10 is send for a client that speaks HTTP/1.0.
func (f cutFixture) sendHTTP10(t *testing.T, method, path, body string, headers ...string) clientResponse {
	t.Helper()
	conn, err := net.Dial("tcp", f.front.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	var request strings.Builder
	fmt.Fprintf(&request, "%s %s HTTP/1.0\r\nHost: h\r\nContent-Length: %d\r\n", method, path, len(body))
	for i := 0; i+1 < len(headers); i += 2 {
		fmt.Fprintf(&request, "%s: %s\r\n", headers[i], headers[i+1])
	}
	_, err = io.WriteString(conn, request.String()+"\r\n"+body)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return clientResponse{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return clientResponse{status: resp.StatusCode, body: string(data), err: err}
}

// TestLongCutResponsesNeverLookComplete cuts bodies that are too long to be buffered near the
// limits of the buffers, with and without a limit of memory.
func TestLongCutResponsesNeverLookComplete(t *testing.T) {
	const length = 2*maxBufferedResponseBytes + 3
	body := strings.Repeat("0123456789abcdef", length/16+1)[:length]
	for _, limit := range []int64{0, 4 * requestBytes, 1 << 20} {
		for _, chunks := range []bool{false, true} {
			for _, at := range []int{0, 1, minResponseBytes, minResponseBytes + 1, firstResponseBytes, 2 * firstResponseBytes, maxBufferedResponseBytes, maxBufferedResponseBytes + 1, length - 1, length} {
				for _, reset := range []bool{false, true} {
					t.Run(fmt.Sprintf("memory %d, chunks %t, cut at %d, reset %t", limit, chunks, at, reset), func(t *testing.T) {
						t.Parallel()
						respond := func(w http.ResponseWriter, r *http.Request, _ string) {
							text := rawHeader(r) + fmt.Sprintf("Content-Length: %d\r\n\r\n", length) + body[:at]
							if chunks {
								text = rawHeader(r) + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body[:at], at == length)
							}
							hijack(t, w, text, reset)
						}
						for _, http10 := range []bool{false, true} {
							// A server of its own, since a request may reach a connection before it is closed.
							f := newFixture(t, newBackend(t, "a", respond))
							if limit > 0 {
								f.limitMemory(limit, time.Second)
							}
							send := f.send
							if http10 {
								send = cutFixture{f}.sendHTTP10
							}
							got := send(t, http.MethodPost, "/unsafe/x", "in", "Id", "1")
							if got.status == http.StatusOK && got.err == nil {
								assert.Equal(t, at, length, "the response looks complete: %d bytes", len(got.body))
								assert.Assert(t, got.body == body)
							}
							assert.Assert(t, at < length || reset || got.status == http.StatusOK && got.err == nil, "HTTP/1.0 %t: status %d, %v", http10, got.status, got.err)
						}
					})
				}
			}
		}
	}
}
