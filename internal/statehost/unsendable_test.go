package statehost

import (
	"context"
	"net"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/fleetpb"
)

// TestRecordThatCannotBeEncodedEndsNoUpdates guards against one record that keeps the routes and
// all other records from every watcher.
func TestRecordThatCannotBeEncodedEndsNoUpdates(t *testing.T) {
	host := &Host{log: hclog.NewNullLogger(), metrics: newMetrics(prometheus.NewRegistry())}
	update := &fleetpb.Update{
		Instances: []*fleetpb.Instance{{Id: "first"}, {Id: "\xff\xfe"}, {Id: "last"}},
		Crashes:   []*fleetpb.Crash{{Server: "\xff"}, {Server: "first"}},
		Routes:    &fleetpb.Routes{Version: 7},
		Quorum:    true,
	}
	server := transport.NewServer(hclog.NewNullLogger())
	server.Handle(transport.MethodFleetWatch, func(_ context.Context, s *transport.Stream) error {
		return (&watcher{host: host}).send(s, update)
	})
	t.Cleanup(server.Close)
	pool := transport.NewPool(func(string) (net.Conn, error) {
		near, far := net.Pipe()
		server.ServeConn(far)
		return near, nil
	})
	t.Cleanup(pool.Close)
	stream, err := pool.Open(t.Context(), "host", transport.MethodFleetWatch)
	assert.NilError(t, err)
	received := new(fleetpb.Update)
	assert.NilError(t, stream.Recv(received))
	var ids []string
	for _, instance := range received.Instances {
		ids = append(ids, instance.Id)
	}
	assert.DeepEqual(t, ids, []string{"first", "last"})
	assert.Equal(t, len(received.Crashes), 1)
	assert.Equal(t, received.Routes.GetVersion(), uint64(7))
	assert.Assert(t, received.Quorum)
}
