package backend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// endlessBytes is what an endless server writes at most if nobody closes the connection.
const endlessBytes = 256 << 20

// TestEndlessResponsesAreCutOff has a service that sends bytes which are no answer until the
// caller closes the connection. The call must fail as one that may have run, with little
// memory.
func TestEndlessResponsesAreCutOff(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	tests := []struct{ name, start, part string }{
		{"no line end at all", "", "x"},
		{"header lines", "HTTP/1.1 200 OK\r\n", "X-Filler: abcdefgh\r\n"},
		{"one header line", "HTTP/1.1 200 OK\r\nX-Filler: ", "x"},
		{"body without a length", "HTTP/1.1 200 OK\r\n\r\n", "x"},
		{"body of a great length", "HTTP/1.1 200 OK\r\nContent-Length: 1099511627776\r\n\r\n", "x"},
		{"chunks", chunked, "4\r\nabcd\r\n"},
		{"chunk size", chunked, "0"},
		{"chunk extension", chunked + "5;", "x"},
		{"trailers", chunked + "0\r\n", "X-Filler: abcdefgh\r\n"},
		{"body of a refusal", "HTTP/1.1 503 Service Unavailable\r\n\r\n", "x"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			before := allocatedBytes()
			written, err := callEndlessService(t, test.start, test.part)
			assert.ErrorIs(t, err, ErrConnectionLost)
			assert.Assert(t, written < endlessBytes, "the service was read without end")
			allocated := allocatedBytes() - before
			assert.Assert(t, allocated < endlessBytes/4, "%d bytes allocated", allocated)
		})
	}
}

// callEndlessService calls a service that sends start and then part again and again. It
// returns how many bytes the service could write.
func callEndlessService(t *testing.T, start, part string) (int, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	written := make(chan int, 1)
	go func() { written <- sendEndlessly(listener, start, strings.Repeat(part, 1+4096/len(part))) }()
	client, err := New("http://" + listener.Addr().String())
	assert.NilError(t, err)
	_, err = client.CallService(t.Context(), "service", "operation", "id", []byte("{}"))
	return <-written, err
}

// sendEndlessly accepts one connection, reads a request and writes start and then block until
// the caller closes the connection or endlessBytes are written.
func sendEndlessly(listener net.Listener, start, block string) int {
	defer listener.Close()
	conn, err := listener.Accept()
	if err != nil {
		return 0
	}
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return 0
	}
	if _, err := io.WriteString(conn, start); err != nil {
		return 0
	}
	total := 0
	for total < endlessBytes {
		n, err := io.WriteString(conn, block)
		total += n
		if err != nil {
			break
		}
	}
	return total
}

// allocatedBytes returns the bytes that the process has allocated so far.
func allocatedBytes() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}
