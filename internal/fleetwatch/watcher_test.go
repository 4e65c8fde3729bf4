package fleetwatch

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/fleetpb"
)

// TestOutOfReachHostIsTriedLessOftenAfterAWhile counts the connection attempts to a host
// that refuses them: often during a restart, rarely once it may be gone for good.
func TestOutOfReachHostIsTriedLessOftenAfterAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var dials atomic.Int32
		pool := transport.NewPool(func(string) (net.Conn, error) {
			dials.Add(1)
			return nil, errors.New("connection refused")
		})
		defer pool.Close()
		watcher := NewWatcher(Options{
			Pool: pool, Logger: hclog.NewNullLogger(),
			Addresses:  func() []string { return []string{"gone"} },
			NewRequest: func() *fleetpb.WatchRequest { return new(fleetpb.WatchRequest) },
			OnUpdate:   func(string, *fleetpb.Update) {},
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); watcher.Run(ctx) }()
		time.Sleep(time.Second)
		first := dials.Load()
		time.Sleep(longOutage)
		before := dials.Load()
		time.Sleep(10 * longOutageDelay)
		later := dials.Load() - before
		cancel()
		<-done
		assert.Assert(t, first >= 15, "%d attempts in the first second", first)
		assert.Assert(t, later <= 11, "%d attempts in ten seconds after a long outage", later)
	})
}
