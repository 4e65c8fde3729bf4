package transport

import (
	"context"
	"net"
	"time"

	"ibistray.example/ibistray/internal/panics"
	"ibistray.example/ibistray/internal/tcp"
)

// DialFunc opens a connection to the process at an address.
type DialFunc func(address string) (net.Conn, error)

const (
	dialTimeout = 2 * time.Second
	// dialInterval is the time after which another attempt starts while the earlier ones
	// have no answer.
	dialInterval = 75 * time.Millisecond
)

// DialTCP is a DialFunc for plain TCP with a timeout of dialTimeout.
func DialTCP(address string) (net.Conn, error) {
	dialer := tcp.Dialer()
	dialer.Timeout = dialTimeout
	return dialer.Dial("tcp", address)
}

// DialTCPTimeout returns a DialFunc for plain TCP with a timeout. A host that is down
// drops the SYN, which TCP retransmits only after a second. Therefore further attempts
// start every dialInterval, so that a host is reached soon after it is up. The first
// answer counts, also a refusal.
func DialTCPTimeout(timeout time.Duration) DialFunc {
	return func(address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		return firstAnswer(ctx, func(ctx context.Context) (net.Conn, error) {
			return tcp.Dialer().DialContext(ctx, "tcp", address)
		})
	}
}

// dialResult is the result of one attempt.
type dialResult struct {
	conn net.Conn
	err  error
}

// firstAnswer starts an attempt each dialInterval until one of them has a result, and
// returns it. The other attempts are cancelled, and connections that they open
// nevertheless are closed.
func firstAnswer(ctx context.Context, dial func(context.Context) (net.Conn, error)) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan dialResult)
	attempt := func() {
		var conn net.Conn
		var err error
		if panicked := panics.Contain(nil, "dial", func() { conn, err = dial(ctx) }); panicked != nil {
			err = panicked
		}
		select {
		case results <- dialResult{conn, err}:
		case <-ctx.Done():
			if conn != nil {
				conn.Close()
			}
		}
	}
	ticker := time.NewTicker(dialInterval)
	defer ticker.Stop()
	go attempt()
	for {
		select {
		case r := <-results:
			return r.conn, r.err
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-ticker.C:
			go attempt()
		}
	}
}
