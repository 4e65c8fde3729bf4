package fleetwatch

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/clock"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/fleetpb"
)

// TestUpdatesThatWaitedDuringAStandstillAreNotApplied guards against an entry that stood still and
// then takes the first of the updates that wait for it for the state of now.
func TestUpdatesThatWaitedDuringAStandstillAreNotApplied(t *testing.T) {
	var streams atomic.Uint64
	waiting := make(chan struct{})
	server := transport.NewServer(hclog.NewNullLogger())
	server.Handle(transport.MethodFleetWatch, func(ctx context.Context, s *transport.Stream) error {
		if err := s.Recv(new(fleetpb.WatchRequest)); err != nil {
			return err
		}
		stream := streams.Add(1)
		send := func(version uint64) error {
			return s.Send(&fleetpb.Update{Routes: &fleetpb.Routes{Version: 10*stream + version}})
		}
		if err := send(1); err != nil {
			return err
		}
		if stream == 1 {
			<-waiting
			if err := send(2); err != nil {
				return err
			}
		}
		<-ctx.Done()
		return nil
	})
	t.Cleanup(server.Close)
	pool := transport.NewPool(func(string) (net.Conn, error) {
		near, far := net.Pipe()
		server.ServeConn(far)
		return near, nil
	})
	t.Cleanup(pool.Close)

	applied := make(chan uint64, 4)
	watcher := NewWatcher(Options{
		Pool: pool, Logger: hclog.NewNullLogger(),
		Addresses:  func() []string { return []string{"host"} },
		NewRequest: func() *fleetpb.WatchRequest { return new(fleetpb.WatchRequest) },
		OnUpdate:   func(_ string, update *fleetpb.Update) { applied <- update.Routes.Version },
	})
	var stoodStill atomic.Int64
	watcher.bootTime = func() time.Duration { return clock.SinceBoot() + time.Duration(stoodStill.Load()) }
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); watcher.Run(ctx) }()
	assert.Equal(t, <-applied, uint64(11))
	stoodStill.Store(int64(2 * SilenceTimeout))
	close(waiting)
	assert.Equal(t, <-applied, uint64(21), "an update that was sent during the standstill was applied")
	cancel()
	<-done
}
