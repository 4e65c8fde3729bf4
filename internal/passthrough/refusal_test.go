package passthrough

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestConnectionCarriesNoRequestThatWasRefusedOnIt guards against a late copy of a refusal that is
// read in place of the response to the same request. Other requests use the connection again.
func TestConnectionCarriesNoRequestThatWasRefusedOnIt(t *testing.T) {
	server := startRawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		defer c.Close()
		for req, _ := readRequest(r); req != nil; req, _ = readRequest(r) {
			fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		}
	})
	p, dials := newCountingPool(t)
	send := func(id string, refuse bool) *Exchange {
		e, err := p.Do(testContext(t), server, &Request{ID: id, Method: http.MethodGet, Target: "/", Host: "h"})
		assert.NilError(t, err)
		_, err = io.ReadAll(e.Body)
		assert.NilError(t, err)
		if refuse {
			e.MarkRefused()
		}
		e.Close(true)
		return e
	}
	assert.Equal(t, send("1", true).Connection, uint64(1))
	assert.Equal(t, send("2", true).Connection, uint64(1))
	again := send("1", true)
	assert.Equal(t, again.Connection, uint64(2))
	assert.Equal(t, again.Sequence, 1)
	assert.Equal(t, send("2", false).Connection, uint64(2))
	assert.Equal(t, send("1", true).Connection, uint64(3), "refused on both connections")
	assert.Equal(t, dials.Load(), int64(3))

	last := send("other", false).Connection
	for n := range maxRefusals {
		assert.Assert(t, send(fmt.Sprint("many ", n), true).Connection <= 3)
	}
	assert.Assert(t, send("after", false).Connection != last, "a connection with %d refusals is reused", maxRefusals)
}
