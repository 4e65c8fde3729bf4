package fleetwatch

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/fleetpb"
)

// TestUpdateThatCannotBeAppliedEndsItsStream guards against entries that all end since one update makes
// them panic.
func TestUpdateThatCannotBeAppliedEndsItsStream(t *testing.T) {
	server := transport.NewServer(hclog.NewNullLogger())
	var streams atomic.Uint64
	server.Handle(transport.MethodFleetWatch, func(ctx context.Context, s *transport.Stream) error {
		if err := s.Recv(new(fleetpb.WatchRequest)); err != nil {
			return err
		}
		if err := s.Send(&fleetpb.Update{Routes: &fleetpb.Routes{Version: streams.Add(1)}}); err != nil {
			return err
		}
		<-ctx.Done()
		return nil
	})
	defer server.Close()
	pool := transport.NewPool(func(string) (net.Conn, error) {
		near, far := net.Pipe()
		server.ServeConn(far)
		return near, nil
	})
	defer pool.Close()
	applied := make(chan uint64, 1)
	watcher := NewWatcher(Options{
		Pool: pool, Logger: hclog.NewNullLogger(),
		Addresses:  func() []string { return []string{"host"} },
		NewRequest: func() *fleetpb.WatchRequest { return new(fleetpb.WatchRequest) },
		OnUpdate: func(_ string, update *fleetpb.Update) {
			if update.Routes.Version == 1 {
				panic("boom")
			}
			applied <- update.Routes.Version
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); watcher.Run(ctx) }()
	assert.Equal(t, <-applied, uint64(2))
	cancel()
	<-done
}
