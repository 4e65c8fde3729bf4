package replica_test

import (
	"bytes"
	"context"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/internal/wal/waltest"
	"ibistray.example/ibistray/proto/raftpb"
)

// TestReceivedSnapshotIsChecked sends truncated and corrupt snapshots, and snapshots of
// another replica, to a host, which must reject them and continue.
func TestReceivedSnapshotIsChecked(t *testing.T) {
	frequentSnapshots := func(opts *replica.Options) { opts.SnapshotEntries = 5 }
	runClusterWith(t, frequentSnapshots, func(t *testing.T, c *cluster) {
		c.putMany("k", 20)
		source := c.follower()
		c.eventually("snapshot", func() bool { return c.status(source, testGroup).SnapshotIndex > 0 })
		content := c.readFile(source, c.nodes[source].fs.Files(".snap")[0])
		status := c.status(source, testGroup)
		message := &raftpb.Message{
			Kind:     raftpb.MessageKind_MESSAGE_KIND_SNAPSHOT,
			Group:    testGroup,
			To:       status.ID,
			Snapshot: &raftpb.SnapshotMeta{Index: status.SnapshotIndex + 1000, Term: status.Term},
		}
		host := c.nodes[source].host
		receive := func(data []byte) error {
			return host.ReceiveSnapshot(t.Context(), message, bytes.NewReader(data))
		}
		for length := 0; length < len(content); length += 11 {
			assert.ErrorIs(t, receive(content[:length]), replica.ErrInvalidSnapshot)
		}
		for offset := 0; offset < len(content); offset += 7 {
			damaged := bytes.Clone(content)
			damaged[offset] ^= 1
			assert.ErrorIs(t, receive(damaged), replica.ErrInvalidSnapshot)
		}
		assert.Equal(t, len(c.nodes[source].fs.Files(".tmp")), 0)

		message.To = 99
		assert.ErrorIs(t, receive(content), replica.ErrRefused)
		message.Group = 99
		assert.ErrorIs(t, receive(content), replica.ErrUnknownGroup)
		assert.NilError(t, host.Err())
	})
}

// TestFullDiskStopsHost fills the disk of a host. The host must stop, the others must
// continue, and after a restart the host must catch up.
func TestFullDiskStopsHost(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		c.putMany("k", 5)
		full := c.follower()
		c.nodes[full].fs.SetFault(waltest.Fault{NoSpace: true})
		c.put(testGroup, "x", "1", full)
		<-c.nodes[full].host.Done()
		assert.ErrorIs(t, c.nodes[full].host.Err(), waltest.ErrNoSpace)
		c.kill(full)
		c.start(full, testGroup)
		c.waitValue(full, "x", "1")
	})
}

// TestRemoveGroupDuringBootstrap removes an initial member that still waits for the
// others. When its group is added again, it must have another ID.
func TestRemoveGroupDuringBootstrap(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		const group = 5
		assert.NilError(t, c.addGroup("a", group))
		host := c.nodes["a"].host
		assert.NilError(t, host.RemoveGroup(group))
		for _, address := range []string{"b", "c"} {
			assert.NilError(t, c.addGroup(address, group))
		}
		assert.NilError(t, c.addGroup("a", group))
		id, err := host.ReplicaID(group)
		assert.NilError(t, err)
		assert.Assert(t, id != c.members[0].GetId())
		_, err = host.Propose(t.Context(), group, []byte("x=1"))
		assert.ErrorIs(t, err, replica.ErrNotLeader)
	})
}

// TestRequestsEndWithContext proposes without a quorum. The proposal must end with its
// context, with an unknown outcome.
func TestRequestsEndWithContext(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		leader := c.leader(testGroup)
		c.network.isolate(leader, c.addresses(), true, true)
		ctx, cancel := context.WithTimeout(t.Context(), tick)
		defer cancel()
		_, err := c.nodes[leader].host.Propose(ctx, testGroup, []byte("x=1"))
		assert.ErrorIs(t, err, replica.ErrUncertain)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		_, err = c.nodes[leader].host.Propose(ctx, testGroup, []byte("x=1"))
		assert.Assert(t, err != nil)
	})
}

func (c *cluster) readFile(address, name string) []byte {
	c.t.Helper()
	file, err := c.nodes[address].fs.Open(name)
	assert.NilError(c.t, err)
	defer file.Close()
	content, err := io.ReadAll(file)
	assert.NilError(c.t, err)
	return content
}
