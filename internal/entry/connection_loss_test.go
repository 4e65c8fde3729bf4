package entry

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/rpcpb"
	"ibistray.example/ibistray/proto/shardpb"
)

// lateContext has a deadline that has passed, but has not ended yet: timers fire late.
type lateContext struct {
	context.Context
}

func (lateContext) Deadline() (time.Time, bool) { return time.Now().Add(-time.Millisecond), true }

// startEchoSidecar starts a sidecar that answers each message on a run with an event, and
// returns its address.
func startEchoSidecar(t *testing.T) string {
	t.Helper()
	server := transport.NewServer(hclog.NewNullLogger())
	server.Handle(transport.MethodRun, func(_ context.Context, s *transport.Stream) error {
		for {
			if err := s.Recv(new(rpcpb.RunRequest)); err != nil {
				return err
			}
			if err := s.Send(new(rpcpb.RunEvent)); err != nil {
				return err
			}
		}
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		server.Close()
		assert.NilError(t, <-served)
	})
	return listener.Addr().String()
}

// TestDeadlineOfOneCallKeepsStreamsOfOthers has two calls on one sidecar. The stream of the
// first one reaches the call's deadline just before the call's context ends.
func TestDeadlineOfOneCallKeepsStreamsOfOthers(t *testing.T) {
	address := startEchoSidecar(t)
	pool := transport.NewPool(transport.DialTCP)
	t.Cleanup(pool.Close)
	other, err := pool.Open(t.Context(), address, transport.MethodRun)
	assert.NilError(t, err)

	e := New(Config{Control: []string{address}}, hclog.NewNullLogger(), telemetry.NewMetrics(), pool, nil, nil)
	c := &call{
		entry: e, log: hclog.NewNullLogger(), attempt: 1,
		req:    &Request{Deadline: time.Now()},
		record: &shardpb.BeginResult{},
		target: &shardpb.Target{Sidecar: address},
	}
	c.stream, err = pool.Open(t.Context(), address, transport.MethodRun)
	assert.NilError(t, err)
	trigger := c.handleConnectionLoss(lateContext{t.Context()}, errors.New("the stream reached its deadline"))
	assert.Check(t, trigger == triggerGiveUp, "trigger %v", trigger)
	assert.Check(t, c.failure != nil && !c.failure.NotRun, "failure %v", c.failure)

	assert.NilError(t, other.Send(new(rpcpb.RunRequest)))
	assert.NilError(t, other.Recv(new(rpcpb.RunEvent)))
}
