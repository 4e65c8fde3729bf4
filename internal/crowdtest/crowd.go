package crowdtest

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// reconnectPause is the pause of a client before it connects again.
	reconnectPause = 50 * time.Millisecond
	dialTimeout    = time.Second
	responseWait   = 2 * time.Second
	blockBytes     = 16 << 10
)

// Play has n clients of a kind connect to an address, again after the server closes their
// connection, until ctx ends. It returns once all of them have closed their connections.
func Play(ctx context.Context, address string, kind Kind, n int) {
	var block string
	if kind.Repeat != "" {
		block = strings.Repeat(kind.Repeat, max(1, blockBytes/len(kind.Repeat)))
	}
	var clients sync.WaitGroup
	for range n {
		clients.Go(func() {
			for ctx.Err() == nil {
				connect(ctx, address, kind, block)
				pause(ctx, reconnectPause)
			}
		})
	}
	clients.Wait()
}

// connect plays one connection until the server closes it or ctx ends.
func connect(ctx context.Context, address string, kind Kind, block string) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if _, err := io.WriteString(conn, kind.Opening); err != nil {
		return
	}
	if kind.Ended {
		_ = conn.SetReadDeadline(time.Now().Add(responseWait))
		_, _ = bufio.NewReader(conn).ReadByte()
		return
	}
	for block != "" {
		if _, err := io.WriteString(conn, block); err != nil {
			return
		}
	}
	awaitClose(conn)
}

// awaitClose reads until the connection ends.
func awaitClose(conn net.Conn) {
	_, _ = io.Copy(io.Discard, conn)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
