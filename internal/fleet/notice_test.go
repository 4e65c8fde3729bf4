package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func limitAt(at time.Duration, named bool, rate float64) *Limit {
	return &Limit{Named: named, RequestsPerSecond: rate, ReceivedAt: at, Source: "entry"}
}

func noticeOf(i *Instance, limit *Limit) Notice {
	return Notice{ID: i.ID, Address: i.Address, StartUnixMs: i.StartUnixMs, Limit: limit, Source: "entry"}
}

func find(t *testing.T, table *Table, id string) *Instance {
	t.Helper()
	for _, i := range table.NewestByAddress(nil) {
		if i.ID == id {
			return i
		}
	}
	t.Fatalf("no instance %s", id)
	return nil
}

func TestLimitOutlivesHeartbeatsOfTheSameStart(t *testing.T) {
	table := NewTable()
	a := heartbeat("a", "10.0.0.1:80", 1, 5, ready)
	table.Merge(a)
	_, changed := table.Note(noticeOf(a, limitAt(time.Second, true, 4)), epoch)
	assert.Assert(t, changed)
	table.Receive(heartbeat("a", "10.0.0.1:80", 1, 6, ready))
	assert.Assert(t, find(t, table, "a").Limited())

	table.Merge(heartbeat("a", "10.0.0.1:80", 2, 1, ready))
	assert.Assert(t, !find(t, table, "a").Limited(), "the limit of an earlier start")
	server, _ := table.Note(noticeOf(a, limitAt(2*time.Second, true, 4)), epoch)
	assert.Assert(t, server == nil, "a notice of an earlier start")
}

func TestLaterLimitReplacesEarlier(t *testing.T) {
	table := NewTable()
	a := heartbeat("a", "10.0.0.1:80", 1, 5, ready)
	table.Merge(a)
	table.Note(noticeOf(a, limitAt(2*time.Second, false, 0)), epoch)
	_, changed := table.Note(noticeOf(a, limitAt(time.Second, true, 4)), epoch)
	assert.Assert(t, !changed, "a delayed limit after it was withdrawn")
	assert.Assert(t, !find(t, table, "a").Limited())
	_, changed = table.Note(noticeOf(a, limitAt(3*time.Second, true, 2)), epoch)
	assert.Assert(t, changed)
	_, changed = table.Note(noticeOf(a, limitAt(4*time.Second, true, 2)), epoch)
	assert.Assert(t, !changed, "the same limit again")
}

// TestLimitReachesOtherTables has a host that learns of a limit from an entry, one that
// received a later heartbeat, and an entry.
func TestLimitReachesOtherTables(t *testing.T) {
	receiver, other, entry := NewTable(), NewTable(), NewTable()
	a := heartbeat("a", "10.0.0.1:80", 1, 5, ready)
	for _, table := range []*Table{receiver, other, entry} {
		table.Merge(a)
	}
	_, known := receiver.ChangedSince(0, true)
	other.Receive(heartbeat("a", "10.0.0.1:80", 1, 6, ready))
	receiver.Note(noticeOf(a, limitAt(time.Second, true, 4)), epoch)
	list, _ := receiver.ChangedSince(known, true)
	assert.Equal(t, len(list), 1)
	sent := FromProto(ToProto(list[0], epoch), epoch)
	assert.Assert(t, other.Merge(sent))
	assert.Assert(t, entry.Merge(sent))
	for _, table := range []*Table{other, entry} {
		assert.Equal(t, find(t, table, "a").Limit.RequestsPerSecond, 4.0)
	}
	assert.Equal(t, find(t, other, "a").Sequence, uint64(6))
}

// TestServerThatSaidItLeavesStaysDraining has ready heartbeats of the same start, from the same
// and from other hosts, before and after its record would expire.
func TestServerThatSaidItLeavesStaysDraining(t *testing.T) {
	table, other := NewTable(), NewTable()
	a := heartbeat("a", "10.0.0.1:80", 1, 5, ready)
	table.Merge(a)
	other.Merge(a)
	n := noticeOf(a, nil)
	n.Leaving = true
	_, changed := table.Note(n, epoch)
	assert.Assert(t, changed)
	table.Receive(heartbeat("a", "10.0.0.1:80", 1, 6, ready))
	assert.Equal(t, stateOf(t, table, "a"), draining)

	assert.Assert(t, other.Merge(FromProto(ToProto(find(t, table, "a"), epoch), epoch)))
	other.Receive(heartbeat("a", "10.0.0.1:80", 1, 9, ready))
	assert.Equal(t, stateOf(t, other, "a"), draining)

	table.Sweep(epoch.Add(2 * goneRetentionPeriod))
	table.Receive(heartbeat("a", "10.0.0.1:80", 1, 7, ready))
	assert.Equal(t, stateOf(t, table, "a"), draining)
	table.Receive(heartbeat("a", "10.0.0.1:80", 2, 1, ready))
	assert.Equal(t, stateOf(t, table, "a"), ready)
}

// TestLeavingOfUnknownServerIsKept has a host that hears that a server leaves before its first
// heartbeat.
func TestLeavingOfUnknownServerIsKept(t *testing.T) {
	table := NewTable()
	a := heartbeat("a", "10.0.0.1:80", 1, 5, ready)
	n := noticeOf(a, nil)
	n.Leaving = true
	table.Note(n, epoch)
	table.Receive(a)
	assert.Equal(t, stateOf(t, table, "a"), draining)
}
