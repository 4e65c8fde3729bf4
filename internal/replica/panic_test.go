package replica_test

import (
	"context"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/internal/wal/waltest"
	"ibistray.example/ibistray/proto/raftpb"
)

// TestPanicOfAStateMachineStopsItsHost guards against a process that ends when a command cannot be
// applied. The host must stop without a further word and be as before when it is opened again.
func TestPanicOfAStateMachineStopsItsHost(t *testing.T) {
	failures := make(chan error, 3)
	reportFailure := func(opts *replica.Options) { opts.OnFailure = func(err error) { failures <- err } }
	runClusterWith(t, reportFailure, func(t *testing.T, c *cluster) {
		c.failure = replica.ErrPanic
		c.putMany("k", 20)
		address := c.leader(testGroup)
		n := c.nodes[address]
		n.machines[testGroup].panicAt("x")
		assert.ErrorIs(t, c.tryPut(address, testGroup, "x", "1"), replica.ErrUncertain)
		assert.ErrorIs(t, <-failures, replica.ErrPanic)
		<-n.host.Done()
		assert.ErrorIs(t, c.tryPut(address, testGroup, "x", "2"), replica.ErrStopped)
		c.put(testGroup, "y", "1", address)
		c.reopen(address)
		c.waitValue(address, "y", "1")
		c.waitValue(address, "x", "1")
		c.waitValue(address, "k-19", "value")
	})
}

// panickingTransport panics at each batch and each snapshot.
type panickingTransport struct{}

func (panickingTransport) Send(string, *raftpb.MessageBatch) { panic("boom") }

func (panickingTransport) SendSnapshot(context.Context, string, *raftpb.Message, io.Reader) error {
	panic("boom")
}

// TestPanicOfABackgroundTaskStopsItsHost guards against a process that ends since a message cannot be
// sent.
func TestPanicOfABackgroundTaskStopsItsHost(t *testing.T) {
	failures := make(chan error, 2)
	host, err := replica.NewHost(replica.Options{
		Dir: "/data", FS: waltest.New(), Address: "a", Transport: panickingTransport{}, TickInterval: tick,
		OnFailure: func(err error) { failures <- err },
	})
	assert.NilError(t, err)
	members := []*raftpb.Member{{Id: 1, Address: "a"}, {Id: 2, Address: "b"}}
	assert.NilError(t, host.AddGroup(testGroup, members, newKV()))
	assert.ErrorIs(t, <-failures, replica.ErrPanic)
	<-host.Done()
	assert.ErrorIs(t, host.Stop(t.Context()), replica.ErrPanic)
}

// unreadable is a state machine that panics when it restores a snapshot.
type unreadable struct{ *kv }

func (unreadable) Restore(io.Reader) error { panic("boom") }

// TestPanicWhileAHostIsOpenedIsAnError guards against a process that ends while it opens its replicas.
func TestPanicWhileAHostIsOpenedIsAnError(t *testing.T) {
	frequentSnapshots := func(opts *replica.Options) { opts.SnapshotEntries = 5 }
	runClusterWith(t, frequentSnapshots, func(t *testing.T, c *cluster) {
		c.putMany("k", 20)
		address := c.follower()
		n := c.nodes[address]
		c.eventually("snapshot", func() bool { return c.status(address, testGroup).SnapshotIndex > 0 })
		c.network.detach(address)
		c.stopNow(n)
		assert.NilError(t, c.open(address))
		assert.ErrorIs(t, n.host.AddGroup(testGroup, c.members, unreadable{newKV()}), replica.ErrPanic)
		c.network.detach(address)
		c.stopNow(n)
		c.start(address, testGroup)
		c.waitValue(address, "k-19", "value")
	})
}
