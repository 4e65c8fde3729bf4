package passthrough

import (
	"bufio"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// endlessWriteBytes is what an endless server writes at most if nobody closes the connection.
const endlessWriteBytes = 64 << 20

// startEndlessServer starts a server that reads a request, writes start and then part again
// and again until the caller closes the connection or endlessWriteBytes are written. written
// counts the bytes that it could write.
func startEndlessServer(t *testing.T, start, part string) (Server, *atomic.Int64) {
	t.Helper()
	var written atomic.Int64
	block := []byte(strings.Repeat(part, 1+4096/len(part)))
	server := startRawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		defer c.Close()
		if req, _ := readRequest(r); req == nil {
			return
		}
		if _, err := io.WriteString(c, start); err != nil {
			return
		}
		for written.Load() < endlessWriteBytes {
			n, err := c.Write(block)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
	return server, &written
}

// endlessResponse is a response that goes on with part after part.
type endlessResponse struct{ name, start, part string }

// checkCutOff checks that an exchange with such a response fails as a lost connection, and
// that the server is not read without end.
func checkCutOff(t *testing.T, response endlessResponse) {
	t.Helper()
	server, written := startEndlessServer(t, response.start, response.part)
	p, _ := newCountingPool(t)
	_, err := doExchange(t, p, server, getRequest)
	assert.ErrorIs(t, err, ErrConnectionLost)
	assertCutOff(t, written)
}

// TestEndlessHeaderIsCutOff has servers that send bytes without end before the end of the
// response's header. The exchange must fail at the limit and close the connection.
func TestEndlessHeaderIsCutOff(t *testing.T) {
	tests := []endlessResponse{
		{"no line end at all", "", "x"},
		{"status line", "HTTP/1.1 200 O", "K"},
		{"header lines", "HTTP/1.1 200 OK\r\n", "X-Filler: abcdefgh\r\n"},
		{"one header line", "HTTP/1.1 200 OK\r\nX-Filler: ", "x"},
		{"folded header line", "HTTP/1.1 200 OK\r\nX-Filler: x\r\n", " x\r\n"},
		{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"interim responses with a header", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { checkCutOff(t, test) })
	}
}

// TestEndlessFramingIsCutOff has servers that send bytes without end that are no body: in
// the size, the extension or the trailers of a chunk.
func TestEndlessFramingIsCutOff(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	tests := []endlessResponse{
		{"chunk size", chunked, "0"},
		{"chunk extension", chunked + "5;", "x"},
		{"extensions of many chunks", chunked, "1;" + strings.Repeat("x", 1000) + "\r\na\r\n"},
		{"bytes after a chunk", chunked + "1\r\na", "b"},
		{"trailers", chunked + "0\r\n", "X-Filler: abcdefgh\r\n"},
		{"one trailer", chunked + "0\r\nX-Filler: ", "x"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { checkCutOff(t, test) })
	}
}

// TestBytesBeyondTheBodyAreCutOff has a server that sends bytes without end after a complete
// response. The response stands, and its connection is closed.
func TestBytesBeyondTheBodyAreCutOff(t *testing.T) {
	server, written := startEndlessServer(t, okResponse, "x")
	p, dials := newCountingPool(t)
	body, err := doExchange(t, p, server, getRequest)
	assert.NilError(t, err)
	assert.Equal(t, body, "ok")
	// Bytes that come after the connection was taken for the next request cannot be told from
	// its response, which then fails.
	for written.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	body, err = doExchange(t, p, server, getRequest)
	assert.NilError(t, err)
	assert.Equal(t, body, "ok")
	assert.Equal(t, dials.Load(), int64(2))
	assertCutOff(t, written)
}

// assertCutOff waits until the server cannot write any more, and checks that it could write
// little more than the socket buffers hold.
func assertCutOff(t *testing.T, written *atomic.Int64) {
	t.Helper()
	const socketBufferBytes = 16 << 20 // both buffers of two loopback connections
	last := int64(-1)
	for written.Load() != last {
		last = written.Load()
		time.Sleep(50 * time.Millisecond)
	}
	assert.Assert(t, last < socketBufferBytes, "the server could write %d bytes", last)
}

// TestManyEndlessHeadersNeedLittleMemory has as many servers in trouble at once as an entry
// has connections under load.
func TestManyEndlessHeadersNeedLittleMemory(t *testing.T) {
	const connections = 200
	server, _ := startEndlessServer(t, "HTTP/1.1 200 OK\r\nX-Filler: ", "x")
	p, _ := newCountingPool(t)
	before := heapBytes()
	var wg sync.WaitGroup
	for range connections {
		wg.Go(func() {
			_, err := doExchange(t, p, server, getRequest)
			assert.Check(t, err != nil)
		})
	}
	wg.Wait()
	allocated := heapBytes() - before
	assert.Assert(t, allocated < connections*8*maxHeaderBytes, "%d bytes allocated", allocated)
}

// heapBytes returns the bytes that the process has allocated so far.
func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}
