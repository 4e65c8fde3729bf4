package ctl

import (
	"io"
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestEndlessResponsesOfAnEntryAreCutOff has an entry that sends bytes without end. The tool must
// close the connection and report an error.
func TestEndlessResponsesOfAnEntryAreCutOff(t *testing.T) {
	const maxSent = 256 << 20
	for name, start := range map[string]string{
		"header": "HTTP/1.1 200 OK\r\nX-Filler: ", "body": "HTTP/1.1 200 OK\r\n\r\n", "chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 1099511627776\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer listener.Close()
			sent := make(chan int, 1)
			part := strings.Repeat("x", 4096)
			if name == "chunks" {
				part = "1000\r\n" + part + "\r\n"
			}
			go func() { sent <- sendEndlessly(listener, start, part, maxSent) }()
			client, err := NewClient([]string{"http://" + listener.Addr().String()}, "key")
			assert.NilError(t, err)
			_, err = client.Servers(t.Context())
			assert.ErrorIs(t, err, ErrUnreachable)
			assert.Assert(t, <-sent < maxSent, "the response was read without end")
		})
	}
}

// sendEndlessly sends start and then parts on one connection until it is closed or maxSent bytes
// were sent, and returns how many were.
func sendEndlessly(listener net.Listener, start, part string, maxSent int) int {
	conn, err := listener.Accept()
	if err != nil {
		return 0
	}
	defer conn.Close()
	total := 0
	for text := start; total < maxSent; text = part {
		n, err := io.WriteString(conn, text)
		total += n
		if err != nil {
			break
		}
	}
	return total
}
