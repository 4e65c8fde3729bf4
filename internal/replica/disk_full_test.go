package replica_test

import (
	"fmt"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/internal/wal/waltest"
)

// reopenDelay is the pause of a process before it opens a full disk again.
const reopenDelay = 30 * tick

// reopen starts a host again whose disk was full, once there is room.
func (c *cluster) reopen(address string) {
	c.t.Helper()
	n := c.nodes[address]
	<-n.host.Done()
	n.endpoint.stopped.Store(true)
	c.network.detach(address)
	c.stopNow(n)
	c.eventually(address+" is open", func() bool {
		time.Sleep(reopenDelay)
		if c.open(address) != nil {
			return false
		}
		if c.addGroup(address, testGroup) == nil {
			return true
		}
		n.endpoint.stopped.Store(true)
		c.network.detach(address)
		c.stopNow(n)
		return false
	})
}

// TestUnrecordedSnapshotsDoNotFillTheDisk fills the disk of a host each time after it has
// stored a snapshot and before the log names it. Once there is room, the host must run on a
// disk that holds two snapshots and the log.
func TestUnrecordedSnapshotsDoNotFillTheDisk(t *testing.T) {
	const keys, valueBytes = 40, 1000
	const capacity = 3 * keys * valueBytes
	small := func(opts *replica.Options) {
		opts.SnapshotBytes = 10 * valueBytes
		opts.SegmentSize = 5 * valueBytes
		opts.MaxSegments = 2
	}
	value := strings.Repeat("v", valueBytes)
	runClusterWith(t, small, func(t *testing.T, c *cluster) {
		for i := range keys {
			c.put(testGroup, fmt.Sprint("k", i), value)
		}
		full := c.follower()
		fs := c.nodes[full].fs
		for round := range 4 {
			fs.SetFault(waltest.Fault{Capacity: capacity, FullAfterRename: ".snap"})
			for i := 0; c.nodes[full].host.Err() == nil; i++ {
				assert.Assert(t, i < 10*keys, "round %d: no snapshot", round)
				c.put(testGroup, fmt.Sprint("k", i%keys), value, full)
			}
			fs.SetFault(waltest.Fault{Capacity: capacity})
			c.reopen(full)
			c.put(testGroup, "round", fmt.Sprint(round), full)
			c.waitValue(full, "round", fmt.Sprint(round))
		}
		for i := range 4 * keys {
			c.put(testGroup, fmt.Sprint("k", i%keys), value, full)
		}
		c.put(testGroup, "last", "1", full)
		c.waitValue(full, "last", "1")
		assert.NilError(t, c.nodes[full].host.Err())
		assert.Assert(t, len(fs.Files(".snap")) <= 2, "%v", fs.Files(""))
	})
}

// TestPartsOfSnapshotsDoNotKeepTheDiskFull kills a host while it writes a snapshot, which
// fills the disk. The host must open its log again although nobody makes room.
func TestPartsOfSnapshotsDoNotKeepTheDiskFull(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		c.putMany("k", 5)
		full := c.follower()
		n := c.nodes[full]
		c.kill(full)
		used := n.fs.Used()
		file, err := n.fs.Create(filepath.Join("/data/snapshots", fmt.Sprintf("%016x-%016x.snap.1.tmp", testGroup, 99)))
		assert.NilError(t, err)
		_, err = file.Write(make([]byte, 1<<20))
		assert.NilError(t, err)
		n.fs.SetFault(waltest.Fault{Capacity: used + 1<<20})
		c.start(full, testGroup)
		c.put(testGroup, "x", "1", full)
		c.waitValue(full, "x", "1")
	})
}

// TestHostRunsWhileASnapshotDoesNotFit leaves room for the log of a host and none for its next
// snapshot, or allows no file of its size. The host must go on and take the snapshot when there is room.
func TestHostRunsWhileASnapshotDoesNotFit(t *testing.T) {
	for _, cause := range []error{syscall.ENOSPC, syscall.EFBIG} {
		t.Run(cause.Error(), func(t *testing.T) { runWithoutRoomForASnapshot(t, cause) })
	}
}

func runWithoutRoomForASnapshot(t *testing.T, cause error) {
	frequentSnapshots := func(opts *replica.Options) { opts.SnapshotEntries = 5; opts.SegmentSize = 500 }
	runClusterWith(t, frequentSnapshots, func(t *testing.T, c *cluster) {
		c.putMany("before", 20)
		full := c.follower()
		fs := c.nodes[full].fs
		fs.SetFault(waltest.Fault{NoSpaceFor: ".tmp", Err: cause})
		before := c.status(full, testGroup).SnapshotIndex
		c.putMany("full", 100)
		c.waitValue(full, "full-99", "value")
		assert.NilError(t, c.nodes[full].host.Err())
		assert.Equal(t, c.status(full, testGroup).SnapshotIndex, before)
		segments := len(fs.Files(".wal"))
		fs.SetFault(waltest.Fault{})
		c.eventually("snapshot", func() bool {
			c.put(testGroup, "after", "1")
			return c.status(full, testGroup).SnapshotIndex > before && len(fs.Files(".wal")) < segments
		})
		assert.Equal(t, len(fs.Files(".tmp")), 0)
	})
}

// TestReplicaIsReplacedWhileFilesCannotBeRemoved removes a group on a disk whose files cannot be
// removed for a moment. The host must be able to add the group again.
func TestReplicaIsReplacedWhileFilesCannotBeRemoved(t *testing.T) {
	frequentSnapshots := func(opts *replica.Options) { opts.SnapshotEntries = 5 }
	runClusterWith(t, frequentSnapshots, func(t *testing.T, c *cluster) {
		c.putMany("k", 20)
		address := c.follower()
		oldID := c.memberID(address)
		n := c.nodes[address]
		c.eventually("snapshot", func() bool { return c.status(address, testGroup).SnapshotIndex > 0 })
		host := c.nodes[c.leader(testGroup)].host
		assert.NilError(t, host.RemoveMember(t.Context(), testGroup, oldID))
		n.fs.SetFault(waltest.Fault{Full: waltest.OpRemove})
		assert.NilError(t, n.host.RemoveGroup(testGroup))
		n.joins = true
		assert.NilError(t, c.addGroup(address, testGroup))
		n.fs.SetFault(waltest.Fault{})
		member := c.newMember(address)
		assert.NilError(t, host.AddLearner(t.Context(), testGroup, member))
		c.waitValue(address, "k-19", "value")
	})
}

// TestHostStopsIfItsStateDoesNotFitTheDisk guards against a snapshot that is taken after an fsync of
// the state machine has failed: another fsync may succeed without writing what the first one lost.
func TestHostStopsIfItsStateDoesNotFitTheDisk(t *testing.T) {
	frequentSnapshots := func(opts *replica.Options) { opts.SnapshotEntries = 5 }
	runClusterWith(t, frequentSnapshots, func(t *testing.T, c *cluster) {
		c.putMany("before", 20)
		full := c.follower()
		n := c.nodes[full]
		n.machines[testGroup].failNextSnapshot(fmt.Errorf("sync bodies: %w", syscall.ENOSPC))
		c.eventually("the host stops", func() bool {
			c.put(testGroup, "x", "1", full)
			return n.host.Err() != nil
		})
		assert.ErrorIs(t, n.host.Err(), syscall.ENOSPC)
		c.reopen(full)
		c.put(testGroup, "after", "1", full)
		c.waitValue(full, "after", "1")
	})
}
