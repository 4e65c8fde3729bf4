package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// longestStandstill measures, until stop is called, for how long the process of the test got no processor.
func longestStandstill() (stop func() time.Duration) {
	done, longest := make(chan struct{}), make(chan time.Duration)
	go func() {
		worst, last := time.Duration(0), time.Now()
		for {
			select {
			case <-done:
				longest <- worst
				return
			case <-time.After(time.Millisecond):
			}
			now := time.Now()
			worst, last = max(worst, now.Sub(last)), now
		}
	}()
	return func() time.Duration {
		close(done)
		return <-longest
	}
}

// TestSlowReaderKeepsItsStream has a client that reads slower than the server sends, but takes something
// within each timeout. It guards against a timeout that ends the stream since the kernel does not show what the
// client takes. A stream that ends is none of the entry's doing if the process stood still meanwhile: it is
// read again then.
func TestSlowReaderKeepsItsStream(t *testing.T) {
	t.Parallel()
	const unreadTimeout, attempts = time.Second, 6
	for attempt := 1; ; attempt++ {
		stop := longestStandstill()
		n, err := readSlowly(t, unreadTimeout)
		standstill := stop()
		if err == nil {
			return
		}
		t.Logf("attempt %d: %d events, %v, the process stood still for %s", attempt, n, err, standstill)
		assert.Assert(t, standstill > unreadTimeout/2 && attempt < attempts, "the stream has ended")
	}
}

// readSlowly reads 16 KB every 10 ms of a stream that its server sends at once. It returns how many
// events it has read.
func readSlowly(t *testing.T, unreadTimeout time.Duration) (int, error) {
	const events, pause = 1000, 10 * time.Millisecond
	data := strings.Repeat("x", 16<<10)
	f := newFixture(t, newBackend(t, "a", func(w http.ResponseWriter, _ *http.Request, _ string) {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; i <= events; i++ {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, data)
		}
	}))
	f.limitMemory(1<<20, unreadTimeout)
	for _, route := range f.view.routes.Load().Routes {
		route.Timeout = time.Minute
	}
	front := httptest.NewUnstartedServer(f.Gateway)
	front.Config.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		LimitUnsent(conn)
		return ctx
	}
	front.Start()
	defer front.Close()
	conn, err := net.Dial("tcp", front.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = fmt.Fprint(conn, "POST /feed/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: 2\r\n\r\nin")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, 64<<10), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	n := 0
	for reader := bufio.NewReader(resp.Body); n < events; {
		line, err := reader.ReadString('\n')
		if err != nil {
			return n, err
		}
		if strings.HasPrefix(line, "id: ") {
			n++
			time.Sleep(pause)
		}
	}
	return n, nil
}
