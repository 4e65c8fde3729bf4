// Package crowdtest plays crowds of HTTP/1 clients that do not keep the limits of a server, and
// measures what a process holds for them.
package crowdtest

import "strings"

// Kind is what each client of a crowd sends on a connection.
type Kind struct {
	Name    string
	Opening string // sent first
	// Repeat is sent again and again after Opening, until the server closes the connection. If it
	// is empty, the client sends nothing more.
	Repeat string
	// Ended says that Opening is a whole request: the client reads its response and connects again.
	Ended bool
}

const (
	get      = "GET /version-1/ HTTP/1.1\r\nHost: h.example\r\n"
	post     = "POST /ticket/ HTTP/1.1\r\nHost: h.example\r\n"
	chunked  = post + "Transfer-Encoding: chunked\r\n\r\n"
	longHead = 60 << 10
	fullHead = 15 << 10
	heldBody = 900 << 10
)

// fields returns header lines of about the given size together.
func fields(line string, bytes int) string { return strings.Repeat(line, bytes/len(line)) }

var wideField = "X-Field: " + strings.Repeat("v", 89) + "\r\n"

// Heads returns clients whose heads are too large, do not end, or take much to hold.
func Heads() []Kind {
	return []Kind{
		{Name: "long heads of short fields", Opening: get + fields("a:\r\n", longHead) + "\r\n", Ended: true},
		{Name: "full heads of short fields", Opening: get + fields("a:\r\n", fullHead) + "\r\n", Ended: true},
		{Name: "long heads of wide fields", Opening: get + fields(wideField, longHead) + "\r\n", Ended: true},
		{Name: "long heads of short fields, held", Opening: get + fields("a:\r\n", longHead)},
		{Name: "full heads of short fields, held", Opening: get + fields("a:\r\n", fullHead)},
		{Name: "long heads of wide fields, held", Opening: get + fields(wideField, longHead)},
		{Name: "empty lines", Repeat: "\r\n"},
		{Name: "line feeds", Repeat: "\n"},
		{Name: "empty lines after a request", Opening: get + "\r\n", Repeat: "\r\n"},
		{Name: "empty lines after a request with a body", Opening: post + "Content-Length: 2\r\n\r\nab", Repeat: "\r\n"},
		{Name: "method without end", Repeat: "G"},
		{Name: "target without end", Opening: "GET /", Repeat: "a"},
		{Name: "header lines without end", Opening: get, Repeat: wideField},
		{Name: "short fields without end", Opening: get, Repeat: "a:\r\n"},
		{Name: "one field without end", Opening: get + "X-Field: ", Repeat: "a"},
		{Name: "folded lines without end", Opening: get + "X-Field: a\r\n", Repeat: " a\r\n"},
		{Name: "zero bytes", Repeat: "\x00"},
		{Name: "half of a line", Opening: "GET /version-1/ HT"},
		{Name: "silence"},
	}
}

// Bodies returns clients whose bodies do not end, or that do not wait for responses.
func Bodies() []Kind {
	return []Kind{
		{Name: "chunks without end", Opening: chunked, Repeat: "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"},
		{Name: "chunks of a byte", Opening: chunked, Repeat: "1\r\nx\r\n"},
		{Name: "chunk extension without end", Opening: chunked + "1;", Repeat: "a"},
		{Name: "chunk size without end", Opening: chunked, Repeat: "0"},
		{Name: "trailers without end", Opening: chunked + "1\r\nx\r\n0\r\n", Repeat: wideField},
		{Name: "short trailers without end", Opening: chunked + "1\r\nx\r\n0\r\n", Repeat: "a:\r\n"},
		{Name: "large bodies, held", Opening: post + "Content-Length: 1000000\r\n\r\n" + strings.Repeat("x", heldBody)},
		{Name: "bodies of a huge length", Opening: post + "Content-Length: 1000000000000000\r\n\r\n", Repeat: strings.Repeat("x", 4096)},
		{Name: "requests one behind the other", Repeat: get + "\r\n"},
		{Name: "requests with bodies one behind the other", Repeat: post + "Content-Length: 2\r\n\r\nab"},
	}
}
