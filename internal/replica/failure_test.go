package replica_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/internal/wal"
	"ibistray.example/ibistray/internal/wal/waltest"
	"ibistray.example/ibistray/proto/raftpb"
)

// TestKilledLeaderLosesNothing kills the leader right after each acknowledgement,
// with all data that it had not synced.
func TestKilledLeaderLosesNothing(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		for _, key := range []string{"one", "two", "three"} {
			leader := c.leader(testGroup)
			assert.NilError(t, c.tryPut(leader, testGroup, key, "1"))
			c.kill(leader)
			next := c.leader(testGroup)
			assert.Equal(t, c.nodes[next].machines[testGroup].get(key), "1")
			c.start(leader, testGroup)
			c.waitValue(leader, key, "1")
		}
	})
}

// TestPowerFailureOfAllHosts loses the unsynced data of all hosts at the moment of
// an acknowledgement. Slow disks make an early acknowledgement show.
func TestPowerFailureOfAllHosts(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		for _, key := range []string{"one", "two", "three"} {
			leader := c.leader(testGroup)
			for _, n := range c.nodes {
				n.fs.SetFault(waltest.Fault{SyncDelay: 5 * linkDelay})
			}
			assert.NilError(t, c.tryPut(leader, testGroup, key, "1"))
			c.killAll()
			for _, address := range c.addresses() {
				c.start(address, testGroup)
			}
			next := c.leader(testGroup)
			assert.Equal(t, c.nodes[next].machines[testGroup].get(key), "1")
		}
	})
}

// TestFailedSyncStopsHost lets the disk of the leader fail: nothing is
// acknowledged there any more, and the others go on.
func TestFailedSyncStopsHost(t *testing.T) {
	failures := make(chan error, 3)
	report := func(opts *replica.Options) { opts.OnFailure = func(err error) { failures <- err } }
	runClusterWith(t, report, func(t *testing.T, c *cluster) {
		leader := c.leader(testGroup)
		n := c.nodes[leader]
		n.fs.SetFault(waltest.Fault{FailSync: true})
		err := c.tryPut(leader, testGroup, "x", "1")
		assert.ErrorIs(t, err, replica.ErrUncertain)
		<-n.host.Done()
		assert.ErrorIs(t, n.host.Err(), replica.ErrStorage)
		assert.ErrorIs(t, <-failures, wal.ErrFailed)
		assert.ErrorIs(t, c.tryPut(leader, testGroup, "x", "2"), replica.ErrStopped)
		n.fs.SetFault(waltest.Fault{})
		c.put(testGroup, "y", "1", leader)
	})
}

// TestBitFlipIsRefusedAndReplicaRebuilt damages acknowledged data of a host.
func TestBitFlipIsRefusedAndReplicaRebuilt(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		c.putMany("k", 10)
		broken := c.follower()
		oldID := c.status(broken, testGroup).ID
		c.kill(broken)
		names := c.nodes[broken].fs.Files(".wal")
		c.nodes[broken].fs.ModifyFile(names[0], func(data []byte) []byte {
			data[len(data)/2] ^= 4
			return data
		})
		err := c.open(broken)
		assert.ErrorIs(t, err, replica.ErrStorage)
		assert.ErrorIs(t, err, wal.ErrCorrupt)

		c.addNode(broken, testGroup)
		c.replace(oldID, broken)
		c.waitValue(broken, "k-9", "value")
	})
}

// TestDamagedSnapshotIsRefused flips a bit of a snapshot file.
func TestDamagedSnapshotIsRefused(t *testing.T) {
	few := func(opts *replica.Options) { opts.SnapshotEntries = 5 }
	runClusterWith(t, few, func(t *testing.T, c *cluster) {
		c.putMany("k", 20)
		address := c.follower()
		c.eventually("snapshot", func() bool { return c.status(address, testGroup).SnapshotIndex > 0 })
		c.kill(address)
		fs := c.nodes[address].fs
		for _, name := range fs.Files(".snap") {
			fs.ModifyFile(name, func(data []byte) []byte {
				data[len(data)/2] ^= 1
				return data
			})
		}
		assert.NilError(t, c.open(address))
		err := c.addGroup(address, testGroup)
		assert.ErrorIs(t, err, replica.ErrStorage)
		assert.ErrorIs(t, err, replica.ErrSnapshotDamaged)
	})
}

func TestDataFolderIsLocked(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		err := c.open("a")
		assert.ErrorIs(t, err, replica.ErrStorage)
		assert.ErrorIs(t, err, wal.ErrLocked)
	})
}

// TestLeaderThatCannotReceive cuts all links towards the leader: its messages
// still arrive, so only its own check of the quorum can end its leadership.
func TestLeaderThatCannotReceive(t *testing.T) {
	testOneWayCut(t, false, true)
}

// TestLeaderThatCannotSend cuts all links from the leader.
func TestLeaderThatCannotSend(t *testing.T) {
	testOneWayCut(t, true, false)
}

func testOneWayCut(t *testing.T, out, in bool) {
	t.Helper()
	runCluster(t, func(t *testing.T, c *cluster) {
		old := c.leader(testGroup)
		c.put(testGroup, "x", "1")
		c.network.isolate(old, c.addresses(), out, in)
		err := c.tryPut(old, testGroup, "x", "lost")
		assert.Assert(t, err != nil)
		assert.Assert(t, errors.Is(err, replica.ErrUncertain) || errors.Is(err, replica.ErrNotLeader), "%v", err)

		next := c.leader(testGroup, old)
		assert.NilError(t, c.tryPut(next, testGroup, "x", "2"))
		assert.Assert(t, !c.confirmed(c.nodes[old], testGroup), "the old leader confirms a read")

		c.network.isolate(old, c.addresses(), false, false)
		c.waitValue(old, "x", "2")
	})
}

// TestIdleGroupNoticesSilentLeader cuts the leader of an idle group off, in each
// direction: the group sends no messages, so the hosts have to notice.
func TestIdleGroupNoticesSilentLeader(t *testing.T) {
	for _, cut := range []struct {
		name    string
		out, in bool
	}{{"out", true, false}, {"in", false, true}, {"both", true, true}} {
		t.Run(cut.name, func(t *testing.T) {
			runCluster(t, func(t *testing.T, c *cluster) {
				old := c.leader(testGroup)
				c.waitQuiesced(testGroup)
				c.network.isolate(old, c.addresses(), cut.out, cut.in)
				c.eventually("another leader", func() bool { return c.tryLeader(testGroup, []string{old}) != "" })
				c.put(testGroup, "x", "1", old)
			})
		})
	}
}

// TestIdleGroupNoticesRestartOfLeader restarts the leader of an idle group
// faster than the other hosts suspect it.
func TestIdleGroupNoticesRestartOfLeader(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		old := c.leader(testGroup)
		c.waitQuiesced(testGroup)
		c.kill(old)
		c.start(old, testGroup)
		c.put(testGroup, "x", "1")
	})
}

// TestIdleGroupNoticesLeaderWithoutReplica restarts the host of the leader of an
// idle group, which answers heartbeats but does not run the group any more.
func TestIdleGroupNoticesLeaderWithoutReplica(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		c.addGroups(2)
		old := c.leader(testGroup)
		c.waitQuiesced(testGroup)
		c.kill(old)
		c.start(old, 2)
		c.put(testGroup, "x", "1", old)
	})
}

// TestReadWaitsForStateMachine elects a leader whose state machine is behind.
func TestReadWaitsForStateMachine(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		old := c.leader(testGroup)
		for _, address := range c.addresses() {
			if address != old {
				defer c.nodes[address].machines[testGroup].hold()()
			}
		}
		assert.NilError(t, c.tryPut(old, testGroup, "x", "1"))
		c.kill(old)
		c.eventually("leader", func() bool { return c.believedLeader() != "" })
		n := c.nodes[c.believedLeader()]
		ctx, cancel := context.WithTimeout(t.Context(), 5*electionTimeout)
		defer cancel()
		assert.ErrorIs(t, n.host.ReadBarrier(ctx, testGroup), context.DeadlineExceeded)
	})
}

// TestFrozenLeaderReadsNothingStale stops the leader like a paused process. When
// it goes on it must not confirm a read by the lease that it had.
func TestFrozenLeaderReadsNothingStale(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		old := c.leader(testGroup)
		c.put(testGroup, "x", "1")
		host := c.nodes[old].host
		release, err := host.Freeze(testGroup)
		assert.NilError(t, err)
		synctest.Wait()

		c.put(testGroup, "x", "2", old)
		read := make(chan error, 1)
		go func() { read <- host.ReadBarrier(t.Context(), testGroup) }()
		synctest.Wait()
		release()
		if err := <-read; err == nil {
			assert.Equal(t, c.nodes[old].machines[testGroup].get("x"), "2")
		}
		c.waitValue(old, "x", "2")
	})
}

// TestLostDiskDoesNotVote starts a host with an empty folder under its old
// settings. It must not take part as its earlier self.
func TestLostDiskDoesNotVote(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		lost := c.follower()
		other := c.otherThan(lost, c.leader(testGroup))
		c.kill(other)
		c.put(testGroup, "x", "1") // on the leader and on lost only
		c.kill(lost)
		c.kill(c.onlyRunning())

		c.nodes[lost].fs = waltest.New()
		c.start(lost, testGroup)
		c.start(other, testGroup)
		time.Sleep(20 * electionTimeout)
		assert.Equal(t, c.tryLeader(testGroup, nil), "", "a majority that does not hold x elected a leader")
		assert.Equal(t, c.nodes[other].machines[testGroup].get("x"), "")
		assert.Assert(t, c.status(lost, testGroup).LostDisk || !c.status(lost, testGroup).Active)

		rest := c.otherThan(lost, other)
		c.start(rest, testGroup)
		leader := c.leader(testGroup)
		assert.Equal(t, c.nodes[leader].machines[testGroup].get("x"), "1")
		c.eventually("new identity", func() bool { return c.status(lost, testGroup).LostDisk })
		c.replace(c.memberID(lost), lost)
		c.waitValue(lost, "x", "1")
	})
}

// TestReplacementSurvivesLossOfSecondReplica loses one host for good, replaces
// it, and loses a second one right after the replacement.
func TestReplacementSurvivesLossOfSecondReplica(t *testing.T) {
	few := func(opts *replica.Options) { opts.SnapshotEntries = 50; opts.RetainEntries = 5 }
	runClusterWith(t, few, func(t *testing.T, c *cluster) {
		c.putMany("before", 120)
		gone := c.follower()
		oldID := c.memberID(gone)
		c.kill(gone)
		c.addNode("d", testGroup)
		c.replace(oldID, "d")

		second := c.otherThan(gone, "d")
		c.kill(second)
		c.put(testGroup, "after", "1")
		leader := c.leader(testGroup)
		assert.Equal(t, c.nodes[leader].machines[testGroup].size(), 121)
		c.waitValue("d", "after", "1")
		assert.Equal(t, c.nodes["d"].machines[testGroup].size(), 121)
	})
}

// TestLearnerIsNotPromotedBeforeCaughtUp cuts the way to the new replica.
func TestLearnerIsNotPromotedBeforeCaughtUp(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		c.putMany("k", 10)
		c.addNode("d", testGroup)
		for _, address := range []string{"a", "b", "c"} {
			c.network.setCut(address, "d", true)
		}
		host := c.nodes[c.leader(testGroup)].host
		member := c.newMember("d")
		ctx, cancel := context.WithTimeout(t.Context(), 10*electionTimeout)
		defer cancel()
		assert.NilError(t, host.AddLearner(ctx, testGroup, member))
		err := host.Promote(ctx, testGroup, member.GetId())
		assert.ErrorIs(t, err, replica.ErrRefused)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		status := c.status(c.leader(testGroup), testGroup)
		for _, m := range status.Membership.GetMembers() {
			assert.Equal(t, m.GetLearner(), m.GetId() == member.GetId())
		}
	})
}

// TestCatchUpByLog restarts a host after hundreds of missed entries that the
// others still hold.
func TestCatchUpByLog(t *testing.T) {
	testCatchUp(t, nil, 0)
}

// TestCatchUpBySnapshot restarts a host after hundreds of missed entries that
// the others have dropped.
func TestCatchUpBySnapshot(t *testing.T) {
	few := func(opts *replica.Options) { opts.SnapshotEntries = 50; opts.RetainEntries = 10 }
	testCatchUp(t, few, 1)
}

func testCatchUp(t *testing.T, adjust func(*replica.Options), wantSnapshots int64) {
	t.Helper()
	runClusterWith(t, adjust, func(t *testing.T, c *cluster) {
		behind := c.follower()
		c.kill(behind)
		c.putMany("missed", 400)
		c.start(behind, testGroup)
		c.waitValue(behind, "missed-399", "value")
		assert.Equal(t, c.nodes[behind].machines[testGroup].size(), 400)
		assert.Assert(t, c.network.snapshots.Load() >= wantSnapshots)
		if wantSnapshots == 0 {
			assert.Equal(t, c.network.snapshots.Load(), int64(0))
		}
		c.kill(behind)
		c.start(behind, testGroup)
		c.put(testGroup, "after", "1")
		c.waitValue(behind, "after", "1")
		assert.Equal(t, c.nodes[behind].machines[testGroup].size(), 401)
	})
}

// TestProposalLostToLeaderChange cuts the leader off with a proposal under way.
func TestProposalLostToLeaderChange(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		old := c.leader(testGroup)
		c.network.isolate(old, c.addresses(), true, true)
		result := make(chan error, 1)
		go func() {
			_, err := c.nodes[old].host.Propose(t.Context(), testGroup, []byte("x=lost"))
			result <- err
		}()
		synctest.Wait()
		c.put(testGroup, "x", "kept", old)
		c.network.isolate(old, c.addresses(), false, false)
		assert.ErrorIs(t, <-result, replica.ErrUncertain)
		c.waitValue(old, "x", "kept")
	})
}

// TestProposalsLostToIdleGroup loses several proposals with the leadership; the
// next leader writes less, so that not all of their indexes are taken again, and
// the group becomes idle at once.
func TestProposalsLostToIdleGroup(t *testing.T) {
	quick := func(opts *replica.Options) { opts.Raft.QuiesceTicks = 1 }
	runClusterWith(t, quick, func(t *testing.T, c *cluster) {
		old := c.leader(testGroup)
		c.network.isolate(old, c.addresses(), true, true)
		const lost = 5
		results := make(chan error, lost)
		for range lost {
			go func() {
				_, err := c.nodes[old].host.Propose(t.Context(), testGroup, []byte("x=lost"))
				results <- err
			}()
		}
		c.leader(testGroup, old)
		c.network.isolate(old, c.addresses(), false, false)
		c.eventually("answers", func() bool { return len(results) == lost })
		for range lost {
			assert.ErrorIs(t, <-results, replica.ErrUncertain)
		}
	})
}

// TestFirstMemberAnswersWhenDurable lets the disks of first members hang: they
// must not confirm each other before the answer is durable, however often it is
// asked for.
func TestFirstMemberAnswersWhenDurable(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		const group = 2
		before := c.network.confirmed.Load()
		for _, address := range c.addresses() {
			c.nodes[address].fs.SetFault(waltest.Fault{SyncDelay: 3 * electionTimeout})
			assert.NilError(t, c.addGroup(address, group))
		}
		time.Sleep(2 * electionTimeout)
		assert.Equal(t, c.network.confirmed.Load(), before)
		for _, address := range c.addresses() {
			c.nodes[address].fs.SetFault(waltest.Fault{})
		}
		c.waitActive(group)
	})
}

// TestBootstrapNeedsAllFirstMembers starts two of three first members.
func TestBootstrapNeedsAllFirstMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t, network: newNetwork(), nodes: make(map[string]*node)}
		for i, address := range []string{"a", "b", "c"} {
			c.members = append(c.members, &raftpb.Member{Id: uint64(i + 1), Address: address})
			c.nodes[address] = &node{address: address, fs: waltest.New()}
		}
		defer c.close()
		c.start("a", testGroup)
		c.start("b", testGroup)
		time.Sleep(10 * electionTimeout)
		assert.Equal(t, c.status("a", testGroup).Active, false)
		_, err := c.nodes["a"].host.Propose(t.Context(), testGroup, nil)
		assert.ErrorIs(t, err, replica.ErrUnavailable)
		c.kill("a")
		c.start("a", testGroup)
		c.start("c", testGroup)
		c.put(testGroup, "x", "1")
	})
}
