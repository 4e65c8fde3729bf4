package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/fleetpb"
)

var epoch = time.UnixMilli(1_700_000_000_000)

func heartbeat(id, address string, startUnixMs int64, sequence uint64, state fleetpb.State) *Instance {
	return &Instance{ID: id, Service: "chat", Address: address, StartUnixMs: startUnixMs, Sequence: sequence, State: state, LastHeartbeat: epoch}
}

const (
	ready    = fleetpb.State_STATE_READY
	draining = fleetpb.State_STATE_DRAINING
	gone     = fleetpb.State_STATE_GONE
)

func stateOf(t *testing.T, table *Table, id string) fleetpb.State {
	t.Helper()
	for _, i := range table.NewestByAddress(nil) {
		if i.ID == id {
			return i.State
		}
	}
	t.Fatalf("no instance %s", id)
	return 0
}

func TestOutdatedHeartbeatIsIgnored(t *testing.T) {
	table := NewTable()
	assert.Assert(t, table.Merge(heartbeat("a", "10.0.0.1:80", 1, 5, draining)))
	assert.Assert(t, !table.Merge(heartbeat("a", "10.0.0.1:80", 1, 4, ready)))
	assert.Equal(t, stateOf(t, table, "a"), draining)
}

func TestGoneInstanceStaysGone(t *testing.T) {
	table := NewTable()
	table.Merge(heartbeat("a", "10.0.0.1:80", 1, 5, ready))
	assert.Assert(t, table.MarkGone("a", 0, epoch))
	table.Merge(heartbeat("a", "10.0.0.1:80", 1, 7, ready))
	assert.Equal(t, stateOf(t, table, "a"), gone)
}

// TestDeregistrationBeforeFirstHeartbeatIsKept has an instance that leaves before a host has
// received a heartbeat of it; a delayed one arrives afterwards.
func TestDeregistrationBeforeFirstHeartbeatIsKept(t *testing.T) {
	for _, start := range []int64{0, 7} {
		table, other := NewTable(), NewTable()
		assert.Assert(t, !table.MarkGone("a", start, epoch))
		assert.Assert(t, !table.Merge(heartbeat("a", "10.0.0.1:80", start, 4, ready)))
		assert.Equal(t, stateOf(t, table, "a"), gone)

		// Another host knows the instance and receives the end from the first one.
		assert.Assert(t, other.Merge(heartbeat("a", "10.0.0.1:80", start, 4, ready)))
		changed, _ := table.ChangedSince(0, false)
		assert.Equal(t, len(changed), 1)
		assert.Assert(t, other.Merge(FromProto(ToProto(changed[0], epoch), epoch)))
		assert.Assert(t, !other.Merge(heartbeat("a", "10.0.0.1:80", start, 5, ready)))
		assert.Equal(t, stateOf(t, other, "a"), gone)
		assert.Equal(t, other.NewestByAddress(nil)[0].Address, "10.0.0.1:80")

		// A later start under the same ID is not affected.
		assert.Assert(t, other.Merge(heartbeat("a", "10.0.0.1:80", start+1, 1, ready)))
		assert.Equal(t, stateOf(t, other, "a"), ready)
	}
}

// TestDeregistrationOutranksHeartbeatsOfOtherHosts has a host that receives a deregistration
// while another one holds later heartbeats of the instance.
func TestDeregistrationOutranksHeartbeatsOfOtherHosts(t *testing.T) {
	for _, later := range []uint64{27, 28, 29} {
		table, other := NewTable(), NewTable()
		table.Merge(heartbeat("a", "10.0.0.1:80", 1, 27, ready))
		other.Merge(heartbeat("a", "10.0.0.1:80", 1, later, ready))
		assert.Assert(t, table.MarkGone("a", 0, epoch))
		changed, _ := table.ChangedSince(0, false)
		other.Merge(changed[0])
		table.Merge(heartbeat("a", "10.0.0.1:80", 1, later, ready))
		assert.Equal(t, stateOf(t, other, "a"), gone)
		assert.Equal(t, stateOf(t, table, "a"), gone)
	}
}

// TestDeregistrationOfUnknownStartIsKept has a restarted instance that leaves before a host
// has received a heartbeat of its new start.
func TestDeregistrationOfUnknownStartIsKept(t *testing.T) {
	table := NewTable()
	table.Merge(heartbeat("a", "10.0.0.1:80", 1, 9, ready))
	assert.Assert(t, !table.MarkGone("a", 2, epoch))
	assert.Assert(t, !table.Merge(heartbeat("a", "10.0.0.1:80", 2, 1, ready)))
	assert.Equal(t, stateOf(t, table, "a"), gone)
}

func TestRestartUnderSameIDReplacesInstance(t *testing.T) {
	table := NewTable()
	table.Merge(heartbeat("a", "10.0.0.1:80", 1, 50, draining))
	assert.Assert(t, table.Merge(heartbeat("a", "10.0.0.1:80", 2, 1, ready)))
	assert.Equal(t, stateOf(t, table, "a"), ready)
	// A delayed heartbeat and a delayed deregistration of the earlier instance are ignored.
	assert.Assert(t, !table.Merge(heartbeat("a", "10.0.0.1:80", 1, 51, draining)))
	table.MarkGone("a", 1, epoch)
	assert.Equal(t, stateOf(t, table, "a"), ready)
}

func TestNewestInstanceOwnsAddress(t *testing.T) {
	table := NewTable()
	table.Merge(heartbeat("new", "10.0.0.1:80", 2, 1, ready))
	// This heartbeat was delayed by a network partition; its sender has crashed since.
	table.Merge(heartbeat("old", "10.0.0.1:80", 1, 90, ready))
	all := table.NewestByAddress(nil)
	assert.Equal(t, len(all), 1)
	assert.Equal(t, all[0].ID, "new")
}

func TestChangedSinceIncludesReceivedHeartbeatsOnRequestOnly(t *testing.T) {
	table := NewTable()
	table.Merge(heartbeat("a", "10.0.0.1:80", 1, 1, ready))
	changed, revision := table.ChangedSince(0, false)
	assert.Equal(t, len(changed), 1)
	table.Receive(heartbeat("a", "10.0.0.1:80", 1, 2, ready))
	changed, _ = table.ChangedSince(revision, false)
	assert.Equal(t, len(changed), 0)
	changed, revision = table.ChangedSince(revision, true)
	assert.Equal(t, len(changed), 1)
	table.Merge(heartbeat("a", "10.0.0.1:80", 1, 3, ready))
	changed, _ = table.ChangedSince(revision, true)
	assert.Equal(t, len(changed), 0, "another host received it and sends it")
	table.Merge(heartbeat("a", "10.0.0.1:80", 1, 4, draining))
	for _, includeReceived := range []bool{false, true} {
		changed, _ = table.ChangedSince(revision, includeReceived)
		assert.Equal(t, len(changed), 1)
	}
}

func TestResendOffersLaterReportsOnly(t *testing.T) {
	table := NewTable()
	table.Merge(heartbeat("a", "10.0.0.1:80", 1, 5, ready))
	_, revision := table.ChangedSince(0, true)
	received := table.Changed(true)
	table.Resend(heartbeat("a", "10.0.0.1:80", 1, 5, ready))
	table.Resend(heartbeat("b", "10.0.0.2:80", 1, 5, ready))
	changed, _ := table.ChangedSince(revision, true)
	assert.Equal(t, len(changed), 0)
	table.Resend(heartbeat("a", "10.0.0.1:80", 1, 4, ready))
	<-received
	changed, _ = table.ChangedSince(revision, true)
	assert.Equal(t, len(changed), 1)
}

func TestMarkSilentReportsOnceAndHeartbeatClearsIt(t *testing.T) {
	table := NewTable()
	table.Merge(heartbeat("a", "10.0.0.1:80", 1, 1, ready))
	later := epoch.Add(10 * time.Second)
	assert.Equal(t, len(table.MarkSilent(later, 5*time.Second)), 1)
	assert.Equal(t, len(table.MarkSilent(later, 5*time.Second)), 0)
	assert.Assert(t, table.NewestByAddress(nil)[0].Silent)
	next := heartbeat("a", "10.0.0.1:80", 1, 2, ready)
	next.LastHeartbeat = later
	table.Merge(next)
	assert.Assert(t, !table.NewestByAddress(nil)[0].Silent)
}

func TestSweepRemovesExpiredInstances(t *testing.T) {
	table := NewTable()
	table.Merge(heartbeat("a", "10.0.0.1:80", 1, 1, ready))
	table.Sweep(epoch.Add(goneRetentionPeriod))
	assert.Equal(t, len(table.NewestByAddress(nil)), 1)
	table.Sweep(epoch.Add(goneRetentionPeriod + time.Second))
	assert.Equal(t, len(table.NewestByAddress(nil)), 0)
}

func TestValidateRejectsUnusableInstances(t *testing.T) {
	cases := map[string]*Instance{
		"no ID":       {Service: "chat", Address: "10.0.0.1:80"},
		"no service":  {ID: "a", Address: "10.0.0.1:80"},
		"no address":  {ID: "a", Service: "chat"},
		"host name":   {ID: "a", Service: "chat", Address: "server.example:80"},
		"no port":     {ID: "a", Service: "chat", Address: "10.0.0.1"},
		"wrong octet": {ID: "a", Service: "chat", Address: "10.0.0.256:80"},
	}
	for name, i := range cases {
		t.Run(name, func(t *testing.T) {
			assert.ErrorIs(t, i.Validate(), ErrInvalid)
		})
	}
}

func TestProtoRoundTripPreservesInstance(t *testing.T) {
	i := heartbeat("a", "10.0.0.1:80", 7, 9, draining)
	i.FailureDomain, i.Slots, i.Silent, i.Version = "hall", 32, true, "v1.1"
	i.ColdUntil = epoch.Add(time.Second)
	later := epoch.Add(300 * time.Millisecond)
	assert.DeepEqual(t, FromProto(ToProto(i, later), later), i)
}
