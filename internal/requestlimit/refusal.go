package requestlimit

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// refusalTimeout limits the time to write a refusal, and lingerTimeout the time in which a
	// client that still sends may read it: a connection that is closed with unread bytes is reset.
	refusalTimeout = 100 * time.Millisecond
	lingerTimeout  = 200 * time.Millisecond
	// maxLingerBytes limits what is read meanwhile, and maxLingering the connections that linger.
	maxLingerBytes = 64 << 10
	maxLingering   = 16
	retryAfterS    = 1
)

// statuses are the statuses of refusals. Requests that are refused have not run.
var statuses = map[reason]int{
	reasonHeadTooLarge: http.StatusRequestHeaderFieldsTooLarge,
	reasonMalformed:    http.StatusBadRequest,
	reasonCoding:       http.StatusNotImplemented,
	reasonBodyTooLarge: http.StatusRequestEntityTooLarge,
	reasonMemory:       http.StatusServiceUnavailable,
}

// refuse responds in place of the server, which waits for a request, and returns the error that ends
// the connection.
func (c *Conn) refuse(r reason) error {
	count(r)
	c.failure = c.wrap(ErrRefused)
	c.buf, c.ready = nil, 0
	c.blocks.recycle()
	c.release()
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	if _, err := c.Write(refusal(r)); err != nil {
		return c.failure
	}
	if err := c.CloseWrite(); err == nil {
		c.linger()
	}
	return c.failure
}

func refusal(r reason) []byte {
	status := statuses[r]
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = fmt.Sprintf("Retry-After: %d\r\n", retryAfterS)
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\n%sContent-Length: %d\r\nConnection: close\r\n\r\n%s\n",
		status, http.StatusText(status), retry, len(r)+1, r)
}

// linger discards what arrives until the client closes the connection, within limits.
func (c *Conn) linger() {
	if c.owner.lingering.Add(1) <= maxLingering {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		discard := blockPool.Get().(*[blockBytes]byte)
		defer blockPool.Put(discard)
		for left := maxLingerBytes; left > 0; {
			n, err := c.Conn.Read(discard[:])
			if err != nil {
				break
			}
			left -= n
		}
	}
	c.owner.lingering.Add(-1)
}
