package fleetwatch

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/fleetpb"
)

// TestWatcherEndsBetweenTwoUpdates guards against a watcher that ends only with the next update,
// which delayed the end of a process up to the moment at which it was killed.
func TestWatcherEndsBetweenTwoUpdates(t *testing.T) {
	server := transport.NewServer(hclog.NewNullLogger())
	ended := make(chan struct{})
	server.Handle(transport.MethodFleetWatch, func(_ context.Context, s *transport.Stream) error {
		if err := s.Recv(new(fleetpb.WatchRequest)); err != nil {
			return err
		}
		if err := s.Send(new(fleetpb.Update)); err != nil {
			return err
		}
		<-ended
		return nil
	})
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(ended) })
	pool := transport.NewPool(func(string) (net.Conn, error) {
		near, far := net.Pipe()
		server.ServeConn(far)
		return near, nil
	})
	t.Cleanup(pool.Close)
	updates := make(chan struct{}, 1)
	watcher := NewWatcher(Options{
		Pool: pool, Logger: hclog.NewNullLogger(),
		Addresses:  func() []string { return []string{"host"} },
		NewRequest: func() *fleetpb.WatchRequest { return new(fleetpb.WatchRequest) },
		OnUpdate:   func(string, *fleetpb.Update) { updates <- struct{}{} },
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); watcher.Run(ctx) }()
	<-updates
	cancel()
	select {
	case <-done:
	case <-time.After(SilenceTimeout / 2):
		t.Fatal("the watcher waits for the next update")
	}
}
